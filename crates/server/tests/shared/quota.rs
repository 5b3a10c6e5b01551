//! A quota of upstream calls that is shared by a fleet.

use crate::ample_capacity::settings;
use crate::machine::{StallMonitor, run_fleet_case};
use crate::program::program;
use crate::support::{LoadPlan, is_completed, request_kind, send};
use crate::watched_fleet::WatchedFleet;
use madderbay::time::Duration;
use madderbay_testkit::engine::HandlerWork;
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::{Condition, FleetSetup, QuotaSetup};
use madderbay_testkit::load_balancer::{Answer, RequestRecord};

/// With a quota of one call and load for ten calls, requests that get no capacity in time are rejected with a
/// Retry-After before their clients give up. The quota is never exceeded.
#[test]
fn rejects_with_retry_after_when_quota_is_exhausted() {
    run_fleet_case(load_fleet_with_quota_of_one);
}

fn load_fleet_with_quota_of_one(monitor: &StallMonitor) {
    let mut fleet = fleet_with_quota_of_one(monitor);
    fleet.start(1);
    fleet.wait_for(&Condition::QuotaBetween {
        who: vec![0],
        least: 1,
        most: 1,
    });
    let catalogue = fleet.processes.catalogue(0).clone();
    catalogue.peak();
    let plan = LoadPlan {
        per_second: 30.0,
        seconds: 4,
        client_timeout_ms: 4_000,
    };
    let kinds = [request_kind("book", 1.0, true, "acme")];
    let records = send(fleet.target(0), &kinds, &plan);
    let count = |is: fn(&RequestRecord) -> bool| records.iter().filter(|r| is(r)).count();
    let completed = count(is_completed);
    let rejected = count(|r| matches!(r.answers[..], [(Answer::Rejected(_), _)]));
    let with_retry_after =
        count(|r| matches!(r.answers[..], [(Answer::Rejected(ms), _)] if ms > 0));
    assert!(
        completed >= 8 && rejected > 40,
        "{completed} completed, {rejected} rejected of {}",
        records.len()
    );
    assert!(
        with_retry_after * 10 >= rejected * 9,
        "{with_retry_after} of {rejected} came with a Retry-After"
    );
    assert_eq!(catalogue.peak(), 1);
}

fn fleet_with_quota_of_one(monitor: &StallMonitor) -> WatchedFleet<'_> {
    let ms = Duration::from_millis;
    let quota = QuotaSetup {
        capacity: 1,
        servers: 1,
        slots: true,
        lease: ms(300),
        max_call: ms(400),
        call: ms(300),
        handlers: "book",
    };
    let setup = FleetSetup {
        budget: Some(quota),
        ..FleetSetup::of(1)
    };
    let works = [HandlerWork::new("book", (1.0, 3.0), true)];
    WatchedFleet {
        processes: ProcessFleet::new(setup, program(), &settings(), &works, 5),
        monitor,
    }
}
