//! Counters that the fleet replicates, and the tenants' rates that are judged by them.

use crate::machine::{self, StallMonitor};
use crate::support::{LoadPlan, WatchedFleet, is_completed, kind, program, send, settings, work};
use madderbay::time::Duration;
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::{Action, Fleet, FleetSetup};
use madderbay_testkit::load_balancer::RequestRecord;
use std::time::Duration as StdDuration;

/// Servers of the fleet whose counters are compared.
const SERVERS: usize = 3;
/// Longest wait for a change of the counters: shorter than their window.
const COUNTER_TIMEOUT: Duration = Duration::from_millis(14_000);
const COUNTERS: &str =
    "[shared]\nenabled = on\n[count tenants]\nby = tenant\nwindow_s = 15\nmost = 100\n";
const SHORT_COUNTERS: &str =
    "[shared]\nenabled = on\n[count tenants]\nby = tenant\nwindow_s = 2\nmost = 400\n";

/// Each of three servers reports exactly what came to all; where one is cut off, the error bound says so.
#[test]
fn reports_counts_of_fleet_with_error_bounds() {
    machine::play(play_counts);
}

/// The value and the error bound of the tenant's count at each server; zeros where one does not answer.
fn counts(fleet: &WatchedFleet) -> Vec<(f64, f64)> {
    let count = |server| fleet.fleet.counter(server, "acme").unwrap_or((0.0, 0.0));
    (0..SERVERS).map(count).collect()
}

fn play_counts(monitor: &StallMonitor) {
    let works = [work("quote", (1.0, 1.0), false)];
    let setup = FleetSetup::of(SERVERS);
    let mut fleet = WatchedFleet {
        fleet: ProcessFleet::new(setup, program(), &settings(), &works, 7),
        monitor,
    };
    fleet.fleet.operator = COUNTERS.into();
    fleet.start(SERVERS);
    let kinds = [kind("quote", 1.0, false, "acme")];
    let plan = LoadPlan {
        per_second: 40.0,
        seconds: 1,
        client_timeout_ms: 2_000,
    };
    let sent: usize = (0..SERVERS)
        .map(|server| send(fleet.target(server), &kinds, &plan).len())
        .sum();
    assert!(sent > 60, "{sent}");
    wait_for_exact_counts(&mut fleet, sent);
    fleet
        .act(&Action::Cut(vec![vec![0, 1], vec![2]]))
        .expect("cut");
    let began = fleet.at();
    while counts(&fleet).iter().any(|count| count.1 == 0.0) {
        assert!(
            fleet.at().saturating_sub(began) < COUNTER_TIMEOUT,
            "{:?}",
            counts(&fleet)
        );
        fleet.pass();
    }
}

/// Waits until every server reports exactly `sent`; none may claim more in the meantime.
fn wait_for_exact_counts(fleet: &mut WatchedFleet, sent: usize) {
    let began = fleet.at();
    loop {
        let all = counts(fleet);
        for (value, bound) in &all {
            assert!(
                value - bound <= sent as f64,
                "{value} less {bound} reported of {sent}"
            );
        }
        if all.iter().all(|count| *count == (sent as f64, 0.0)) {
            return;
        }
        assert!(
            fleet.at().saturating_sub(began) < COUNTER_TIMEOUT,
            "{all:?} reported of {sent}"
        );
        fleet.pass();
    }
}

/// A tenant that uses up its rate at one server has less weight at another, which alone sees it well within the rate.
#[test]
fn tenant_rate_holds_for_whole_fleet() {
    machine::play(|monitor| {
        let alone = play_tenants(false, monitor);
        let shared = play_tenants(true, monitor);
        let (acme, zenith) = (alone.acme.fraction, alone.zenith.fraction);
        assert!(
            zenith < 0.95 && acme > zenith - 0.2,
            "alone: acme {acme:.2}, zenith {zenith:.2}"
        );
        let (n, acme, zenith) = (
            shared.acme.requests,
            shared.acme.fraction,
            shared.zenith.fraction,
        );
        assert!(
            n > 30 && acme < 0.6 * zenith,
            "with a count: acme {acme:.2} of {n}, zenith {zenith:.2}"
        );
    });
}

/// What became of a tenant's requests at the crowded server.
struct TenantOutcome {
    requests: usize,
    /// Of these, completed.
    fraction: f64,
}

struct TenantOutcomes {
    acme: TenantOutcome,
    zenith: TenantOutcome,
}

/// Two servers; acme uses up its rate at the second and sends a few requests to the first, which zenith crowds.
fn play_tenants(with_counters: bool, monitor: &StallMonitor) -> TenantOutcomes {
    let works = [work("quote", (20.0, 20.0), false)];
    let setup = FleetSetup::of(2);
    let mut fleet = WatchedFleet {
        fleet: ProcessFleet::new(setup, program(), &tenant_settings(), &works, 6),
        monitor,
    };
    if with_counters {
        fleet.fleet.operator = SHORT_COUNTERS.into();
    }
    fleet.start(2);
    let acme = [kind("quote", 1.0, false, "acme")];
    let crowd = [
        kind("quote", 8.0, false, "acme"),
        kind("quote", 132.0, false, "zenith"),
    ];
    let plan = |per_second| LoadPlan {
        per_second,
        seconds: 12,
        client_timeout_ms: 3_000,
    };
    let records = std::thread::scope(|scope| {
        let other = fleet.target(1);
        scope.spawn(|| send(other, &acme, &plan(40.0)));
        send(fleet.target(0), &crowd, &plan(140.0))
    });
    TenantOutcomes {
        acme: outcome(&records, 0),
        zenith: outcome(&records, 1),
    }
}

/// What became of the requests of one kind from the fourth second on: a window has passed by then, and all counts
/// have spread.
fn outcome(records: &[RequestRecord], kind: usize) -> TenantOutcome {
    const SPREAD: StdDuration = StdDuration::from_secs(4);
    let is_late = |r: &&RequestRecord| r.handler == kind && r.sent > SPREAD;
    let late: Vec<&RequestRecord> = records.iter().filter(is_late).collect();
    let completed = late.iter().filter(|r| is_completed(r)).count();
    TenantOutcome {
        requests: late.len(),
        fraction: completed as f64 / late.len() as f64,
    }
}

fn tenant_settings() -> String {
    settings()
        .replace(
            "\"servers\": 3",
            "\"servers\": 2, \"over_share_worth\": 0.05",
        )
        .replace(
            "\"acme\", \"allowance_per_s\": 50.0",
            "\"acme\", \"allowance_per_s\": 20.0",
        )
        .replace(
            "\"zenith\", \"allowance_per_s\": 50.0",
            "\"zenith\", \"allowance_per_s\": 600.0",
        )
}
