//! Compares pools with adaptive limits, with fixed limits, and no pools: goodput of each handler,
//! calls in flight upstream, and the variation of the limit. The work of a run takes 20 to 40 ms.

use madderbay_testkit::engine::HandlerWork;
use madderbay_testkit::load_balancer::{Answer, KindId, RequestKind, goodput, latencies};
use madderbay_testkit::measurement::loads::request_kind;
use madderbay_testkit::measurement::report::{Violations, median};
use madderbay_testkit::measurement::seeds::run_seeds;
use madderbay_testkit::measurement::trips::{
    AFTER_FAULT, BEFORE_FAULT, FAULT, Scenario, ServerRun,
};
use std::ops::Range;
use std::time::Duration;

const DEFAULT_SEEDS: u64 = 5;
/// Number of seeds without the fault.
const FAULTLESS_SEEDS: u64 = 2;
/// Number of runs in parallel: each needs a core or two for its fakes.
const RUNS_IN_PARALLEL: usize = 2;
/// Limit of the calls in flight before its first change.
const INITIAL_LIMIT: f64 = 12.0;
/// Time that the limit is given to settle after the fault has begun or ended.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Time at the beginning of the fault that is reported separately.
const FIRST_SECOND: Duration = Duration::from_secs(1);
/// Beginning of a log line about the limit.
const LIMIT_LINE: &str = "INFO concurrency: limit ";

const SETTINGS: &str = include_str!("settings.json");
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

/// Measures all variants or only one, and prints their figures.
pub(crate) fn measure(seeds: Option<u64>, only_variant: Option<&str>) {
    let seeds = seeds.unwrap_or(DEFAULT_SEEDS);
    let fixed = POOLS.replace("adaptive", "fixed");
    let variants = [
        ("off", None),
        ("fixed", Some(fixed.as_str())),
        ("adaptive", Some(POOLS)),
    ];
    println!("{seeds} seeds; median (least to most)");
    let mut violations = Violations::default();
    for (variant, operator) in variants {
        if only_variant.is_none_or(|only_variant| only_variant == variant) {
            measure_variant(variant, operator, seeds, &mut violations);
        }
    }
    println!("invariants violated: {}", violations.count());
    violations.print_first();
}

fn measure_variant(variant: &str, operator: Option<&str>, seeds: u64, violations: &mut Violations) {
    println!("== pools {variant}");
    let results = run_seeds(1..seeds + 1, RUNS_IN_PARALLEL, |seed| {
        Measurement::new(operator, true, seed)
    });
    for (index, kind) in kinds().iter().enumerate() {
        print_kind(KindId::new(index), &kind.handler, &results);
    }
    print_calls(&results);
    // These runs are made one at a time, since their processor time is compared.
    let without_fault = run_seeds(1..FAULTLESS_SEEDS + 1, 1, |seed| {
        Measurement::new(operator, false, seed)
    });
    println!(
        "calm only: goodput {}, CPU a request {} ms",
        range(&without_fault, Measurement::total_goodput),
        range(&without_fault, |measurement| measurement.run.cpu_ms),
    );
    for measurement in results.into_iter().chain(without_fault) {
        violations.add(measurement.seed, measurement.run.violations);
    }
}

/// Prints the figures of one kind of request.
fn print_kind(kind: KindId, name: &str, results: &[Measurement]) {
    let goodput = |time: Range<Duration>| {
        range(results, |measurement| {
            measurement.goodput(kind, time.clone())
        })
    };
    println!(
        "{name:12} goodput in calm {}, during the fault {}, in its first second {}, after it {}",
        goodput(BEFORE_FAULT),
        goodput(FAULT),
        goodput(FAULT.start..FAULT.start + FIRST_SECOND),
        goodput(AFTER_FAULT),
    );
    let answered = |is_expected: fn(&Answer) -> bool| {
        range(results, |measurement| {
            measurement.answered(kind, is_expected)
        })
    };
    println!(
        "{:12} during the fault completed {}, rejected {}, failed {}",
        "",
        answered(|answer| *answer == Answer::Completed),
        answered(|answer| matches!(answer, Answer::Rejected(_))),
        answered(|answer| *answer == Answer::Failed),
    );
    println!(
        "{:12} p99 of those completed {} ms",
        "",
        range(results, |measurement| measurement.p99_ms(kind))
    );
}

