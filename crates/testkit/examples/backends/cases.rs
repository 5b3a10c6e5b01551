//! The faults that are simulated.

use madderbay_testkit::backend_simulation::{BackendFault, BackendSimulation};

/// Begins a fault, or ends it.
pub(crate) type SetFault = fn(&mut BackendSimulation, bool);

/// The backend with the fault, where one of them has it.
pub(crate) const FAULTY: usize = 1;
const HEALTHY: BackendFault = BackendFault::Slow(1.0);
const TEN_TIMES_SLOWER: BackendFault = BackendFault::Slow(10.0);

pub(crate) const CASES: [(&str, SetFault); 10] = [
    ("one 10 times slower", |simulation, on| {
        set_one(simulation, TEN_TIMES_SLOWER, on);
    }),
    ("one fails at once", |simulation, on| {
        set_one(simulation, BackendFault::Fails, on);
    }),
    ("one never answers", |simulation, on| {
        set_one(simulation, BackendFault::Silent, on);
    }),
    ("one refuses", |simulation, on| {
        set_one(simulation, BackendFault::Down, on);
    }),
    ("cut between a zone and one", |simulation, on| {
        simulation.cuts = if on { vec![(1, FAULTY)] } else { vec![] };
    }),
    ("one server finds all bad", |simulation, on| {
        simulation.cut_off(0, on);
    }),
    ("one lies of three", |simulation, on| {
        simulation.lies(0, if on { vec![1, 4, 7] } else { vec![] });
    }),
    ("all 10 times slower", |simulation, on| {
        set_all(simulation, TEN_TIMES_SLOWER, on);
    }),
    ("all fail", |simulation, on| {
        set_all(simulation, BackendFault::Fails, on);
    }),
    ("all never answer", |simulation, on| {
        set_all(simulation, BackendFault::Silent, on);
    }),
];

/// Whether a case is about the one faulty backend, so that times until it is avoided make sense.
pub(crate) fn is_about_one_backend(case: &str) -> bool {
    case.starts_with("one ") && !case.contains("server") && !case.contains("lies")
}

fn set_one(simulation: &mut BackendSimulation, fault: BackendFault, on: bool) {
    simulation.mode(FAULTY, if on { fault } else { HEALTHY });
}

fn set_all(simulation: &mut BackendSimulation, fault: BackendFault, on: bool) {
    for backend in 0..simulation.setup.backends {
        simulation.mode(backend, if on { fault } else { HEALTHY });
    }
}
