//! Faults of the simulated cases.

use madderbay_testkit::backend_simulation::{
    BackendFault, BackendSimulation, SimulatedBackendId, SimulatedServerId, ZoneCut,
};

/// Begins a fault if the argument is true, and ends it otherwise.
pub(crate) type SetFault = fn(&mut BackendSimulation, bool);

/// The faulty backend, in cases in which a single one is faulty.
pub(crate) const FAULTY: SimulatedBackendId = SimulatedBackendId::new(1);
/// The faulty server, in cases in which a single one is faulty.
const FAULTY_SERVER: SimulatedServerId = SimulatedServerId::new(0);
const TEN_TIMES_SLOWER: BackendFault = BackendFault::Slow { factor: 10.0 };

pub(crate) const CASES: [(&str, SetFault); 10] = [
    ("one 10 times slower", |simulation, is_active| {
        set_one(simulation, TEN_TIMES_SLOWER, is_active);
    }),
    ("one fails at once", |simulation, is_active| {
        set_one(simulation, BackendFault::Failing, is_active);
    }),
    ("one never answers", |simulation, is_active| {
        set_one(simulation, BackendFault::Silent, is_active);
    }),
    ("one refuses", |simulation, is_active| {
        set_one(simulation, BackendFault::Down, is_active);
    }),
    ("cut between a zone and one", |simulation, is_active| {
        let cut = ZoneCut {
            zone: 1,
            backend: FAULTY,
        };
        simulation.set_zone_cuts(if is_active { vec![cut] } else { vec![] });
    }),
    ("one server finds all bad", |simulation, is_active| {
        simulation.set_cut_off(FAULTY_SERVER, is_active);
    }),
    ("one lies of three", |simulation, is_active| {
        let reported: &[usize] = if is_active { &[1, 4, 7] } else { &[] };
        let reported = reported.iter().copied().map(SimulatedBackendId::new);
        simulation.set_falsely_reported(FAULTY_SERVER, reported.collect());
    }),
    ("all 10 times slower", |simulation, is_active| {
        set_all(simulation, TEN_TIMES_SLOWER, is_active);
    }),
    ("all fail", |simulation, is_active| {
        set_all(simulation, BackendFault::Failing, is_active);
    }),
    ("all never answer", |simulation, is_active| {
        set_all(simulation, BackendFault::Silent, is_active);
    }),
];

/// Reports whether only the backend [`FAULTY`] is faulty in a case, so that the times until it is
/// avoided are meaningful.
pub(crate) fn is_about_one_backend(case: &str) -> bool {
    case.starts_with("one ") && !case.contains("server") && !case.contains("lies")
}

fn set_one(simulation: &mut BackendSimulation, fault: BackendFault, is_active: bool) {
    simulation.set_backend_fault(
        FAULTY,
        if is_active {
            fault
        } else {
            BackendFault::HEALTHY
        },
    );
}

fn set_all(simulation: &mut BackendSimulation, fault: BackendFault, is_active: bool) {
    for backend in simulation.backends() {
        simulation.set_backend_fault(
            backend,
            if is_active {
                fault
            } else {
                BackendFault::HEALTHY
            },
        );
    }
}
