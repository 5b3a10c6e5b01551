//! Errors of replicated counters compared with the true counts and with the advertised bound, and
//! time and memory with many tenants.

use crate::simulated::bytes_sent;
use madderbay::time::{Duration, Timestamp};
use madderbay_quota::counter::{CounterSettings, ReplicatedCounter};
use madderbay_quota::name_hash;
use madderbay_testkit::fleet::script::{Action, Condition, FleetSetup};
use madderbay_testkit::fleet::simulated::SimulatedFleet;
use madderbay_testkit::measurement::fleets::{act, start_all, wait_until};
use madderbay_testkit::measurement::report::{process_status_kb, table_head};
use oorandom::Rand64;
use std::time::Instant;

const WINDOW: Duration = Duration::from_millis(10_000);
const SETTLE_TIMEOUT: Duration = Duration::from_millis(60_000);
/// Time after which the window of all counters is full.
const START_TIME: Duration = Duration::from_millis(20_000);
/// Number of checks of the estimates.
const CHECKS: usize = 40;
/// Time before each check of the estimates.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of servers that are checked.
const MAX_CHECKED_SERVERS: usize = 12;
/// Fair rate that is passed to the queries for estimates, in requests per second.
const FAIR_RATE: f64 = 2.0;
/// Number of requests in the measurement with many tenants.
const REQUESTS: u64 = 1_000_000;
const TENANTS: u64 = 100_000;
/// Time between two requests in the measurement with many tenants.
const ARRIVAL_INTERVAL: Duration = Duration::from_micros(20);
const MAX_REQUESTS_PER_SECOND: f64 = 1_000.0;

/// An estimate and the true count.
struct Check {
    bound: f64,
    value: f64,
    truth: u32,
    stale_servers: usize,
}

/// Prints the table, and the line about many tenants.
pub(crate) fn measure() {
    let headings = [
        "servers, loss",
        "value, truth, bound (median sample)",
        "servers not received",
        "outside the bound",
        "bytes a second a server",
    ];
    println!("{}", table_head(&headings));
    for (servers, loss) in [(5, 0.0), (5, 0.1), (12, 0.0), (12, 0.1), (100, 0.0)] {
        print_row(servers, loss);
    }
    print_many_tenants();
}

fn print_row(servers: usize, loss: f64) {
    let setup = FleetSetup {
        window: Some(WINDOW),
        ..FleetSetup::of(servers)
    };
    let mut fleet = SimulatedFleet::new(setup, 1);
    start_all(&mut fleet, 0..servers);
    wait_until(&mut fleet, &Condition::Settled, SETTLE_TIMEOUT);
    act(&mut fleet, Action::loss(loss));
    let key = name_hash("acme");
    for server in 0..servers {
        let per_second = 4.0 + server as f64 % 5.0;
        fleet.set_request_rate(server, key, per_second);
    }
    fleet.run(START_TIME);
    let bytes_before = bytes_sent(&fleet);
    let mut checks = check_estimates(&mut fleet, servers, key);
    checks.sort_by(|one, other| one.bound.total_cmp(&other.bound));
    let median = &checks[checks.len() / 2];
    let secs = CHECK_INTERVAL.as_secs_f64() * CHECKS as f64;
    let bytes = (bytes_sent(&fleet) - bytes_before) as f64;
    let (outside, all) = fleet.out_of_bounds;
    println!(
        "| {servers}, {loss} | {:.0}, {}, {:.0} | {} | {outside} of {all} | {:.0} |",
        median.value,
        median.truth,
        median.bound,
        median.stale_servers,
        bytes / secs / servers as f64
    );
}

fn check_estimates(fleet: &mut SimulatedFleet, servers: usize, key: u32) -> Vec<Check> {
    let mut checks = vec![];
    for _ in 0..CHECKS {
        fleet.run(CHECK_INTERVAL);
        let truth = fleet.truth(key);
        for server in 0..servers.min(MAX_CHECKED_SERVERS) {
            let estimate = fleet
                .checked_estimate(server, key, FAIR_RATE)
                .expect("the server counts requests");
            checks.push(Check {
                bound: estimate.bound(),
                value: estimate.value,
                truth,
                stale_servers: estimate.stale_servers,
            });
        }
    }
    checks
}

/// Counts the requests of many tenants with one counter, and prints the time and the memory that it
/// takes.
fn print_many_tenants() {
    let settings = CounterSettings {
        name: "tenants".into(),
        window: WINDOW,
        max_per_second: MAX_REQUESTS_PER_SECOND,
    };
    let mut now = Timestamp::from_micros(1);
    let mut counter = ReplicatedCounter::new(now, settings);
    let mut random = Rand64::new(3);
    let memory_before = process_status_kb("VmRSS");
    let began = Instant::now();
    for _ in 0..REQUESTS {
        let tenant = random.rand_range(0..TENANTS) as u32;
        counter.add(now, tenant, 1);
        now = now + ARRIVAL_INTERVAL;
    }
    println!(
        "a million requests of 100,000 tenants counted in {:.1} s, {} KB more memory",
        began.elapsed().as_secs_f64(),
        process_status_kb("VmRSS") - memory_before
    );
}
