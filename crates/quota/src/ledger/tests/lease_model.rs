//! Model checking of three ledgers. All interleavings of the decisions of all servers are explored,
//! with requests, grants and returns that are lost, duplicated and delayed, servers that pause,
//! crash and restart without state, and calls that stay in flight upstream for as long as allowed.

mod defect;
mod world;

use defect::Defect;
use stateright::{Checker, Model, Property};
use world::{CAPACITY, FaultBudget, Step, World};

const NO_FAULTS: FaultBudget = FaultBudget {
    pauses: 0,
    crashes: 0,
    duplicates: 0,
};
const ONE_PAUSE: FaultBudget = FaultBudget {
    pauses: 1,
    ..NO_FAULTS
};
const ONE_CRASH: FaultBudget = FaultBudget {
    crashes: 1,
    ..NO_FAULTS
};
const ONE_DUPLICATE: FaultBudget = FaultBudget {
    duplicates: 1,
    ..NO_FAULTS
};

const CAPACITY_IS_NEVER_EXCEEDED: &str = "calls in flight never exceed the capacity";
const UNITS_ARE_LEASED: &str = "idle units reach the server with demand";
const UNITS_ARE_REUSED: &str = "the lessor uses its units again";

struct LeaseModel {
    defect: Defect,
    faults: FaultBudget,
}

impl Model for LeaseModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World::new(self.faults)]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        world.push_steps(steps);
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        world.apply(step, self.defect)?;
        Some(world)
    }

    fn properties(&self) -> Vec<Property<LeaseModel>> {
        vec![
            Property::always(CAPACITY_IS_NEVER_EXCEEDED, |_, world: &World| {
                world.calls_in_flight() <= CAPACITY
            }),
            Property::sometimes(UNITS_ARE_LEASED, |_, world: &World| {
                world.calls_of(1) == CAPACITY
            }),
            Property::sometimes(UNITS_ARE_REUSED, |_, world: &World| {
                world.initial_leases_expired()
                    && world.has_requests()
                    && world.calls_of(0) == CAPACITY
            }),
        ]
    }
}

struct Exploration {
    states: usize,
    discoveries: Vec<&'static str>,
}

fn explore(defect: Defect, faults: FaultBudget) -> Exploration {
    let checker = LeaseModel { defect, faults }
        .checker()
        .threads(4)
        .spawn_bfs()
        .join();
    let mut discoveries: Vec<_> = checker.discoveries().into_keys().collect();
    discoveries.sort_unstable();
    Exploration {
        states: checker.unique_state_count(),
        discoveries,
    }
}

fn finds_violation(defect: Defect, faults: FaultBudget) -> bool {
    explore(defect, faults)
        .discoveries
        .contains(&CAPACITY_IS_NEVER_EXCEEDED)
}

#[test]
fn no_history_exceeds_the_capacity() {
    for faults in [ONE_PAUSE, ONE_CRASH, ONE_DUPLICATE] {
        let Exploration {
            states,
            discoveries,
        } = explore(Defect::None, faults);
        assert_eq!(
            discoveries,
            [UNITS_ARE_LEASED, UNITS_ARE_REUSED],
            "{faults:?}"
        );
        assert!(states > 10_000, "only {states} states explored");
        println!("{faults:?}: {states} states");
    }
}

#[test]
fn planted_defects_are_found() {
    assert!(finds_violation(Defect::LeaseFromReceipt, NO_FAULTS));
    assert!(finds_violation(Defect::ReturnSubtracts, ONE_DUPLICATE));
    assert!(finds_violation(Defect::NoStartupWait, ONE_CRASH));
}
