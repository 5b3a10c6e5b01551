//! Outlier detection: all servers eject backends that fail, do not answer, reset connections or are slow, and readmit
//! them.

use crate::machine::{StallMonitor, run_fleet_case};
use crate::support::{BACKENDS, BackendFleet, HEALTHY};
use madderbay_testkit::catalogue::Behavior;

/// Asserts that all servers eject a backend with this behavior, and readmit it once it is healthy.
fn check_ejection_and_readmission(behavior: Behavior, seed: u64) {
    run_fleet_case(|monitor| {
        let mut fleet = BackendFleet::start(seed, monitor);
        fleet.backends[2].set_behavior(behavior);
        fleet.wait_until_ejected(2, &[]);
        fleet.backends[2].set_behavior(HEALTHY);
        fleet.wait_until_readmitted(2);
        let load = fleet.finish();
        // Searches, which may run twice, are hardly affected. A booking that may have run fails and is not retried.
        assert!(
            load.searches > 0.97 && load.bookings > 0.85,
            "{behavior:?}: {load}"
        );
    });
}

#[test]
fn ejects_and_readmits_backend_that_fails() {
    check_ejection_and_readmission(Behavior::Fails, 1);
}

#[test]
fn ejects_and_readmits_backend_that_never_answers() {
    check_ejection_and_readmission(Behavior::Silent, 2);
}

#[test]
fn ejects_and_readmits_backend_that_resets() {
    check_ejection_and_readmission(Behavior::Resets, 3);
}

#[test]
fn ejects_and_readmits_backend_that_is_slow() {
    check_ejection_and_readmission(Behavior::Slow(15.0), 4);
}

/// One backend fails repeatedly, and then all backends fail one after the other: requests that may run twice are hardly
/// affected.
#[test]
fn answers_while_backends_fail_in_turn() {
    run_fleet_case(fail_backends_in_turn);
}

fn fail_backends_in_turn(monitor: &StallMonitor) {
    let mut fleet = BackendFleet::start(10, monitor);
    for _ in 0..5 {
        fleet.backends[1].set_behavior(Behavior::Fails);
        fleet.wait_for_calls(50);
        fleet.backends[1].set_behavior(HEALTHY);
        fleet.wait_for_calls(50);
    }
    for backend in 0..BACKENDS {
        fleet.backends[backend].set_behavior(Behavior::Resets);
        fleet.wait_for_calls(90);
        fleet.backends[backend].set_behavior(HEALTHY);
        fleet.wait_for_calls(30);
    }
    let load = fleet.finish();
    assert!(load.searches > 0.95 && load.bookings > 0.8, "{load}");
}
