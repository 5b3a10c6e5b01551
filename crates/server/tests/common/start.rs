//! How the tests with a fleet start a server.

use madderbay::time::Duration;
use madderbay_testkit::fleet::script::Action;

/// Starts a server for the first time, under its own name and on an exact clock.
pub(crate) fn start_server(server: usize) -> Action {
    Action::Start {
        who: server,
        name: server,
        clock: Duration::ZERO,
        back: false,
    }
}
