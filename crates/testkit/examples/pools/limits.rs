//! Measures pools against the program without them and with fixed limits, between fakes on
//! loopback:
//!
//!     cargo build --release && cargo run --release -p madderbay-testkit --example pools [SEEDS]
//!
//! An engine of 4 cores (work 20 to 40 ms), a trip book of 8 slots (25 ms a call), 90 reqs a
//! second. From the 5th to the 13th second the trip book is 20 times slower; for the first 5 of
//! these 1.6 times as many reqs come.

use madderbay_testkit::engine::HandlerWork;
use madderbay_testkit::load_balancer::{Answer, Load, RequestKind, kept, latencies};
use madderbay_testkit::measurement::loads::request_kind;
use madderbay_testkit::measurement::trips::{
    CALM, LENGTH, OVER, REQUEST_TIMEOUT_MS, ServerRun, SingleServer, rates,
};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::Duration;

const DEFAULT_SEEDS: u64 = 5;
/// Seeds without the fault.
const CALM_SEEDS: u64 = 2;
/// Runs at a time: each wants a core or two for its fakes.
const RUNS_AT_A_TIME: usize = 2;
/// The limit of the calls in flight before it is changed.
const INITIAL_LIMIT: f64 = 12.0;
/// The time that the limit gets to settle after the fault has begun or ended.
const SETTLING_TIME: Duration = Duration::from_secs(3);
const SECOND: Duration = Duration::from_secs(1);
/// What a line of the log about the limit begins with.
const LIMIT_LINE: &str = "INFO concurrency: limit ";
/// Lines that are printed of what broke.
const MAX_PRINTED: usize = 10;
/// During the fault, and after it.
const FAULT: Range<Duration> = CALM..OVER;
const AFTER: Range<Duration> = OVER..LENGTH;

const SETTINGS: &str = r#"{"classes": [
 {"name": "trip-search", "aim_us": 1500000, "hard_limit_us": 8000000,
  "importance": 1.0, "effect": "read_like"},
 {"name": "fare-quote", "aim_us": 1500000, "hard_limit_us": 8000000,
  "importance": 1.0, "effect": "read_like"},
 {"name": "seat-book", "aim_us": 3000000, "hard_limit_us": 8000000, "importance": 3.0,
  "effect": "idempotency_key", "repeat_window_us": 30000000}],
 "tenants": [{"name": "acme", "allowance_per_s": 500.0}],
 "family_info": {"n_cores": 4, "memory_kb": 100000.0, "blowup": 4.0, "key_kb": 2.0, "preemption": "freeze",
  "below": "one_for_all", "dep_share": 12.0, "share_span_us": 5000000, "linger_us": 200000,
  "class_calls": [true, false, true], "class_skip_worth": [0.6, 0.0, 0.0], "passes_deadline": true,
  "readiness": true, "say": "allowance", "upstreams": 2, "keepalive_max_us": 30000000,
  "meters": ["core_use", "on_cores", "heap_share", "links"]},
 "permissions": {"retry_after": true, "max_retry_after_us": 5000000},
 "rules": {"tip_multiple": 5.0, "drain_grace_us": 200000}, "servers": 1}"#;

const POOLS: &str = r"
[pools]
enabled = on
limits = adaptive
[pool seats]
handlers = seat-book
[pool searches]
handlers = trip-search
calls_weight = 0
[pool quotes]
handlers = fare-quote
[reserve]
handlers = fare-quote
part = 0.2
";

fn kinds() -> Vec<RequestKind> {
    let ms = Duration::from_millis;
    vec![
        request_kind("trip-search", 0.41, ms(1_500), false),
        request_kind("fare-quote", 0.37, ms(1_500), false),
        request_kind("seat-book", 0.22, ms(3_000), true),
    ]
}

fn works() -> Vec<HandlerWork> {
    let work = |handler, calls| HandlerWork::new(handler, (20.0, 40.0), calls);
    vec![
        work("trip-search", true),
        work("fare-quote", false),
        work("seat-book", true),
    ]
}

