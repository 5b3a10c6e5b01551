//! Pools under shares from too small to ten times too large, between fakes on loopback:
//!
//!     cargo build --release && cargo run --release -p madderbay-testkit --example shares [SEEDS [SHARE]]
//!
//! An engine of 4 cores, a trip book of 8 slots (25 ms a call), 30 trip-searches, 40 fare-quotes
//! and 20 seat-books a second. From the 5th to the 13th second the trip book is 20 times slower;
//! for the first 5 of these 1.6 times as many reqs come.

use madderbay_testkit::load_balancer::{Load, kept};
use madderbay_testkit::measurement::fleets::release_binary;
use madderbay_testkit::measurement::report::median;
use madderbay_testkit::measurement::trips::{
    CALM, LENGTH, OVER, REQUEST_TIMEOUT_MS, SingleServer, kinds, rates, works,
};
use std::time::Duration;

const SETTINGS: &str = include_str!("../../src/measurement/settings/trips.json");
const DEFAULT_SEEDS: u64 = 3;
/// A server's part of the catalogue, in calls.
const SHARES: [f64; 5] = [2.0, 6.0, 12.0, 40.0, 80.0];
/// What a line of the log about the limit of the calls contains.
const LIMIT_LINE: &str = "concurrency: limit ";

const POOLS: &str = "[pools]\nenabled = on\nlimits = adaptive\n[pool seats]\nhandlers = seat-book\n\
                     [pool searches]\nhandlers = trip-search\ncalls_weight = 0\n\
                     [reserve]\nhandlers = fare-quote\npart = 0.1\n";

/// What one run has shown.
struct Measured {
    /// By handler the part of the requests that were answered in time, during the fault and after
    /// it.
    kept: [f64; 3],
    after: [f64; 3],
    /// The most calls in flight during the fault.
    peak: usize,
    /// Lines of the log about the limit, with their times.
    limits: Vec<(Duration, String)>,
    violations: usize,
}

impl Measured {
    fn new(operator: Option<&str>, share: f64, seed: u64) -> Measured {
        let settings =
            SETTINGS.replace("\"dep_share\": 12.0", &format!("\"dep_share\": {share:.1}"));
        let load = Load {
            kinds: kinds(),
            rates: rates(true),
            length: LENGTH,
            seed,
            timeout_ms: REQUEST_TIMEOUT_MS,
        };
        let server = SingleServer::start(release_binary(), &settings, operator, works(), seed);
        let run = server.run(&load, true);
        let kept = |from: Duration, to: Duration| {
            [0, 1, 2].map(|handler| kept(&run.records, &load.kinds, handler, from, to).1)
        };
        Measured {
            kept: kept(CALM, OVER),
            after: kept(OVER, LENGTH),
            peak: run.peak(CALM..OVER),
            violations: run.violations.len(),
            limits: run
                .log
                .into_iter()
                .filter(|(_, line)| line.contains(LIMIT_LINE))
                .collect(),
        }
    }
}

pub(crate) fn main() {
    let mut args = std::env::args().skip(2);
    let seeds = args.next().and_then(|seeds| seeds.parse().ok());
    let seeds: u64 = seeds.unwrap_or(DEFAULT_SEEDS);
    let only: Option<f64> = args.next().and_then(|share| share.parse().ok());
    println!(
        "kept in the trouble, median of {seeds} seeds: trip-search, fare-quote, seat-book; most calls below; after"
    );
    for share in SHARES {
        if only.is_some_and(|only| only != share) {
            continue;
        }
        for (way, operator) in [("off", None), ("adaptive", Some(POOLS))] {
            let results = run_all(operator, share, seeds);
            print_row(share, way, &results);
            if only.is_some() {
                let limits = results[0].limits.iter();
                limits.for_each(|(at, line)| println!("  {:6.2} {line}", at.as_secs_f64()));
            }
        }
    }
}

/// Runs each seed, all at a time.
fn run_all(operator: Option<&str>, share: f64, seeds: u64) -> Vec<Measured> {
    std::thread::scope(|scope| {
        let runs: Vec<_> = (1..=seeds)
            .map(|seed| scope.spawn(move || Measured::new(operator, share, seed)))
            .collect();
        runs.into_iter()
            .map(|run| run.join().expect("played"))
            .collect()
    })
}

fn print_row(share: f64, way: &str, results: &[Measured]) {
    let mid = |figure: &dyn Fn(&Measured) -> f64| {
        let mut values: Vec<f64> = results.iter().map(figure).collect();
        median(&mut values)
    };
    let of_handlers = |figure: fn(&Measured) -> [f64; 3]| {
        [0, 1, 2]
            .map(|handler| format!("{:.2}", mid(&|r| figure(r)[handler])))
            .join(", ")
    };
    let violations: usize = results.iter().map(|result| result.violations).sum();
    println!(
        "| {share} | {way} | {} | {} | {} | {violations} |",
        of_handlers(|r| r.kept),
        mid(&|r| r.peak as f64),
        of_handlers(|r| r.after),
    );
}
