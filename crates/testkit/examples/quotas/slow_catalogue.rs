//! The scenario of a slow catalogue with five servers, of which one receives three in five
//! requests. Compares pools with a fixed part of the capacity for each server and pools with leases
//! of a quota.

use crate::demand::{min_quota, setup};
use madderbay::time::Duration;
use madderbay_testkit::catalogue::Catalogue;
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::Condition;
use madderbay_testkit::load_balancer::{KindId, Load, goodput};
use madderbay_testkit::measurement::fleets::{release_binary, start_all, wait_until};
use madderbay_testkit::measurement::loads::{LoadResult, LoadTarget, join_loads};
use madderbay_testkit::measurement::report::{cpu_ms_per_request, table_head};
use madderbay_testkit::measurement::settings;
use madderbay_testkit::measurement::trips::{
    AFTER_FAULT, CALL_DURATION, CATALOGUE_SLOTS, FAULT, LOAD_LENGTH, REQUEST_TIMEOUT_MS, SlowDown,
    kinds, rates, works,
};
use std::ops::Range;
use std::time::Duration as StdDuration;

/// Fraction of all requests that arrives at each server.
const TRAFFIC_FRACTIONS: [f64; 5] = [0.6, 0.1, 0.1, 0.1, 0.1];
const SERVERS: usize = TRAFFIC_FRACTIONS.len();
/// Capacity of the quota, and also the sum of the fixed parts.
const CAPACITY: u32 = 12;
const START_TIMEOUT: Duration = Duration::from_millis(30_000);
/// Maximum time of a call under the quota.
const MAX_CALL_DURATION: Duration = Duration::from_millis(4_000);

const POOLS: &str = "[pools]\nenabled = on\n[pool seats]\nhandlers = seat-book\n[pool searches]\n\
     handlers = trip-search\ncalls_weight = 0\n[reserve]\nhandlers = fare-quote\npart = 0.1\n";

/// Runs the scenario with each variant, and prints the table.
pub(crate) fn measure() {
    let headings = [
        "variant",
        "goodput during the fault: trip-search, fare-quote, seat-book",
        "after it",
        "most calls upstream",
        "invariants violated",
        "CPU a request, ms",
    ];
    println!("{}", table_head(&headings));
    for (variant, leases) in [("fixed parts", false), ("leases", true)] {
        print_row(variant, leases);
    }
}

fn print_row(variant: &str, leases: bool) {
    let catalogue = Catalogue::start(CATALOGUE_SLOTS, CALL_DURATION);
    let fleet = start_fleet(&catalogue, leases);
    catalogue.peak();
    let cpu_before = fleet.cpu();
    let result = run_loads(&fleet, &catalogue);
    let goodput_of_handlers = |time: Range<StdDuration>| {
        [0, 1, 2]
            .map(KindId::new)
            .map(|kind| goodput(&result.records, &kinds(), kind, time.clone()))
            .map(|goodput| format!("{goodput:.2}"))
            .join(", ")
    };
    println!(
        "| {variant} | {} | {} | {} | {} | {:.2} |",
        goodput_of_handlers(FAULT),
        goodput_of_handlers(AFTER_FAULT),
        catalogue.peak(),
        result.violations,
        cpu_ms_per_request(fleet.cpu() - cpu_before, result.records.len())
    );
}

/// Starts servers that share one catalogue, with leases of a quota or with a fixed part of the
/// capacity each.
fn start_fleet(catalogue: &Catalogue, leases: bool) -> ProcessFleet {
    let mut setup = setup(SERVERS, CAPACITY, CALL_DURATION.as_millis() as u64);
    if let Some(quota) = &mut setup.budget {
        quota.handlers = "trip-search, seat-book";
        quota.max_call = MAX_CALL_DURATION;
    }
    if !leases {
        setup.budget = None;
    }
    let fixed_part = f64::from(CAPACITY) / SERVERS as f64;
    let settings = settings::with_quota(settings::TRIPS, fixed_part)
        .replace("\"servers\": 1", "\"servers\": 5");
    let catalogue = Some(catalogue.clone());
    let binary = release_binary();
    let mut fleet = ProcessFleet::with_catalogue(catalogue, setup, &binary, &settings, &works(), 1);
    fleet.operator = POOLS.into();
    start_all(&mut fleet, 0..SERVERS);
    wait_until(&mut fleet, &Condition::Settled, START_TIMEOUT);
    if leases {
        let quotas = min_quota(SERVERS, CAPACITY / SERVERS as u32);
        wait_until(&mut fleet, &quotas, START_TIMEOUT);
    }
    fleet
}

/// Sends the loads to all servers; the thread of the first server's load sets the fault of the
/// catalogue.
fn run_loads(fleet: &ProcessFleet, catalogue: &Catalogue) -> LoadResult {
    std::thread::scope(|scope| {
        let loads = (0..SERVERS).map(|server| {
            let target = LoadTarget::of(fleet, server);
            let mut slow_down = SlowDown::of(catalogue);
            let tick = move |now| {
                if server == 0 {
                    slow_down.tick(now);
                }
            };
            scope.spawn(move || target.measure(&load_of(server), tick))
        });
        let loads = loads.collect();
        join_loads(loads)
    })
}

fn load_of(server: usize) -> Load {
    let rates = rates(true).into_iter();
    Load {
        kinds: kinds(),
        rates: rates
            .map(|(at, rate)| (at, rate * TRAFFIC_FRACTIONS[server]))
            .collect(),
        length: LOAD_LENGTH,
        seed: server as u64 + 1,
        timeout_ms: REQUEST_TIMEOUT_MS,
    }
}