/// Prints the figures of the upstream calls and of their limit.
fn print_calls(results: &[Measurement]) {
    let peak = |time: Range<Duration>| range(results, |measurement| measurement.peak(time.clone()));
    println!(
        "most calls in flight upstream: during the fault {}, after its first second {}, after it {}",
        peak(FAULT),
        peak(FAULT.start + FIRST_SECOND..FAULT.end),
        peak(AFTER_FAULT),
    );
    let swing =
        |time: Range<Duration>| range(results, |measurement| measurement.swing(time.clone()));
    println!(
        "swing of the limit from 3 s on: during the fault {}, after it {}",
        swing(FAULT.start + SETTLING_TIME..FAULT.end),
        swing(AFTER_FAULT.start + SETTLING_TIME..AFTER_FAULT.end),
    );
    println!(
        "CPU a request in all {} ms",
        range(results, |measurement| measurement.run.cpu_ms)
    );
}

/// Formats the median, the minimum and the maximum of a figure.
fn range(results: &[Measurement], figure: impl Fn(&Measurement) -> f64) -> String {
    let mut values: Vec<f64> = results.iter().map(figure).collect();
    let median = median(&mut values);
    let least = values[0];
    let most = values[values.len() - 1];
    format!("{median:.2} ({least:.2} to {most:.2})")
}

/// A change of the limit of the calls in flight.
struct LimitChange {
    at: Duration,
    limit: f64,
}

impl LimitChange {
    /// Parses a log line; `None` if the line is not about the limit.
    fn read(at: Duration, line: &str) -> Option<LimitChange> {
        let rest = line.strip_prefix(LIMIT_LINE)?;
        let limit = rest.split(", to=").nth(1);
        let limit = limit.and_then(|limit| limit.split(',').next()?.parse().ok());
        Some(LimitChange {
            at,
            limit: limit.unwrap_or(0.0),
        })
    }
}

/// Results of one run.
struct Measurement {
    seed: u64,
    run: ServerRun,
    limit_changes: Vec<LimitChange>,
}

impl Measurement {
    fn new(operator: Option<&str>, fault: bool, seed: u64) -> Measurement {
        let scenario = Scenario {
            settings: SETTINGS,
            operator,
            kinds: kinds(),
            works: works(),
            fault,
            seed,
        };
        let run = scenario.run();
        let log = run.log.iter();
        let limit_changes = log.filter_map(|(at, line)| LimitChange::read(*at, line));
        Measurement {
            seed,
            limit_changes: limit_changes.collect(),
            run,
        }
    }

    fn goodput(&self, kind: KindId, time: Range<Duration>) -> f64 {
        goodput(&self.run.records, &kinds(), kind, time)
    }

    /// Returns the goodput of all handlers over the whole run.
    fn total_goodput(&self) -> f64 {
        let records = &self.run.records;
        let kinds = kinds();
        let in_time = records
            .iter()
            .filter(|record| record.in_time(kinds[record.kind.index()].latency_objective));
        in_time.count() as f64 / records.len() as f64
    }

    /// Returns the number of a handler's requests during the fault whose first answer satisfies
    /// `is_expected`.
    fn answered(&self, kind: KindId, is_expected: fn(&Answer) -> bool) -> f64 {
        let records = self.run.records.iter();
        let during_fault =
            records.filter(|record| record.kind == kind && FAULT.contains(&record.sent));
        let answered = during_fault.filter(|record| {
            let first = record.answers.first();
            first.is_some_and(|(answer, _)| is_expected(answer))
        });
        answered.count() as f64
    }

    /// Returns the 99th percentile of a handler's response times, in milliseconds.
    fn p99_ms(&self, kind: KindId) -> f64 {
        latencies(&self.run.records, kind).value_at_quantile(0.99) as f64
    }

    /// Returns the largest number of calls in flight during a time range.
    fn peak(&self, time: Range<Duration>) -> f64 {
        self.run.peak(time) as f64
    }

    /// Returns the difference between the largest and the smallest limit during a time range, as a
    /// fraction of the mean of its values there.
    fn swing(&self, time: Range<Duration>) -> f64 {
        let mut earlier = self.limit_changes.iter().rev();
        let initial = earlier
            .find(|change| change.at < time.start)
            .map_or(INITIAL_LIMIT, |change| change.limit);
        let changes = self.limit_changes.iter();
        let during = changes.filter(|change| time.contains(&change.at));
        let limits: Vec<f64> = std::iter::once(initial)
            .chain(during.map(|change| change.limit))
            .collect();
        let least = limits.iter().copied().fold(f64::MAX, f64::min);
        let most = limits.iter().copied().fold(0.0, f64::max);
        let mean = limits.iter().sum::<f64>() / limits.len() as f64;
        (most - least) / mean.max(1e-9)
    }
}
