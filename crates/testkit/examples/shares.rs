//! Pools under shares from too small to ten times too large, between stand-ins on loopback:
//!
//!     cargo build --release && cargo run --release -p madderbay-testkit --example shares [SEEDS [SHARE]]
//!
//! An engine of 4 cores, a trip book of 8 slots (25 ms a call), 30 trip-searches, 40 fare-quotes and 20
//! seat-books a second. From the 5th to the 13th second the trip book is 20 times slower; for the first 5 of
//! these 1.6 times as many reqs come.

use madderbay_testkit::catalogue::{Behavior, Catalogue};
use madderbay_testkit::engine::{Engine, HandlerWork};
use madderbay_testkit::load_balancer::{Load, RequestKind, kept, rule_violations};
use madderbay_testkit::registry;
use madderbay_testkit::server::{Dependencies, Server, configuration};
use std::path::Path;
use std::time::{Duration, Instant};

const SETTINGS: &str = include_str!("settings-trips.json");
const SLOTS: usize = 8;
const CALM: Duration = Duration::from_secs(5);
const OVER: Duration = Duration::from_secs(13);
const LENGTH: Duration = Duration::from_secs(20);
const SHARES: [f64; 5] = [2.0, 6.0, 12.0, 40.0, 80.0];

const POOLS: &str = "[pools]\nenabled = on\nlimits = adaptive\n[pool seats]\nhandlers = seat-book\n\
                     [pool searches]\nhandlers = trip-search\ncalls_weight = 0\n\
                     [reserve]\nhandlers = fare-quote\npart = 0.1\n";

fn kinds() -> Vec<RequestKind> {
    let kind = |handler: &str, part, ms, keyed| {
        let target = Duration::from_millis(ms);
        RequestKind {
            handler: handler.into(),
            part,
            target,
            keyed,
            project: "acme",
        }
    };
    vec![
        kind("trip-search", 30.0, 2_000, false),
        kind("fare-quote", 40.0, 1_500, false),
        kind("seat-book", 20.0, 3_000, true),
    ]
}

struct Found {
    kept: [f64; 3],
    after: [f64; 3],
    most: usize,
    levels: Vec<(f64, String)>,
    broken: usize,
}

fn run_script(operator: Option<&str>, share: f64, seed: u64) -> Found {
    let work = |handler: &str, ms: f64, calls| HandlerWork {
        handler: handler.into(),
        ms: (ms, ms),
        calls,
    };
    let works = vec![
        work("trip-search", 40.0, true),
        work("fare-quote", 20.0, false),
        work("seat-book", 40.0, true),
    ];
    let engine = Engine::start(4.0, works, seed);
    let catalogue = Catalogue::start(SLOTS, Duration::from_millis(25));
    let (registry, reports) = registry::start();
    let others = Dependencies {
        engine: engine.address,
        registry,
        catalogue: catalogue.address,
    };
    let settings = SETTINGS.replace("\"dep_share\": 12.0", &format!("\"dep_share\": {share:.1}"));
    let text = configuration("127.0.0.1:0", others, 256, 3_000, &settings);
    let mut server = Server::start(Path::new("target/release/madderbay"), &text, operator);
    reports
        .recv_timeout(Duration::from_secs(10))
        .expect("a report");
    server.log_at("engine: up");
    let log = server.follow();
    let rates = vec![
        (Duration::ZERO, 90.0),
        (CALM, 144.0),
        (CALM + Duration::from_secs(5), 90.0),
    ];
    let load = Load {
        kinds: kinds(),
        rates,
        length: LENGTH,
        seed,
        allow_ms: 8_000,
    };
    let (began, from) = (Instant::now(), catalogue.stats().in_hand.len());
    let mut mood = 1.0;
    let records = load.run(
        server.address,
        |name| engine.answered(name),
        |now| {
            let wanted = if now >= CALM && now < OVER { 20.0 } else { 1.0 };
            if std::mem::replace(&mut mood, wanted) != wanted {
                catalogue.set_behavior(Behavior::Slow(wanted));
            }
        },
    );
    let kinds = kinds();
    let broken = rule_violations(&records, &kinds, &engine.stats().bodies).len();
    server.signal("-TERM");
    let mut levels = vec![];
    while let Ok((at, line)) = log.recv_timeout(Duration::from_secs(10)) {
        if line.contains("concurrency: limit ") {
            levels.push((at.saturating_duration_since(began).as_secs_f64(), line));
        }
    }
    let part = |from, to| [0, 1, 2].map(|h| kept(&records, &kinds, h, from, to).1);
    let seen = catalogue.stats().in_hand.split_off(from);
    let row = |at: Duration| (at.as_millis() as usize / 10).min(seen.len());
    let most = seen[row(CALM)..row(OVER)]
        .iter()
        .copied()
        .max()
        .unwrap_or(0);
    Found {
        kept: part(CALM, OVER),
        after: part(OVER, LENGTH),
        most,
        levels,
        broken,
    }
}

fn main() {
    let mut args = std::env::args().skip(1);
    let seeds: u64 = args.next().and_then(|n| n.parse().ok()).unwrap_or(3);
    let only: Option<f64> = args.next().and_then(|n| n.parse().ok());
    println!(
        "kept in the trouble, median of {seeds} seeds: trip-search, fare-quote, seat-book; most calls below; after"
    );
    for share in SHARES.into_iter().filter(|s| only.is_none_or(|o| o == *s)) {
        for (way, operator) in [("off", None), ("adaptive", Some(POOLS))] {
            let found: Vec<Found> = std::thread::scope(|scope| {
                let runs: Vec<_> = (1..=seeds)
                    .map(|seed| scope.spawn(move || run_script(operator, share, seed)))
                    .collect();
                runs.into_iter()
                    .map(|r| r.join().expect("played"))
                    .collect()
            });
            let median = |what: &dyn Fn(&Found) -> f64| {
                let mut all: Vec<f64> = found.iter().map(what).collect();
                all.sort_by(f64::total_cmp);
                all[all.len() / 2]
            };
            let kept = [0, 1, 2]
                .map(|h| format!("{:.2}", median(&|f| f.kept[h])))
                .join(", ");
            let after = [0, 1, 2]
                .map(|h| format!("{:.2}", median(&|f| f.after[h])))
                .join(", ");
            let broken: usize = found.iter().map(|f| f.broken).sum();
            println!(
                "| {share} | {way} | {kept} | {} | {after} | {broken} |",
                median(&|f| f.most as f64)
            );
            if only.is_some() {
                found[0]
                    .levels
                    .iter()
                    .for_each(|l| println!("  {:6.2} {}", l.0, l.1));
            }
        }
    }
}
