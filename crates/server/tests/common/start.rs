//! Start of a server in the tests with a fleet.

use madderbay::time::Duration;
use madderbay_testkit::fleet::script::Action;

/// Returns the action that starts a server for the first time, under its own name and with an exact clock.
pub(crate) fn start_server(server: usize) -> Action {
    Action::Start {
        who: server,
        name: server,
        clock: Duration::ZERO,
        back: false,
    }
}
