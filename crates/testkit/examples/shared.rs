//! Measures budgets shared over a fleet beside fixed parts and beside one giver elected by the view, and counts
//! against the truth.
//!
//!     cargo run --release -p madderbay-testkit --example shared simulated [SERVERS]
//!     ... shared drawn [COUNT]      ... shared counts
//!     cargo build --release && cargo run --release -p madderbay-testkit --example shared real
//!     ... shared histories [COUNT]      ... shared trouble

use madderbay::time::Duration;
use madderbay_membership::MemberState;
use madderbay_quota::counter::{CounterSettings, ReplicatedCounter};
use madderbay_testkit::catalogue::{Behavior, Catalogue};
use madderbay_testkit::engine::HandlerWork;
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::{Action, Condition, Fleet, FleetSetup, QuotaSetup, name};
use madderbay_testkit::fleet::script_generator::ScriptGenerator;
use madderbay_testkit::fleet::simulated::SimulatedFleet;
use madderbay_testkit::load_balancer::{Load, RequestKind, RequestRecord, kept, rule_violations};
use oorandom::Rand64;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration as StdDuration, Instant};

/// Calls that each server has of its own.
const EACH: u32 = 6;
const SIDE_BY_SIDE: usize = 6;

fn setup(n: usize, whole: u32, call_ms: u64) -> FleetSetup {
    let ms = Duration::from_millis;
    let budget = QuotaSetup {
        whole,
        servers: n as u32,
        seats: false,
        lease: ms(1_000),
        longest: ms(500),
        call: ms(call_ms),
        handlers: "book",
    };
    FleetSetup {
        budget: Some(budget),
        ..FleetSetup::of(n)
    }
}

fn start(who: usize) -> Action {
    Action::Start {
        who,
        name: who,
        clock: Duration::ZERO,
        back: false,
    }
}

fn act(fleet: &mut impl Fleet, act: Action) {
    fleet.act(&act).expect("done");
}

fn wait(fleet: &mut impl Fleet, what: &Condition, secs: f64) -> f64 {
    let began = fleet.at();
    while fleet.unmet(what).is_some() {
        if fleet.at().saturating_sub(began) > Duration::from_secs_f64(secs) {
            return f64::INFINITY;
        }
        fleet.pass();
    }
    fleet.at().saturating_sub(began).as_secs_f64()
}

fn begun(fleet: &mut impl Fleet, n: usize) {
    (0..n).for_each(|s| act(fleet, start(s)));
    assert!(
        wait(fleet, &Condition::Settled, 60.0).is_finite(),
        "settled"
    );
    let all = Condition::Has {
        who: (0..n).collect(),
        least: EACH,
        most: u32::MAX,
    };
    assert!(wait(fleet, &all, 30.0).is_finite(), "each has its own");
}

/// Work for so many calls at each server.
fn demand(case: &str, n: usize, whole: u32) -> Vec<u32> {
    match case {
        "even" => vec![whole * 13 / 10 / n as u32; n],
        // A third of the servers have nearly all of it.
        "skewed" => (0..n)
            .map(|s| {
                if s % 3 == 0 {
                    whole * 36 / 10 / n as u32
                } else {
                    1
                }
            })
            .collect(),
        _ => (0..n)
            .map(|s| if s == n / 2 { whole * 13 / 10 } else { 0 })
            .collect(),
    }
}

/// One giver, which each server holds to be the first of those in its view; it lends all there is by leases of
/// a second to who asks, and a new one waits for nothing.
struct Giver {
    whole: u32,
    /// By giver: to whom, how much, until when, and how much it wanted.
    books: Vec<Vec<(usize, u32, f64, u32)>>,
    has: Vec<(u32, f64)>,
    now: f64,
    peak: u32,
    used: f64,
}

const GIVER_STEP: f64 = 0.1;
const GIVER_LEASE: f64 = 1.0;

impl Giver {
    fn new(n: usize, whole: u32) -> Giver {
        Giver {
            whole,
            books: vec![vec![]; n],
            has: vec![(0, 0.0); n],
            now: 0.0,
            peak: 0,
            used: 0.0,
        }
    }

