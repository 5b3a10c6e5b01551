//! Steps that the tests on simulated fleets share.

use madderbay::time::Duration;
use madderbay_testkit::fleet::script::{Act, Fleet};
use madderbay_testkit::fleet::sim::Sim;

/// Does something to the fleet that can't fail.
pub(crate) fn act(sim: &mut Sim, act: Act) {
    sim.act(&act).expect("done");
}

/// Starts a server under its own name, with a clock that is right.
pub(crate) fn start(server: usize) -> Act {
    Act::Start {
        who: server,
        name: server,
        clock: Duration::ZERO,
        back: false,
    }
}
