//! The scenario of `docs/measured/pools.md` over five servers and one catalogue, with three in five
//! requests at one of them: pools with a fixed part for each, and with a shared budget of the same
//! capacity.

use crate::budget::{has_at_least, setup};
use madderbay::time::Duration;
use madderbay_testkit::catalogue::Catalogue;
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::Condition;
use madderbay_testkit::load_balancer::{Load, kept};
use madderbay_testkit::measurement::fleets::{release_binary, start_all, wait_until};
use madderbay_testkit::measurement::loads::{LoadResult, LoadTarget, join_loads};
use madderbay_testkit::measurement::report::table_head;
use madderbay_testkit::measurement::trips::{
    CALL, CALM, LENGTH, OVER, REQUEST_TIMEOUT_MS, SLOTS, SlowDown, kinds, rates, works,
};
use std::time::Duration as StdDuration;

const SETTINGS: &str = include_str!("../../src/measurement/settings/trips.json");
/// The part of all requests that arrive at each server.
const PARTS: [f64; 5] = [0.6, 0.1, 0.1, 0.1, 0.1];
const SERVERS: usize = PARTS.len();
/// The capacity of the budget, and the sum of the fixed parts.
const CAPACITY: u32 = 12;
const START_TERM: Duration = Duration::from_millis(30_000);
/// The longest time of a call under the budget.
const LONGEST_CALL: Duration = Duration::from_millis(4_000);

const POOLS: &str = "[pools]\nenabled = on\n[pool seats]\nhandlers = seat-book\n[pool searches]\n\
     handlers = trip-search\ncalls_weight = 0\n[reserve]\nhandlers = fare-quote\npart = 0.1\n";

/// Prints the table.
pub(crate) fn measure() {
    let heads = [
        "way",
        "kept in the trouble: trip-search, fare-quote, seat-book",
        "after it",
        "most below",
        "rules broken",
        "CPU a req, ms",
    ];
    println!("{}", table_head(&heads));
    for (way, shared) in [("fixed parts", false), ("shared", true)] {
        print_row(way, shared);
    }
}

fn print_row(way: &str, shared: bool) {
    let catalogue = Catalogue::start(SLOTS, CALL);
    let fleet = start_fleet(&catalogue, shared);
    catalogue.peak();
    let cpu_before = fleet.cpu();
    let result = run_loads(&fleet, &catalogue);
    let kept = |from: StdDuration, to: StdDuration| {
        [0, 1, 2]
            .map(|handler| kept(&result.records, &kinds(), handler, from, to).1)
            .map(|part| format!("{part:.2}"))
            .join(", ")
    };
    println!(
        "| {way} | {} | {} | {} | {} | {:.2} |",
        kept(CALM, OVER),
        kept(OVER, LENGTH),
        catalogue.peak(),
        result.violations,
        (fleet.cpu() - cpu_before) * 1e3 / result.records.len() as f64
    );
}

/// Servers over one catalogue, under a shared budget or with a fixed part of the capacity each.
fn start_fleet(catalogue: &Catalogue, shared: bool) -> ProcessFleet {
    let mut setup = setup(SERVERS, CAPACITY, CALL.as_millis() as u64);
    if let Some(budget) = &mut setup.budget {
        budget.handlers = "trip-search, seat-book";
        budget.max_call = LONGEST_CALL;
    }
    if !shared {
        setup.budget = None;
    }
    let fixed_part = f64::from(CAPACITY) / SERVERS as f64;
    let settings = SETTINGS
        .replace(
            "\"dep_share\": 12.0",
            &format!("\"dep_share\": {fixed_part:.1}"),
        )
        .replace("\"servers\": 1", "\"servers\": 5");
    let catalogue = Some(catalogue.clone());
    let binary = release_binary();
    let mut fleet = ProcessFleet::with_catalogue(catalogue, setup, binary, &settings, &works(), 1);
    fleet.operator = POOLS.into();
    start_all(&mut fleet, 0..SERVERS);
    wait_until(&mut fleet, &Condition::Settled, START_TERM);
    if shared {
        let quotas = has_at_least(SERVERS, CAPACITY / SERVERS as u32);
        wait_until(&mut fleet, &quotas, START_TERM);
    }
    fleet
}

/// Loads all servers; the thread of the first one sets the fault of the catalogue.
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
        rates: rates.map(|(at, rate)| (at, rate * PARTS[server])).collect(),
        length: LENGTH,
        seed: server as u64 + 1,
        timeout_ms: REQUEST_TIMEOUT_MS,
    }
}
