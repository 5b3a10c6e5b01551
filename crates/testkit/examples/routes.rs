//! Measures routes beside round robin without ejection, least in hand with plain repeats, and own judgement alone.
//!
//!     cargo run --release -p madderbay-testkit --example routes simulated [SERVERS BACKENDS [CASE [SEEDS]]]
//!     cargo build --release && cargo run --release -p madderbay-testkit --example routes real
//!     ... routes look MODE [SEED]       one case, second by second, with what was left out and why

use madderbay::time::Duration;
use madderbay_testkit::backend_simulation::{
    BackendFault, BackendFleetSetup, BackendSimulation, RoutingPolicy,
};
use madderbay_testkit::catalogue::{Behavior, Catalogue};
use madderbay_testkit::engine::HandlerWork;
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::{Action, Condition, Fleet, FleetSetup};
use madderbay_testkit::load_balancer::{Load, RequestKind, RequestRecord, rule_violations};
use std::path::Path;
use std::time::{Duration as StdDuration, Instant};

const WAYS: [(RoutingPolicy, &str); 4] = [
    (RoutingPolicy::Shared, "shared"),
    (RoutingPolicy::Alone, "own alone"),
    (RoutingPolicy::LeastInHand, "least in hand, repeats"),
    (RoutingPolicy::RoundRobin, "round robin"),
];
const SEEDS: u64 = 3;
/// Calm before the trouble, the trouble, and what follows, in milliseconds.
const CALM: u64 = 5_000;
const OVER: u64 = 15_000;
const END: u64 = 40_000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What is done to a world at the beginning of the trouble, and at its end.
type Deed = fn(&mut BackendSimulation, bool);

fn one(mode: BackendFault) -> impl Fn(&mut BackendSimulation, bool) {
    move |w: &mut BackendSimulation, on: bool| {
        w.mode(1, if on { mode } else { BackendFault::Slow(1.0) })
    }
}

fn all(w: &mut BackendSimulation, mode: BackendFault) {
    (0..w.setup.backends).for_each(|b| w.mode(b, mode));
}

const CASES: [(&str, Deed); 10] = [
    ("one 10 times slower", |w, on| {
        one(BackendFault::Slow(10.0))(w, on)
    }),
    ("one fails at once", |w, on| one(BackendFault::Fails)(w, on)),
    ("one never answers", |w, on| {
        one(BackendFault::Silent)(w, on)
    }),
    ("one refuses", |w, on| one(BackendFault::Down)(w, on)),
    ("cut between a zone and one", |w, on| {
        w.cuts = if on { vec![(1, 1)] } else { vec![] }
    }),
    ("one server finds all bad", |w, on| w.cut_off(0, on)),
    ("one lies of three", |w, on| {
        w.lies(0, if on { vec![1, 4, 7] } else { vec![] })
    }),
    ("all 10 times slower", |w, on| {
        all(w, BackendFault::Slow(if on { 10.0 } else { 1.0 }))
    }),
    ("all fail", |w, on| {
        all(
            w,
            if on {
                BackendFault::Fails
            } else {
                BackendFault::Slow(1.0)
            },
        )
    }),
    ("all never answer", |w, on| {
        all(
            w,
            if on {
                BackendFault::Silent
            } else {
                BackendFault::Slow(1.0)
            },
        )
    }),
];

