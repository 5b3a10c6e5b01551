//! Errors of counts against the truth and against the advertised bound; time and memory with many
//! tenants.

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
const SETTLE_TERM: Duration = Duration::from_millis(60_000);
/// The time until all counts are complete.
const START_TIME: Duration = Duration::from_millis(20_000);
/// Checks of the estimates, the time before each, and the servers that are checked at most.
const CHECKS: usize = 40;
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const MAX_CHECKED_SERVERS: usize = 12;
/// The fair rate that estimates are asked with, a second.
const FAIR_RATE: f64 = 2.0;
/// Of the measurement with many tenants.
const REQUESTS: u64 = 1_000_000;
const TENANTS: u64 = 100_000;
const ARRIVAL_MICROS: u64 = 20;

/// An estimate beside the truth.
struct Check {
    bound: f64,
    value: f64,
    truth: u32,
    stale_servers: usize,
}

/// Prints the table, and the line about many tenants.
pub(crate) fn measure() {
    let heads = [
        "servers, loss",
        "told, truth, bound (median look)",
        "unheard at a look",
        "outside the bound",
        "bytes a second",
    ];
    println!("{}", table_head(&heads));
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
    wait_until(&mut fleet, &Condition::Settled, SETTLE_TERM);
    act(&mut fleet, Action::loss(loss));
    let key = name_hash("acme");
    (0..servers).for_each(|server| fleet.set_request_rate(server, key, 4.0 + server as f64 % 5.0));
    fleet.run(START_TIME);
    let bytes_before = bytes_sent(&fleet);
    let mut checks = check_estimates(&mut fleet, servers, key);
    checks.sort_by(|a, b| a.bound.total_cmp(&b.bound));
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
                .expect("counts");
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

/// Counts the requests of many tenants with one counter.
fn print_many_tenants() {
    let settings = CounterSettings {
        name: "tenants".into(),
        window: WINDOW,
        max_per_second: 1_000.0,
    };
    let mut counter = ReplicatedCounter::new(Timestamp::from_micros(1), settings);
    let (memory_before, mut random) = (process_status_kb("VmRSS"), Rand64::new(3));
    let began = Instant::now();
    for number in 0..REQUESTS {
        let now = Timestamp::from_micros(1 + number * ARRIVAL_MICROS);
        counter.add(now, random.rand_range(0..TENANTS) as u32, 1);
    }
    println!(
        "a million reqs of 100,000 tenants counted in {:.1} s, {} KB more memory",
        began.elapsed().as_secs_f64(),
        process_status_kb("VmRSS") - memory_before
    );
}