    fn step(&mut self, sim: &SimulatedFleet, want: &[u32], apart: impl Fn(usize, usize) -> bool) {
        self.now += GIVER_STEP;
        let mut used = 0;
        for who in 0..want.len() {
            let Some(members) = sim.members(who) else {
                continue;
            };
            let first = (0..want.len()).find(|s| {
                *s == who
                    || members
                        .member_state(&name(*s))
                        .is_some_and(|s| !matches!(s, MemberState::Down | MemberState::Left))
            });
            let giver = first.unwrap_or(who);
            if !apart(who, giver) && sim.members(giver).is_some() {
                let now = self.now;
                let book = &mut self.books[giver];
                book.retain(|b| b.2 > now && b.0 != who);
                let left = self.whole.saturating_sub(book.iter().map(|b| b.1).sum());
                // None has more than its part while others want theirs.
                let others = book.iter().map(|b| b.3).filter(|w| *w > 0);
                let even = self.whole / (1 + others.clone().count() as u32);
                let idle = others.map(|w| even.saturating_sub(w)).sum::<u32>();
                let units = want[who].min(left).min(even + idle);
                book.push((who, units, now + GIVER_LEASE, want[who]));
                self.has[who] = (units, now + GIVER_LEASE);
            }
            let (units, until) = self.has[who];
            used += if until > self.now {
                units.min(want[who])
            } else {
                0
            };
        }
        self.peak = self.peak.max(used);
        self.used += f64::from(used) * GIVER_STEP;
    }
}

struct Row {
    used: f64,
    follow: f64,
    peak: u32,
    bytes: f64,
}

/// Five seconds of a demand, once it has settled; how long it took, and the peak of all.
fn played(sim: &mut SimulatedFleet, n: usize, whole: u32, want: &[u32]) -> Row {
    (0..n).for_each(|s| act(sim, Action::Demand(s, 0)));
    sim.run(Duration::from_millis(3_000));
    sim.peak = 0;
    want.iter()
        .enumerate()
        .for_each(|(s, d)| act(sim, Action::Demand(s, *d)));
    let least = whole.min(want.iter().sum()) * 8 / 10;
    let follow = wait(
        sim,
        &Condition::Uses {
            who: (0..n).collect(),
            least,
        },
        20.0,
    );
    sim.run(Duration::from_millis(2_000));
    let bytes = |s: &SimulatedFleet| {
        (0..n)
            .filter_map(|i| Some(s.shared(i)?.totals().bytes_sent))
            .sum::<u64>()
    };
    let (before, sent) = (sim.used(), bytes(sim));
    sim.run(Duration::from_millis(5_000));
    let used = (sim.used() - before) / 5.0 / f64::from(whole);
    Row {
        used,
        follow,
        peak: sim.peak,
        bytes: (bytes(sim) - sent) as f64 / 5.0 / n as f64,
    }
}

fn given(
    sim: &mut SimulatedFleet,
    n: usize,
    whole: u32,
    want: &[u32],
    cut: bool,
    secs: f64,
) -> (f64, u32) {
    let mut giver = Giver::new(n, whole);
    let apart = |a: usize, b: usize| cut && (a < n / 2) != (b < n / 2);
    let steps = (secs / GIVER_STEP) as usize;
    for _ in 0..steps {
        sim.run(Duration::from_secs_f64(GIVER_STEP));
        giver.step(sim, want, apart);
    }
    (giver.used / secs / f64::from(whole), giver.peak)
}

