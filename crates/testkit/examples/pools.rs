//! Measures pools against the program without them and with fixed limits, between stand-ins on loopback:
//!
//!     cargo build --release && cargo run --release -p madderbay-testkit --example pools [SEEDS]
//!
//! An engine of 4 cores (work 20 to 40 ms), a trip book of 8 slots (25 ms a call), 90 reqs a second. From the
//! 5th to the 13th second the trip book is 20 times slower; for the first 5 of these 1.6 times as many reqs
//! come.

use madderbay_testkit::catalogue::{Behavior, Catalogue};
use madderbay_testkit::engine::{Engine, HandlerWork};
use madderbay_testkit::load_balancer::{
    Answer, Load, Rates, RequestKind, RequestRecord, kept, latencies, rule_violations,
};
use madderbay_testkit::registry;
use madderbay_testkit::server::{Dependencies, Server, configuration};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

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

const SLOTS: usize = 8;
const SHARE: usize = 12;
const CALM: Duration = Duration::from_secs(5);
const OVER: Duration = Duration::from_secs(13);
const LENGTH: Duration = Duration::from_secs(20);
const SETTLE: Duration = Duration::from_secs(3);

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
    let kind = |handler: &str, part, ms, keyed| RequestKind {
        handler: handler.into(),
        part,
        target: Duration::from_millis(ms),
        keyed,
        project: "acme",
    };
    vec![
        kind("trip-search", 0.41, 1500, false),
        kind("fare-quote", 0.37, 1500, false),
        kind("seat-book", 0.22, 3000, true),
    ]
}

struct Found {
    records: Vec<RequestRecord>,
    /// Calls in hand at the trip book, by 10 ms of the run.
    in_hand: Vec<usize>,
    /// Changes of the limit: when, and to what.
    levels: Vec<(Duration, f64)>,
    broken: Vec<String>,
    cpu_ms: f64,
}

fn run_script(binary: &Path, operator: Option<&str>, trouble: bool, seed: u64) -> Found {
    let work = |handler: &str, calls| HandlerWork {
        handler: handler.into(),
        ms: (20.0, 40.0),
        calls,
    };
    let works = vec![
        work("trip-search", true),
        work("fare-quote", false),
        work("seat-book", true),
    ];
    let engine = Engine::start(4.0, works, seed);
    let catalogue = Catalogue::start(SLOTS, Duration::from_millis(25));
    let (registry, reports) = registry::start();
    let others = Dependencies {
        engine: engine.address,
        registry,
        catalogue: catalogue.address,
    };
    let text = configuration("127.0.0.1:0", others, 256, 3_000, SETTINGS);
    let mut server = Server::start(binary, &text, operator);
    reports
        .recv_timeout(Duration::from_secs(10))
        .expect("a report");
    server.log_at("engine: up");
    let log = server.follow();
    let rates: Rates = if trouble {
        let after = CALM + Duration::from_secs(5);
        vec![(Duration::ZERO, 90.0), (CALM, 144.0), (after, 90.0)]
    } else {
        vec![(Duration::ZERO, 90.0)]
    };
    let load = Load {
        kinds: kinds(),
        rates,
        length: LENGTH,
        seed,
        allow_ms: 8_000,
    };
    let (began, from) = (Instant::now(), catalogue.stats().in_hand.len());
    let cpu = server.cpu();
    let mut mood = 1.0;
    let records = load.run(
        server.address,
        |name| engine.answered(name),
        |now| {
            let wanted = if trouble && now >= CALM && now < OVER {
                20.0
            } else {
                1.0
            };
            if std::mem::replace(&mut mood, wanted) != wanted {
                catalogue.set_behavior(Behavior::Slow(wanted));
            }
        },
    );
    let cpu_ms = (server.cpu() - cpu) * 1e3 / records.len() as f64;
    let broken = rule_violations(&records, &kinds(), &engine.stats().bodies);
    server.signal("-TERM");
    let mut levels = vec![];
    while let Ok((at, line)) = log.recv_timeout(Duration::from_secs(10)) {
        if let Some(rest) = line.strip_prefix("INFO concurrency: limit ") {
            let to = rest
                .split(", to=")
                .nth(1)
                .and_then(|t| t.split(',').next()?.parse().ok());
            levels.push((at.saturating_duration_since(began), to.unwrap_or(0.0)));
        }
    }
    let in_hand = catalogue.stats().in_hand.split_off(from);
    Found {
        records,
        in_hand,
        levels,
        broken,
        cpu_ms,
    }
}

fn peak(found: &Found, from: Duration, to: Duration) -> usize {
    let row = |at: Duration| (at.as_millis() as usize / 10).min(found.in_hand.len());
    found.in_hand[row(from)..row(to)]
        .iter()
        .copied()
        .max()
        .unwrap_or(0)
}

