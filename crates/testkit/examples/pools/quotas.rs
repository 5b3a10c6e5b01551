//! Pools with upstream quotas from too small to ten times too large. 30 trip-searches, 40
//! fare-quotes and 20 seat-books arrive per second.

use madderbay_testkit::load_balancer::{KindId, goodput};
use madderbay_testkit::measurement::report::median;
use madderbay_testkit::measurement::seeds::run_seeds;
use madderbay_testkit::measurement::settings;
use madderbay_testkit::measurement::trips::{AFTER_FAULT, FAULT, Scenario, kinds, works};
use std::ops::Range;
use std::time::Duration;

const DEFAULT_SEEDS: u64 = 3;
/// Quotas of the server at the catalogue, in calls.
const QUOTAS: [f64; 5] = [2.0, 6.0, 12.0, 40.0, 80.0];
/// Text of the log lines about the limit of the calls.
const LIMIT_LINE: &str = "concurrency: limit ";

const POOLS: &str = "[pools]\nenabled = on\nlimits = adaptive\n[pool seats]\nhandlers = seat-book\n\
                     [pool searches]\nhandlers = trip-search\ncalls_weight = 0\n\
                     [reserve]\nhandlers = fare-quote\npart = 0.1\n";

/// Prints a row for each quota without pools and one with them; given one quota, prints only its
/// rows and the log lines about its limit.
pub(crate) fn measure(seeds: Option<u64>, only_quota: Option<f64>) {
    let seeds = seeds.unwrap_or(DEFAULT_SEEDS);
    println!(
        "goodput during the fault, median of {seeds} seeds: trip-search, fare-quote, seat-book; most calls upstream; after it"
    );
    for quota in QUOTAS {
        if only_quota.is_some_and(|only_quota| only_quota != quota) {
            continue;
        }
        for (variant, operator) in [("off", None), ("adaptive", Some(POOLS))] {
            let results = run_seeds(1..seeds + 1, seeds as usize, |seed| {
                Measurement::new(operator, quota, seed)
            });
            print_row(quota, variant, &results);
            if only_quota.is_some() {
                let lines = results[0].limit_lines.iter();
                lines.for_each(|(at, line)| println!("  {:6.2} {line}", at.as_secs_f64()));
            }
        }
    }
}

fn print_row(quota: f64, variant: &str, results: &[Measurement]) {
    let median_of = |figure: &dyn Fn(&Measurement) -> f64| {
        let mut values: Vec<f64> = results.iter().map(figure).collect();
        median(&mut values)
    };
    let of_handlers = |figures: fn(&Measurement) -> [f64; 3]| {
        [0, 1, 2]
            .map(|handler| median_of(&|measurement| figures(measurement)[handler]))
            .map(|median| format!("{median:.2}"))
            .join(", ")
    };
    let violations: usize = results
        .iter()
        .map(|measurement| measurement.violations)
        .sum();
    println!(
        "| {quota} | {variant} | {} | {} | {} | {violations} |",
        of_handlers(|measurement| measurement.goodput_during_fault),
        median_of(&|measurement| measurement.peak as f64),
        of_handlers(|measurement| measurement.goodput_after_fault),
    );
}

/// Results of one run.
struct Measurement {
    /// Goodput of each handler during the fault.
    goodput_during_fault: [f64; 3],
    /// Goodput of each handler after the fault.
    goodput_after_fault: [f64; 3],
    /// Largest number of calls in flight during the fault.
    peak: usize,
    /// Log lines about the limit, with their times.
    limit_lines: Vec<(Duration, String)>,
    violations: usize,
}

impl Measurement {
    fn new(operator: Option<&str>, quota: f64, seed: u64) -> Measurement {
        let scenario = Scenario {
            settings: &settings::with_quota(settings::TRIPS, quota),
            operator,
            kinds: kinds(),
            works: works(),
            fault: true,
            seed,
        };
        let run = scenario.run();
        let goodput_of_handlers = |time: Range<Duration>| {
            [0, 1, 2]
                .map(KindId::new)
                .map(|kind| goodput(&run.records, &kinds(), kind, time.clone()))
        };
        let goodput_during_fault = goodput_of_handlers(FAULT);
        let goodput_after_fault = goodput_of_handlers(AFTER_FAULT);
        let peak = run.peak(FAULT);
        let log = run.log.into_iter();
        Measurement {
            goodput_during_fault,
            goodput_after_fault,
            peak,
            violations: run.violations.len(),
            limit_lines: log.filter(|(_, line)| line.contains(LIMIT_LINE)).collect(),
        }
    }
}
