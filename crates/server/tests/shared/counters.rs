//! Replicated counters of a fleet, and the tenant quotas that are judged by them.

use crate::ample_capacity::settings;
use crate::machine::{StallMonitor, run_fleet_case};
use crate::program::program;
use crate::support::{LoadPlan, is_completed, request_kind, send, send_while};
use crate::watched_fleet::WatchedFleet;
use madderbay::time::Duration;
use madderbay_testkit::engine::HandlerWork;
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::{Action, Fleet, FleetSetup};
use madderbay_testkit::load_balancer::{KindId, RequestRecord};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration as StdDuration;

/// Number of servers in the fleet whose counts are compared.
const SERVERS: usize = 3;
/// Longest wait for a change of the counters; shorter than the 15 s window of [`LONG_WINDOW_COUNTERS`].
const COUNTER_TIMEOUT: Duration = Duration::from_millis(14_000);
const LONG_WINDOW_COUNTERS: &str =
    "[shared]\nenabled = on\n[count tenants]\nby = tenant\nwindow_s = 15\nmost = 100\n";
/// Window of [`SHORT_WINDOW_COUNTERS`], in seconds.
const SHORT_WINDOW_S: f64 = 2.0;
/// Quota of the tenant acme in [`tenant_settings`], in requests per second.
const ACME_PER_SECOND: f64 = 20.0;
/// Upper bound on the length of the load on the second server, in seconds. The load ends with that on the first server.
const MAX_LOAD_S: u64 = 60;
const SHORT_WINDOW_COUNTERS: &str =
    "[shared]\nenabled = on\n[count tenants]\nby = tenant\nwindow_s = 2\nmost = 400\n";

/// Each of three servers reports the exact number of requests that all of them received. Once a server is partitioned
/// from the others, the counts have an error bound above zero.
#[test]
fn reports_counts_of_fleet_with_error_bounds() {
    run_fleet_case(compare_counts);
}

/// Returns the value and the error bound of the count of acme at each server; zeros where a server does not answer.
fn acme_counts(fleet: &WatchedFleet) -> Vec<(f64, f64)> {
    let count = |server| {
        fleet
            .processes
            .counter(server, "acme")
            .unwrap_or((0.0, 0.0))
    };
    (0..SERVERS).map(count).collect()
}

fn compare_counts(monitor: &StallMonitor) {
    let works = [HandlerWork::new("quote", (1.0, 1.0), false)];
    let setup = FleetSetup::of(SERVERS);
    let mut fleet = WatchedFleet {
        processes: ProcessFleet::new(setup, program(), &settings(), &works, 7),
        monitor,
    };
    fleet.processes.operator = LONG_WINDOW_COUNTERS.into();
    fleet.start(SERVERS);
    let kinds = [request_kind("quote", 1.0, false, "acme")];
    let plan = LoadPlan {
        per_second: 40.0,
        seconds: 1,
        client_timeout_ms: 2_000,
    };
    let sent: usize = std::thread::scope(|scope| {
        let loads: Vec<_> = (0..SERVERS)
            .map(|server| fleet.target(server))
            .map(|target| scope.spawn(|| send(target, &kinds, &plan).len()))
            .collect();
        loads
            .into_iter()
            .map(|l| l.join().expect("the load thread does not panic"))
            .sum()
    });
    assert!(sent > 60, "{sent}");
    wait_for_exact_counts(&mut fleet, sent);
    fleet
        .act(&Action::Cut(vec![vec![0, 1], vec![2]]))
        .expect("the partition is applied");
    fleet.wait_while(COUNTER_TIMEOUT, |fleet| {
        let all = acme_counts(fleet);
        let is_exact = all.iter().any(|count| count.1 == 0.0);
        is_exact.then(|| format!("{all:?}"))
    });
}

/// Waits until every server reports exactly `sent`. Asserts that no server claims more in the meantime.
fn wait_for_exact_counts(fleet: &mut WatchedFleet, sent: usize) {
    fleet.wait_while(COUNTER_TIMEOUT, |fleet| {
        let all = acme_counts(fleet);
        for (value, bound) in &all {
            assert!(
                value - bound <= sent as f64,
                "{value} less {bound} reported of {sent}"
            );
        }
        let is_exact = all.iter().all(|count| *count == (sent as f64, 0.0));
        (!is_exact).then(|| format!("{all:?} reported of {sent}"))
    });
}

/// A tenant that uses up its quota at one server has less weight at another server, which received far fewer of its
/// requests than the quota allows.
#[test]
fn tenant_quota_applies_to_whole_fleet() {
    run_fleet_case(|monitor| {
        let alone = overload_first_server(false, monitor);
        let shared = overload_first_server(true, monitor);
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

/// Outcome of a tenant's requests at the overloaded server.
struct TenantOutcome {
    requests: usize,
    /// Fraction of the requests that were completed.
    fraction: f64,
}

struct TenantOutcomes {
    acme: TenantOutcome,
    zenith: TenantOutcome,
}

/// Runs two servers. The tenant acme uses up its quota at the second server and sends a few requests to the first
/// server, which zenith overloads.
fn overload_first_server(with_counters: bool, monitor: &StallMonitor) -> TenantOutcomes {
    let works = [HandlerWork::new("quote", (20.0, 20.0), false)];
    let setup = FleetSetup::of(2);
    let mut fleet = WatchedFleet {
        processes: ProcessFleet::new(setup, program(), &tenant_settings(), &works, 6),
        monitor,
    };
    if with_counters {
        fleet.processes.operator = SHORT_WINDOW_COUNTERS.into();
    }
    fleet.start(2);
    let acme = [request_kind("quote", 1.0, false, "acme")];
    let overload = [
        request_kind("quote", 8.0, false, "acme"),
        request_kind("quote", 132.0, false, "zenith"),
    ];
    let plan = |per_second, seconds| LoadPlan {
        per_second,
        seconds,
        client_timeout_ms: 3_000,
    };
    let is_on = AtomicBool::new(true);
    let records = std::thread::scope(|scope| {
        let other = fleet.target(1);
        let (acme, is_on) = (&acme, &is_on);
        let is_loading = move || is_on.load(Ordering::Relaxed);
        let steady = plan(40.0, MAX_LOAD_S);
        scope.spawn(move || send_while(other, acme, &steady, is_loading));
        if with_counters {
            wait_until_acme_exceeds_its_quota(&mut fleet);
        }
        let records = send(fleet.target(0), &overload, &plan(140.0, 12));
        is_on.store(false, Ordering::Relaxed);
        records
    });
    TenantOutcomes {
        acme: tenant_outcome(&records, KindId::new(0)),
        zenith: tenant_outcome(&records, KindId::new(1)),
    }
}

/// Waits until the second server has counted more requests of acme than the quota allows within a window.
fn wait_until_acme_exceeds_its_quota(fleet: &mut WatchedFleet) {
    fleet.wait_while(COUNTER_TIMEOUT, |fleet| {
        let counted = fleet.processes.counter(1, "acme").unwrap_or_default().0;
        let is_within = counted <= ACME_PER_SECOND * SHORT_WINDOW_S;
        is_within.then(|| format!("{counted} of acme counted"))
    });
}

/// Returns the outcome of the requests of one kind that were sent after the first four seconds. By then a window has
/// passed, and all counts have been disseminated.
fn tenant_outcome(records: &[RequestRecord], kind: KindId) -> TenantOutcome {
    const SPREAD: StdDuration = StdDuration::from_secs(4);
    let is_late = |r: &&RequestRecord| r.kind == kind && r.sent > SPREAD;
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