fn simulated(servers: usize, backends: usize, only: &str, seeds: u64) {
    let each = rate(servers, backends) / backends as f64;
    println!(
        "\n{servers} servers, {backends} backends, {each:.2} calls a second of each to each\n"
    );
    let heads = [
        "case",
        "way",
        "kept",
        "99% of calls within, ms",
        "off after, s",
        "back after, s",
        "load for each first try",
        "left out wrongly, server-seconds",
        "most on the one that returns, of its part",
    ];
    println!(
        "| {} |\n|{}",
        heads.join(" | "),
        " --- |".repeat(heads.len())
    );
    for (case, deed) in CASES.into_iter().filter(|c| c.0.contains(only)) {
        for (way, name) in WAYS {
            let rows: Vec<[f64; 7]> = std::thread::scope(|scope| {
                let play = |seed| move || row(servers, backends, way, deed, seed);
                let all: Vec<_> = (0..seeds).map(|seed| scope.spawn(play(seed))).collect();
                all.into_iter().map(|t| t.join().expect("played")).collect()
            });
            let mid = |i: usize| {
                let mut of: Vec<f64> = rows.iter().map(|r| r[i]).collect();
                of.sort_by(f64::total_cmp);
                of[of.len() / 2]
            };
            let secs = |i: usize| {
                if mid(i).is_finite() {
                    format!("{:.1}", mid(i))
                } else {
                    "never".into()
                }
            };
            let single =
                case.starts_with("one ") && !case.contains("server") && !case.contains("lies");
            let (off, back, most) = if single {
                (secs(2), secs(3), format!("{:.1}", mid(6)))
            } else {
                ("-".into(), "-".into(), "-".into())
            };
            let slowest = if mid(1).is_nan() {
                "-".into()
            } else {
                format!("{:.0}", mid(1))
            };
            println!(
                "| {case} | {name} | {:.3} | {slowest} | {off} | {back} | {:.2} | {:.0} | {most} |",
                mid(0),
                mid(4),
                mid(5)
            );
        }
    }
}

/// Under one call a second of each server to each backend in a large group; ten a second in a small one.
fn rate(servers: usize, backends: usize) -> f64 {
    match (servers, backends) {
        (..=12, n) => n as f64,
        (_, n) => (n as f64 * 0.3).min(20.0),
    }
}

fn row(servers: usize, backends: usize, way: RoutingPolicy, deed: Deed, seed: u64) -> [f64; 7] {
    let zones = if servers >= 3 { 3 } else { 1 };
    let mut world = BackendSimulation::new(
        BackendFleetSetup {
            way,
            zones,
            rate: rate(servers, backends),
            ..BackendFleetSetup::of(servers, backends)
        },
        seed,
    );
    world.run(ms(CALM));
    world.times.clear();
    deed(&mut world, true);
    world.run(ms(OVER - CALM));
    let slowest = world.slowest();
    deed(&mut world, false);
    world.run(ms(END - OVER));
    // Its part in calm is the measure; in few calls a second chance alone makes it.
    let fair = world.part(1, 1_000, CALM);
    let secs = |t: Option<u64>| t.map_or(f64::INFINITY, |t| t as f64 / 1e3);
    let off = secs(world.until(1, CALM, true, fair * 0.25));
    let back = secs(world.until(1, OVER, false, fair * 0.5));
    let wrongly: f64 = (0..backends)
        .filter(|b| *b != 1)
        .map(|b| world.out(b, CALM, OVER))
        .sum();
    let most = (OVER..END - 1_000)
        .step_by(100)
        .map(|ms| world.part(1, ms, ms + 1_000) / fair)
        .fold(0.0, f64::max);
    [
        world.kept(CALM, OVER),
        slowest,
        off,
        back,
        world.load(CALM + 1_000, OVER),
        wrongly,
        most,
    ]
}

fn look(case: &str, seed: u64) {
    let (case, deed) = CASES
        .into_iter()
        .find(|c| c.0.contains(case))
        .unwrap_or(CASES[0]);
    let mut world = BackendSimulation::new(BackendFleetSetup::of(12, 10), seed);
    world.run(ms(CALM));
    deed(&mut world, true);
    world.run(ms(OVER - CALM));
    deed(&mut world, false);
    world.run(ms(END - OVER));
    println!("{case}");
    for from in (0..END).step_by(1_000) {
        let (kept, part) = (
            world.kept(from, from + 1_000),
            world.part(1, from, from + 1_000),
        );
        let out = world.out(1, from, from + 1_000);
        println!(
            "{:3} s: kept {kept:.3}, part of it {part:.3}, left out by {out:.1}, load {:.2}",
            from / 1_000,
            world.load(from, from + 1_000)
        );
    }
    world.log.iter().for_each(|l| println!("{l}"));
}

