//! Steps that the tests on simulated fleets share.

use madderbay::time::Duration;
use madderbay_testkit::fleet::script::{Action, Fleet};
use madderbay_testkit::fleet::simulated::SimulatedFleet;

/// Does something to the fleet that can't fail.
pub(crate) fn act(sim: &mut SimulatedFleet, act: Action) {
    sim.act(&act).expect("done");
}

/// Starts a server under its own name, with a clock that is right.
pub(crate) fn start(server: usize) -> Action {
    Action::Start {
        who: server,
        name: server,
        clock: Duration::ZERO,
        back: false,
    }
}