/// A change of the limit of the calls in flight.
struct LimitChange {
    at: Duration,
    to: f64,
}

/// What one run has shown.
struct Measured {
    run: ServerRun,
    limits: Vec<LimitChange>,
}

impl Measured {
    /// Runs a server with an operator file or without one, with the fault or without it.
    fn new(binary: &Path, operator: Option<&str>, fault: bool, seed: u64) -> Measured {
        let load = Load {
            kinds: kinds(),
            rates: rates(fault),
            length: LENGTH,
            seed,
            timeout_ms: REQUEST_TIMEOUT_MS,
        };
        let server = SingleServer::start(binary, SETTINGS, operator, works(), seed);
        let run = server.run(&load, fault);
        let limits = run.log.iter().filter_map(|(at, line)| {
            let rest = line.strip_prefix(LIMIT_LINE)?;
            let to = rest.split(", to=").nth(1);
            let to = to.and_then(|to| to.split(',').next()?.parse().ok());
            Some(LimitChange {
                at: *at,
                to: to.unwrap_or(0.0),
            })
        });
        Measured {
            limits: limits.collect(),
            run,
        }
    }

    /// The part of a handler's requests in a time that were answered in time.
    fn kept(&self, handler: usize, time: Range<Duration>) -> f64 {
        kept(&self.run.records, &kinds(), handler, time.start, time.end).1
    }

    /// The same of all requests.
    fn kept_of_all(&self) -> f64 {
        let (records, kinds) = (&self.run.records, kinds());
        let kept = records
            .iter()
            .filter(|record| record.in_time(kinds[record.handler].latency_objective));
        kept.count() as f64 / records.len() as f64
    }

    /// A handler's requests during the fault whose first answer is like this.
    fn answered(&self, handler: usize, is_like: fn(&Answer) -> bool) -> f64 {
        let records = self.run.records.iter();
        let during_fault =
            records.filter(|record| record.handler == handler && FAULT.contains(&record.sent));
        let answered = during_fault.filter(|record| {
            let first = record.answers.first();
            first.is_some_and(|(answer, _)| is_like(answer))
        });
        answered.count() as f64
    }

    fn slowest_ms(&self, handler: usize) -> f64 {
        latencies(&self.run.records, handler).value_at_quantile(0.99) as f64
    }

    fn peak(&self, time: Range<Duration>) -> f64 {
        self.run.peak(time) as f64
    }

    /// The widest swing of the limit within a time, as a part of its mean there.
    fn swing(&self, time: Range<Duration>) -> f64 {
        let mut earlier = self.limits.iter().rev();
        let before = earlier
            .find(|limit| limit.at < time.start)
            .map_or(INITIAL_LIMIT, |limit| limit.to);
        let within = self.limits.iter().filter(|limit| time.contains(&limit.at));
        let all: Vec<f64> = std::iter::once(before)
            .chain(within.map(|limit| limit.to))
            .collect();
        let least = all.iter().copied().fold(f64::MAX, f64::min);
        let most = all.iter().copied().fold(0.0, f64::max);
        let mean = all.iter().sum::<f64>() / all.len() as f64;
        (most - least) / mean.max(1e-9)
    }
}

/// The median, the least and the most of a figure.
fn range(results: &[Measured], figure: impl Fn(&Measured) -> f64) -> String {
    let mut values: Vec<f64> = results.iter().map(figure).collect();
    values.sort_by(f64::total_cmp);
    let (least, most) = (values[0], values[values.len() - 1]);
    let median = values[values.len() / 2];
    format!("{median:.2} ({least:.2} to {most:.2})")
}