/// Real processes over ten stand-in backends, one of which fares ill from the fifth to the thirteenth second: with
/// all of it, without words of others, and with nobody left out and nothing repeated.
fn real() {
    println!(
        "| processes, trouble | way | kept: search, book | 99% of searches within, ms | off after, s | back after, s | CPU a req, ms | rules broken |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for n in [5, 12] {
        for (trouble, mood) in [
            ("10 times slower", Behavior::Slow(10.0)),
            ("fails at once", Behavior::Fails),
            ("never answers", Behavior::Silent),
        ] {
            for (way, keys) in [
                ("shared", ""),
                ("own alone", "shares = off\n"),
                (
                    "nobody left out, no repeats",
                    "shares = off\nout_most = 0\nrepeats = 0\nhedges = off\n",
                ),
            ] {
                let row = real_row(n, mood, keys);
                println!("| {n}, {trouble} | {way} | {row} |");
            }
        }
    }
}

fn real_row(n: usize, mood: Behavior, keys: &str) -> String {
    let binary = Path::new("target/release/madderbay");
    assert!(binary.exists(), "build the release first");
    let settings = include_str!("settings.json")
        .replace("\"tip_multiple\": 5.0", "\"tip_multiple\": 40.0")
        .replace("\"memory_kb\": 4000.0", "\"memory_kb\": 400000.0")
        .replace("\"dep_share\": 8.0", "\"dep_share\": 60.0");
    let target = StdDuration::from_secs(2);
    let kind = |handler: &str, part, keyed| RequestKind {
        handler: handler.into(),
        part,
        target,
        keyed,
        project: "acme",
    };
    let kinds = [kind("search", 3.0, false), kind("book", 1.0, true)];
    let work = |handler: &str| HandlerWork {
        handler: handler.into(),
        ms: (1.0, 2.0),
        calls: true,
    };
    let backends: Vec<Catalogue> = (0..10)
        .map(|_| Catalogue::start(100, StdDuration::from_millis(20)))
        .collect();
    let mut stand = ProcessFleet::new(
        FleetSetup::of(n),
        binary,
        &settings,
        &[work("search"), work("book")],
        1,
    );
    let section = |b: (usize, &Catalogue)| {
        format!(
            "[backend b{}]\naddress = {}\nhandlers = search, book\n",
            b.0, b.1.address
        )
    };
    let sections: String = backends.iter().enumerate().map(section).collect();
    stand.operator = format!("[routes]\nenabled = on\n{keys}{sections}");
    for who in 0..n {
        stand
            .act(&Action::Start {
                who,
                name: who,
                clock: Duration::ZERO,
                back: false,
            })
            .expect("started");
    }
    while stand.unmet(&Condition::Settled).is_some() {
        stand.pass();
    }
    // Calls that came to the second backend, by tenth of a second.
    let (rate, calm, over, end) = (10.0, 5_000, 13_000, 25_000);
    let began = Instant::now();
    let ends: Vec<_> = (0..n)
        .map(|s| {
            (
                stand.engine(s).clone(),
                stand.server(s).expect("runs").address,
            )
        })
        .collect();
    let cpu = |stand: &ProcessFleet| {
        (0..n)
            .filter_map(|s| Some(stand.server(s)?.cpu()))
            .sum::<f64>()
    };
    let before = cpu(&stand);
    let (records, broken, came) = std::thread::scope(|scope| {
        let loads: Vec<_> = ends
            .into_iter()
            .enumerate()
            .map(|(s, (engine, address))| {
                let kinds = &kinds;
                scope.spawn(move || {
                    let rates = vec![(StdDuration::ZERO, rate)];
                    let length = StdDuration::from_millis(end);
                    let load = Load {
                        kinds: kinds.to_vec(),
                        rates,
                        length,
                        seed: s as u64,
                        allow_ms: 3_000,
                    };
                    let records = load.run(address, |name| engine.answered(name), |_| ());
                    let broken = rule_violations(&records, kinds, &engine.stats().bodies).len();
                    (records, broken)
                })
            })
            .collect();
        let mut came: Vec<u32> = vec![];
        let mut ill = false;
        while began.elapsed() < StdDuration::from_millis(end) {
            let now = began.elapsed().as_millis() as u64;
            if (calm..over).contains(&now) != ill {
                ill = !ill;
                backends[1].set_behavior(if ill { mood } else { Behavior::Slow(1.0) });
            }
            came.push(backends[1].stats().came);
            std::thread::sleep(
                StdDuration::from_millis(100).saturating_sub(StdDuration::from_millis(now % 100)),
            );
        }
        let all: Vec<(Vec<RequestRecord>, usize)> = loads
            .into_iter()
            .map(|l| l.join().expect("loaded"))
            .collect();
        let broken: usize = all.iter().map(|a| a.1).sum();
        (
            all.into_iter()
                .flat_map(|a| a.0)
                .collect::<Vec<RequestRecord>>(),
            broken,
            came,
        )
    });
    let during = |f: &&RequestRecord| {
        f.sent >= StdDuration::from_millis(calm) && f.sent < StdDuration::from_millis(over)
    };
    let kept = |handler: usize| {
        let of: Vec<&RequestRecord> = records
            .iter()
            .filter(during)
            .filter(|f| f.handler == handler)
            .collect();
        of.iter().filter(|f| f.kept(target)).count() as f64 / of.len().max(1) as f64
    };
    let searches: Vec<RequestRecord> = records
        .iter()
        .filter(during)
        .filter(|f| f.handler == 0)
        .cloned()
        .collect();
    let slowest = madderbay_testkit::load_balancer::latencies(&searches, 0).value_at_quantile(0.99);
    let fair = f64::from(came[calm as usize / 100 - 1] - came[10]) / (calm as f64 / 1e3 - 1.0);
    let at = |ms: u64| {
        came.get(ms as usize / 100)
            .or(came.last())
            .copied()
            .unwrap_or(0)
    };
    let second = |from: u64| f64::from(at(from + 1_000) - at(from));
    let off = (calm..over - 1_000)
        .step_by(100)
        .find(|ms| second(*ms) < 0.4 * fair);
    let back = (over..end - 1_500)
        .step_by(100)
        .find(|ms| second(*ms) > 0.5 * fair);
    let secs = |t: Option<u64>, from| {
        t.map_or("never".into(), |t: u64| {
            format!("{:.1}", (t - from) as f64 / 1e3)
        })
    };
    let each = (cpu(&stand) - before) * 1e3 / records.len() as f64;
    format!(
        "{:.3}, {:.3} | {slowest} | {} | {} | {each:.2} | {broken}",
        kept(0),
        kept(1),
        secs(off, calm),
        secs(back, over)
    )
}

fn main() {
    let mut args = std::env::args().skip(1);
    let what = args.next().unwrap_or_default();
    let rest: Vec<String> = args.collect();
    let number = |i: usize| rest.get(i).and_then(|n| n.parse::<usize>().ok());
    match what.as_str() {
        "simulated" => match (number(0), number(1)) {
            (Some(servers), Some(backends)) => {
                let only = rest.get(2).map_or("", String::as_str);
                simulated(
                    servers,
                    backends,
                    only,
                    number(3).map_or(SEEDS, |n| n as u64),
                );
            }
            _ => {
                let all = [(5, 10), (12, 100), (300, 10), (300, 100)];
                all.into_iter()
                    .for_each(|(s, b)| simulated(s, b, "", SEEDS));
            }
        },
        "look" => look(
            rest.first().map_or("", String::as_str),
            number(1).unwrap_or(0) as u64,
        ),
        "real" => real(),
        _ => eprintln!("simulated, real or look"),
    }
}