/// The widest swing of the limit within a time, as a part of its mean there.
fn swing(found: &Found, from: Duration, to: Duration) -> f64 {
    let before = found
        .levels
        .iter()
        .rev()
        .find(|l| l.0 < from)
        .map_or(SHARE as f64, |l| l.1);
    let within = found
        .levels
        .iter()
        .filter(|l| l.0 >= from && l.0 < to)
        .map(|l| l.1);
    let all: Vec<f64> = std::iter::once(before).chain(within).collect();
    let (low, high) = all
        .iter()
        .fold((f64::MAX, 0.0f64), |(l, h), v| (l.min(*v), h.max(*v)));
    (high - low) / (all.iter().sum::<f64>() / all.len() as f64).max(1e-9)
}

/// Median, least and most.
fn range(mut of: Vec<f64>) -> String {
    of.sort_by(f64::total_cmp);
    let (low, high) = (of[0], of[of.len() - 1]);
    format!("{:.2} ({low:.2} to {high:.2})", of[of.len() / 2])
}

fn main() {
    let seeds: u64 = std::env::args()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or(5);
    let binary = std::env::var("MADDERBAY").unwrap_or_else(|_| "target/release/madderbay".into());
    let binary = PathBuf::from(binary);
    let fixed = POOLS.replace("adaptive", "fixed");
    let only = std::env::args().nth(2);
    let ways = [
        ("off", None),
        ("fixed", Some(fixed.as_str())),
        ("adaptive", Some(POOLS)),
    ];
    let kinds = kinds();
    println!("{seeds} seeds; median (least to most)");
    let mut broken = vec![];
    for (way, operator) in ways
        .into_iter()
        .filter(|w| only.as_ref().is_none_or(|o| o == w.0))
    {
        let found: Vec<Found> = std::thread::scope(|scope| {
            let run = |seed| {
                scope.spawn({
                    let binary = &binary;
                    move || run_script(binary, operator, true, seed)
                })
            };
            // Two at a time: each wants a core or two for its stand-ins.
            let seeds: Vec<u64> = (1..=seeds).collect();
            seeds
                .chunks(2)
                .flat_map(|pair| {
                    let runs: Vec<_> = pair.iter().map(|s| run(*s)).collect();
                    runs.into_iter()
                        .map(|r| r.join().expect("played"))
                        .collect::<Vec<_>>()
                })
                .collect()
        });
        let each = |what: &dyn Fn(&Found) -> f64| range(found.iter().map(what).collect());
        println!("== pools {way}");
        for (h, kind) in kinds.iter().enumerate() {
            let part = |f: &Found, from, to| kept(&f.records, &kinds, h, from, to).1;
            println!(
                "{:12} kept in calm {}, in the trouble {}, in its first second {}, after {}",
                kind.handler,
                each(&|f| part(f, Duration::ZERO, CALM)),
                each(&|f| part(f, CALM, OVER)),
                each(&|f| part(f, CALM, CALM + Duration::from_secs(1))),
                each(&|f| part(f, OVER, LENGTH)),
            );
            let ends = |f: &Found, is: &dyn Fn(&Answer) -> bool| {
                let of = f
                    .records
                    .iter()
                    .filter(|x| x.handler == h && x.sent >= CALM && x.sent < OVER);
                of.filter(|x| x.answers.first().is_some_and(|a| is(&a.0)))
                    .count() as f64
            };
            println!(
                "{:12} in the trouble done {}, shed {}, errored {}",
                "",
                each(&|f| ends(f, &|a| *a == Answer::Completed)),
                each(&|f| ends(f, &|a| matches!(a, Answer::Rejected(_)))),
                each(&|f| ends(f, &|a| *a == Answer::Failed)),
            );
            println!(
                "{:12} 99% of those done within {} ms",
                "",
                each(&|f| { latencies(&f.records, h).value_at_quantile(0.99) as f64 })
            );
        }
        println!(
            "calls in hand below: most in the trouble {}, after its first second {}, after it {}",
            each(&|f| peak(f, CALM, OVER) as f64),
            each(&|f| peak(f, CALM + Duration::from_secs(1), OVER) as f64),
            each(&|f| peak(f, OVER, LENGTH) as f64),
        );
        println!(
            "swing of the limit from 3 s on: in the trouble {}, after it {}",
            each(&|f| swing(f, CALM + SETTLE, OVER)),
            each(&|f| swing(f, OVER + SETTLE, LENGTH)),
        );
        println!("CPU a req in all {} ms", each(&|f| f.cpu_ms));
        broken.extend(found.into_iter().flat_map(|f| f.broken));
        let calm: Vec<Found> = (1..=2)
            .map(|seed| run_script(&binary, operator, false, seed))
            .collect();
        let value = |f: &Found| {
            let kept = f
                .records
                .iter()
                .filter(|x| x.kept(kinds[x.handler].target))
                .count();
            kept as f64 / f.records.len() as f64
        };
        println!(
            "calm only: kept {}, CPU a req {} ms",
            range(calm.iter().map(value).collect()),
            range(calm.iter().map(|f| f.cpu_ms).collect()),
        );
        broken.extend(calm.into_iter().flat_map(|f| f.broken));
    }
    println!("rules broken: {}", broken.len());
    broken.iter().take(10).for_each(|b| println!("  {b}"));
}