fn simulated(only: Option<usize>) {
    println!(
        "| servers, demand | way | use of the whole | follows within, s | peak of the whole | bytes a second |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for n in [10, 100, 1_000]
        .into_iter()
        .filter(|n| only.is_none_or(|o| o == *n))
    {
        let whole = n as u32 * EACH;
        let mut sim = SimulatedFleet::new(setup(n, whole, 50), 1);
        begun(&mut sim, n);
        for case in ["even", "skewed", "single"] {
            let want = demand(case, n, whole);
            let row = played(&mut sim, n, whole, &want);
            println!(
                "| {n}, {case} | shared | {:.2} | {:.1} | {:.2} | {:.0} |",
                row.used,
                row.follow,
                f64::from(row.peak) / f64::from(whole),
                row.bytes
            );
            let fixed: u32 = want.iter().map(|w| (*w).min(EACH)).sum();
            println!(
                "| | fixed parts | {:.2} | - | 1.00 at most | 0 |",
                f64::from(fixed) / f64::from(whole)
            );
            if n <= 100 {
                let (used, peak) = given(&mut sim, n, whole, &want, false, 5.0);
                let peak = f64::from(peak) / f64::from(whole);
                println!("| | one giver | {used:.2} | - | {peak:.2} | - |");
            }
        }
        if n <= 100 {
            // Everyone wants all while the fleet is cut into halves, then deaf.
            let want = vec![whole; n];
            let halves = vec![(0..n / 2).collect(), (n / 2..n).collect()];
            act(&mut sim, Action::Cut(halves));
            let row = played(&mut sim, n, whole, &want);
            let peak = f64::from(row.peak) / f64::from(whole);
            println!(
                "| {n}, cut into halves | shared | {:.2} | {:.1} | {peak:.2} | {:.0} |",
                row.used, row.follow, row.bytes
            );
            let (used, peak) = given(&mut sim, n, whole, &want, true, 15.0);
            println!(
                "| | one giver | {used:.2} | - | {:.2} | - |",
                f64::from(peak) / f64::from(whole)
            );
            act(&mut sim, Action::Heal);
            act(
                &mut sim,
                Action::Network {
                    loss: Some(1.0),
                    double: None,
                    spoil: None,
                    delay: None,
                },
            );
            let row = played(&mut sim, n, whole, &want);
            let peak = f64::from(row.peak) / f64::from(whole);
            println!(
                "| {n}, all deaf | shared | {:.2} | {:.1} | {peak:.2} | {:.0} |",
                row.used, row.follow, row.bytes
            );
        }
    }
}

/// Drawn histories, simulated: the most calls in hand against the whole.
fn histories_simulated(count: u64) {
    let (next, worst) = (AtomicU64::new(0), Mutex::new((0.0f64, 0u64, 0u64)));
    std::thread::scope(|scope| {
        for _ in 0..SIDE_BY_SIDE {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= count {
                        return;
                    }
                    let n = 3 + (seed % 4) as usize;
                    let whole = n as u32 * EACH;
                    let mut sim = SimulatedFleet::new(setup(n, whole, 200), seed);
                    (0..n).for_each(|s| act(&mut sim, start(s)));
                    sim.run(Duration::from_millis(4_500));
                    let mut draw = ScriptGenerator::new(seed + 31, n, whole * 13 / 10);
                    for _ in 0..25 {
                        act(&mut sim, draw.act());
                        sim.run(Duration::from_secs_f64(draw.secs(0.8)));
                    }
                    let mut worst = worst.lock().expect("a figure");
                    worst.0 = worst.0.max(f64::from(sim.peak) / f64::from(whole));
                    worst.1 += u64::from(sim.peak > whole);
                    worst.2 += u64::from(sim.peak == whole);
                }
            });
        }
    });
    let (peak, over, at) = worst.into_inner().expect("a figure");
    println!(
        "{count} simulated histories of 3 to 6 servers, 25 faults and shifts each: peak {peak:.2} of the whole; over it {over}, at it {at}"
    );
}