pub(crate) fn main() {
    let mut args = std::env::args().skip(2);
    let seeds = args.next().and_then(|seeds| seeds.parse().ok());
    let seeds: u64 = seeds.unwrap_or(DEFAULT_SEEDS);
    let only = args.next();
    let binary = std::env::var("MADDERBAY").unwrap_or_else(|_| "target/release/madderbay".into());
    let binary = PathBuf::from(binary);
    let fixed = POOLS.replace("adaptive", "fixed");
    let ways = [
        ("off", None),
        ("fixed", Some(fixed.as_str())),
        ("adaptive", Some(POOLS)),
    ];
    println!("{seeds} seeds; median (least to most)");
    let mut violations = vec![];
    for (way, operator) in ways {
        if only.as_ref().is_none_or(|only| only == way) {
            violations.extend(measure(&binary, way, operator, seeds));
        }
    }
    println!("rules broken: {}", violations.len());
    let printed = violations.iter().take(MAX_PRINTED);
    printed.for_each(|line| println!("  {line}"));
}

/// Prints the figures of one way; gives the violated rules.
fn measure(binary: &Path, way: &str, operator: Option<&str>, seeds: u64) -> Vec<String> {
    let results = run_all(binary, operator, seeds);
    println!("== pools {way}");
    for (handler, kind) in kinds().iter().enumerate() {
        print_handler(handler, &kind.handler, &results);
    }
    println!(
        "calls in hand below: most in the trouble {}, after its first second {}, after it {}",
        range(&results, |r| r.peak(FAULT)),
        range(&results, |r| r.peak(CALM + SECOND..OVER)),
        range(&results, |r| r.peak(AFTER)),
    );
    println!(
        "swing of the limit from 3 s on: in the trouble {}, after it {}",
        range(&results, |r| r.swing(CALM + SETTLING_TIME..OVER)),
        range(&results, |r| r.swing(OVER + SETTLING_TIME..LENGTH)),
    );
    println!("CPU a req in all {} ms", range(&results, |r| r.run.cpu_ms));
    let calm: Vec<Measured> = (1..=CALM_SEEDS)
        .map(|seed| Measured::new(binary, operator, false, seed))
        .collect();
    println!(
        "calm only: kept {}, CPU a req {} ms",
        range(&calm, Measured::kept_of_all),
        range(&calm, |r| r.run.cpu_ms),
    );
    let all = results.into_iter().chain(calm);
    all.flat_map(|result| result.run.violations).collect()
}

/// Runs the fault with each seed.
fn run_all(binary: &Path, operator: Option<&str>, seeds: u64) -> Vec<Measured> {
    let seeds: Vec<u64> = (1..=seeds).collect();
    let mut results = vec![];
    for seeds in seeds.chunks(RUNS_AT_A_TIME) {
        std::thread::scope(|scope| {
            let run = |seed| scope.spawn(move || Measured::new(binary, operator, true, seed));
            let runs: Vec<_> = seeds.iter().map(|seed| run(*seed)).collect();
            let runs = runs.into_iter();
            results.extend(runs.map(|run| run.join().expect("played")));
        });
    }
    results
}

/// Prints the figures of one handler.
fn print_handler(handler: usize, name: &str, results: &[Measured]) {
    let kept = |time: Range<Duration>| range(results, |r| r.kept(handler, time.clone()));
    println!(
        "{name:12} kept in calm {}, in the trouble {}, in its first second {}, after {}",
        kept(Duration::ZERO..CALM),
        kept(FAULT),
        kept(CALM..CALM + SECOND),
        kept(AFTER),
    );
    let answered = |is_like: fn(&Answer) -> bool| range(results, |r| r.answered(handler, is_like));
    println!(
        "{:12} in the trouble done {}, shed {}, errored {}",
        "",
        answered(|answer| *answer == Answer::Completed),
        answered(|answer| matches!(answer, Answer::Rejected(_))),
        answered(|answer| *answer == Answer::Failed),
    );
    println!(
        "{:12} 99% of those done within {} ms",
        "",
        range(results, |r| r.slowest_ms(handler))
    );
}
