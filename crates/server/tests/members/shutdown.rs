//! What the other members learn about a server that drains, and about one that is killed.

use crate::machine::run_fleet_case;
use crate::support::start_fleet;
use madderbay_testkit::fleet::script::{Action, Fleet, Script};

/// A graceful shutdown is announced before the end of the process; a kill is detected.
#[test]
fn announces_graceful_shutdown() {
    run_fleet_case(|monitor| {
        let mut fleet = start_fleet(
            "servers 3\nstart all\nsettle 20s\ndrain n3\nview all n3 left 10s\nsettle 10s",
            monitor,
        );
        fleet.act(&Action::Kill(1)).expect("the process is killed");
        let script = Script::read("end", "servers 3\nview n1 n2 down 20s").expect("a valid script");
        script.play(&mut fleet).expect("the kill is detected");
    });
}