/// The same on real processes, with load and each rule of each req.
fn histories_real(count: u64) {
    let (next, found) = (
        AtomicU64::new(0),
        Mutex::new((0usize, 0usize, 0u64, vec![])),
    );
    std::thread::scope(|scope| {
        for _ in 0..2 * SIDE_BY_SIDE {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= count {
                        return;
                    }
                    let n = 4;
                    let whole = n as u32 * EACH;
                    let mut stand = ProcessFleet::new(
                        setup(n, whole, 300),
                        binary(),
                        &settings(),
                        &works(),
                        seed,
                    );
                    begun(&mut stand, n);
                    (0..n).for_each(|s| act(&mut stand, Action::Demand(s, 2 * EACH)));
                    let mut draw = ScriptGenerator::new(seed + 77, n, whole * 2 / 3);
                    for _ in 0..10 {
                        act(&mut stand, draw.act());
                        std::thread::sleep(StdDuration::from_secs_f64(draw.secs(0.6)));
                    }
                    let peak = stand.catalogue(0).peak();
                    draw.stopped()
                        .into_iter()
                        .for_each(|s| act(&mut stand, Action::Continue(s)));
                    let (reqs, broken) = stand.finish_loads();
                    let mut found = found.lock().expect("figures");
                    found.0 = found.0.max(peak);
                    found.1 += reqs;
                    found.2 += u64::from(peak > whole as usize);
                    found
                        .3
                        .extend(broken.into_iter().map(|b| format!("seed {seed}: {b}")));
                }
            });
        }
    });
    let (peak, reqs, over, broken) = found.into_inner().expect("figures");
    println!(
        "{count} histories of 4 real processes, 10 faults and shifts each, {reqs} reqs: peak {peak} of {}, over it {over}; {} rules broken",
        4 * EACH,
        broken.len()
    );
    broken.iter().take(20).for_each(|b| println!("{b}"));
}

fn binary() -> &'static Path {
    let binary = Path::new("target/release/madderbay");
    assert!(binary.exists(), "build the release first");
    binary
}

const TRIPS: &str = include_str!("settings-trips.json");
const SLOTS: usize = 8;
const SHARE: u32 = 12;
const CALM: StdDuration = StdDuration::from_secs(5);
const OVER: StdDuration = StdDuration::from_secs(13);

