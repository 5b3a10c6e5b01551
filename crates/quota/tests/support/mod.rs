//! Helpers shared by the tests on simulated fleets.

use madderbay::time::Duration;
use madderbay_testkit::fleet::script::{Action, Fleet};
use madderbay_testkit::fleet::simulated::SimulatedFleet;

/// Applies an action that must succeed.
pub(crate) fn act(sim: &mut SimulatedFleet, action: Action) {
    sim.act(&action).expect("action succeeds");
}

/// Returns the action that starts a server under its own name, with a clock offset of zero.
pub(crate) fn start(server: usize) -> Action {
    Action::Start {
        who: server,
        name: server,
        clock: Duration::ZERO,
        back: false,
    }
}