/// The trouble of `docs/measured/pools.md` over five servers and one trip book, three in five reqs at one of
/// them: pools on, with a fixed part each and with a budget of the same whole.
fn trouble() {
    let kind = |handler: &str, part, ms, keyed| {
        let target = StdDuration::from_millis(ms);
        RequestKind {
            handler: handler.into(),
            part,
            target,
            keyed,
            project: "acme",
        }
    };
    let kinds = [
        kind("trip-search", 30.0, 2_000, false),
        kind("fare-quote", 40.0, 1_500, false),
        kind("seat-book", 20.0, 3_000, true),
    ];
    let work = |handler: &str, ms: f64, calls| HandlerWork {
        handler: handler.into(),
        ms: (ms, ms),
        calls,
    };
    let works = [
        work("trip-search", 40.0, true),
        work("fare-quote", 20.0, false),
        work("seat-book", 40.0, true),
    ];
    let pools = "[pools]\nenabled = on\n[pool seats]\nhandlers = seat-book\n[pool searches]\n\
                 handlers = trip-search\ncalls_weight = 0\n[reserve]\nhandlers = fare-quote\npart = 0.1\n";
    println!(
        "| way | kept in the trouble: trip-search, fare-quote, seat-book | after it | most below | rules broken | CPU a req, ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    let n = 5;
    for way in ["fixed parts", "shared"] {
        let mut setup = setup(n, SHARE, 25);
        let budget = setup.budget.as_mut().expect("set");
        (budget.handlers, budget.longest) =
            ("trip-search, seat-book", Duration::from_millis(4_000));
        if way == "fixed parts" {
            setup.budget = None;
        }
        let each = format!("\"dep_share\": {:.1}", f64::from(SHARE) / n as f64);
        let settings = TRIPS
            .replace("\"dep_share\": 12.0", &each)
            .replace("\"servers\": 1", "\"servers\": 5");
        let below = Catalogue::start(SLOTS, StdDuration::from_millis(25));
        let mut stand =
            ProcessFleet::over(Some(below.clone()), setup, binary(), &settings, &works, 1);
        stand.operator = pools.into();
        (0..n).for_each(|s| act(&mut stand, start(s)));
        wait(&mut stand, &Condition::Settled, 30.0);
        if way == "shared" {
            let own = Condition::Has {
                who: (0..n).collect(),
                least: SHARE / n as u32,
                most: u32::MAX,
            };
            wait(&mut stand, &own, 30.0);
        }
        below.peak();
        let parts = [0.6, 0.1, 0.1, 0.1, 0.1];
        let cpu = |s: &ProcessFleet| (0..n).filter_map(|i| Some(s.server(i)?.cpu())).sum::<f64>();
        let before = cpu(&stand);
        let all: Vec<(Vec<RequestRecord>, usize)> = std::thread::scope(|scope| {
            let (kinds, below) = (&kinds, &below);
            let of = |s| {
                (
                    stand.engine(s).clone(),
                    stand.server(s).expect("runs").address,
                )
            };
            let ends: Vec<_> = (0..n).map(of).collect();
            let loads: Vec<_> = ends
                .into_iter()
                .enumerate()
                .map(|(s, (engine, server))| {
                    scope.spawn(move || {
                        let rates = [
                            (StdDuration::ZERO, 90.0),
                            (CALM, 144.0),
                            (CALM + StdDuration::from_secs(5), 90.0),
                        ];
                        let rates = rates.map(|r| (r.0, r.1 * parts[s])).to_vec();
                        let length = StdDuration::from_secs(20);
                        let load = Load {
                            kinds: kinds.to_vec(),
                            rates,
                            length,
                            seed: s as u64 + 1,
                            allow_ms: 8_000,
                        };
                        let mut mood = 1.0;
                        let records = load.run(
                            server,
                            |name| engine.answered(name),
                            |now| {
                                let wanted = if now >= CALM && now < OVER { 20.0 } else { 1.0 };
                                if s == 0 && std::mem::replace(&mut mood, wanted) != wanted {
                                    below.set_behavior(Behavior::Slow(wanted));
                                }
                            },
                        );
                        let broken = rule_violations(&records, kinds, &engine.stats().bodies).len();
                        (records, broken)
                    })
                })
                .collect();
            loads
                .into_iter()
                .map(|l| l.join().expect("loaded"))
                .collect()
        });
        let broken: usize = all.iter().map(|a| a.1).sum();
        let records: Vec<RequestRecord> = all.into_iter().flat_map(|a| a.0).collect();
        let part = |h, from, to| format!("{:.2}", kept(&records, &kinds, h, from, to).1);
        let during = [0, 1, 2].map(|h| part(h, CALM, OVER)).join(", ");
        let after = [0, 1, 2]
            .map(|h| part(h, OVER, StdDuration::from_secs(20)))
            .join(", ");
        let each = (cpu(&stand) - before) * 1e3 / records.len() as f64;
        println!(
            "| {way} | {during} | {after} | {} | {broken} | {each:.2} |",
            below.peak()
        );
    }
}

fn settings() -> String {
    let text =
        include_str!("settings.json").replace("\"tip_multiple\": 5.0", "\"tip_multiple\": 40.0");
    text.replace("\"memory_kb\": 4000.0", "\"memory_kb\": 400000.0")
}

fn works() -> Vec<HandlerWork> {
    vec![HandlerWork {
        handler: "book".into(),
        ms: (1.0, 3.0),
        calls: true,
    }]
}

fn real() {
    println!(
        "| processes, demand | use of the whole | follows within, s | peak of the whole | CPU a req, ms |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for n in [5, 12] {
        let whole = n as u32 * EACH;
        let mut stand = ProcessFleet::new(setup(n, whole, 300), binary(), &settings(), &works(), 1);
        begun(&mut stand, n);
        for case in ["even", "skewed", "single"] {
            let want = demand(case, n, whole);
            stand.catalogue(0).peak();
            (0..n).for_each(|s| act(&mut stand, Action::Demand(s, 0)));
            std::thread::sleep(StdDuration::from_secs(3));
            want.iter()
                .enumerate()
                .for_each(|(s, d)| act(&mut stand, Action::Demand(s, *d)));
            let least = whole.min(want.iter().sum()) * 8 / 10;
            let follow = wait(
                &mut stand,
                &Condition::Uses {
                    who: (0..n).collect(),
                    least,
                },
                20.0,
            );
            std::thread::sleep(StdDuration::from_secs(2));
            let cpu =
                |s: &ProcessFleet| (0..n).filter_map(|i| Some(s.server(i)?.cpu())).sum::<f64>();
            let (done, before, began) =
                (stand.catalogue(0).stats().done, cpu(&stand), Instant::now());
            let (mut sum, mut looks) = (0.0, 0.0);
            while began.elapsed() < StdDuration::from_secs(5) {
                let all = (0..n)
                    .filter_map(|s| Some(stand.lent(s)?.in_use))
                    .sum::<u32>();
                (sum, looks) = (sum + f64::from(all), looks + 1.0);
                std::thread::sleep(StdDuration::from_millis(50));
            }
            let reqs = f64::from(stand.catalogue(0).stats().done - done).max(1.0);
            let peak = stand.catalogue(0).peak() as f64 / f64::from(whole);
            println!(
                "| {n}, {case} | {:.2} | {follow:.1} | {peak:.2} | {:.2} |",
                sum / looks / f64::from(whole),
                (cpu(&stand) - before) * 1e3 / reqs
            );
        }
        let (reqs, broken) = stand.finish_loads();
        println!("| {n} | {reqs} reqs, {} rules broken | | | |", broken.len());
    }
}

/// Errors of counts against the truth and against the bound told; memory with many tenants.
fn counts() {
    println!(
        "| servers, loss | told, truth, bound (median look) | unheard at a look | outside the bound | bytes a second |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for (n, loss) in [(5, 0.0), (5, 0.1), (12, 0.0), (12, 0.1), (100, 0.0)] {
        let mut sim = SimulatedFleet::new(
            FleetSetup {
                window: Some(Duration::from_millis(10_000)),
                ..FleetSetup::of(n)
            },
            1,
        );
        (0..n).for_each(|s| act(&mut sim, start(s)));
        wait(&mut sim, &Condition::Settled, 60.0);
        act(
            &mut sim,
            Action::Network {
                loss: Some(loss),
                double: None,
                spoil: None,
                delay: None,
            },
        );
        let key = madderbay_quota::name_hash("acme");
        (0..n).for_each(|s| sim.reqs(s, key, 4.0 + s as f64 % 5.0));
        sim.run(Duration::from_millis(20_000));
        let bytes = |s: &SimulatedFleet| {
            (0..n)
                .filter_map(|i| Some(s.shared(i)?.totals().bytes_sent))
                .sum::<u64>()
        };
        let before = bytes(&sim);
        let mut looks: Vec<(f64, f64, u32, usize)> = vec![];
        for _ in 0..40 {
            sim.run(Duration::from_millis(500));
            let truth = sim.truth(key);
            for who in 0..n.min(12) {
                let told = sim.told(who, key, 2.0).expect("counts");
                looks.push((told.bound(), told.value, truth, told.stale_servers));
            }
        }
        looks.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (bound, value, truth, unheard) = looks[looks.len() / 2];
        let each = (bytes(&sim) - before) as f64 / 20.0 / n as f64;
        let (out, all) = sim.out_of_bounds;
        println!(
            "| {n}, {loss} | {value:.0}, {truth}, {bound:.0} | {unheard} | {out} of {all} | {each:.0} |"
        );
    }
    let mut counts = ReplicatedCounter::new(
        madderbay::time::Timestamp::from_micros(1),
        CounterSettings {
            name: "tenants".into(),
            window: Duration::from_millis(10_000),
            max_per_second: 1_000.0,
        },
    );
    let (before, mut chance, began) = (memory_kb(), Rand64::new(3), Instant::now());
    for n in 0..1_000_000u64 {
        counts.add(
            madderbay::time::Timestamp::from_micros(1 + n * 20),
            chance.rand_range(0..100_000) as u32,
            1,
        );
    }
    println!(
        "a million reqs of 100,000 tenants counted in {:.1} s, {} KB more memory",
        began.elapsed().as_secs_f64(),
        memory_kb() - before
    );
}

fn memory_kb() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

fn main() {
    let mut args = std::env::args().skip(1);
    let what = args.next().unwrap_or_default();
    let number: Option<u64> = args.next().and_then(|n| n.parse().ok());
    match what.as_str() {
        "simulated" => simulated(number.map(|n| n as usize)),
        "drawn" => histories_simulated(number.unwrap_or(10_000)),
        "counts" => counts(),
        "trouble" => trouble(),
        "real" => real(),
        "histories" => histories_real(number.unwrap_or(200)),
        _ => eprintln!("simulated, drawn, counts, real, histories or trouble"),
    }
}
