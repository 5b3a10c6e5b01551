//! Measures the view of the fleet beside all-to-all heartbeats and beside SWIM without the accuser's own health.
//!
//!     cargo run --release -p madderbay-testkit --example members simulated [SEEDS [MEMBERS [LOSS]]]
//!     cargo run --release -p madderbay-testkit --example members hour
//!     cargo build --release && cargo run --release -p madderbay-testkit --example members real [SEEDS]
//!     ... members histories [COUNT]      ... members flood      ... members cost

use madderbay::time::Duration;
use madderbay_testkit::engine::{Engine, HandlerWork};
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::{Action, Condition, Fleet, FleetSetup};
use madderbay_testkit::fleet::simulated::SimulatedFleet;
use madderbay_testkit::load_balancer::{Load, RequestKind, latencies, rule_violations};
use madderbay_testkit::registry;
use madderbay_testkit::server::{Dependencies, Server, configuration};
use oorandom::Rand64;
use std::net::UdpSocket;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::Receiver;
use std::time::{Duration as StdDuration, Instant};

/// Longer than anything that settles at all.
const TERM: Duration = Duration::from_millis(120_000);
/// Calm over which bytes and processor time are counted.
const CALM: Duration = Duration::from_millis(20_000);

/// Plays at a time, and seeds at a thousand members.
const SIDE_BY_SIDE: usize = 5;
const SEEDS_OF_MANY: u64 = 5;

const HEAD: &str = "| way, members, loss | join, s | crash, s | cut, s | heal, s | bytes a second | CPU, % of a core \
                    | wrongly down |\n| --- | --- | --- | --- | --- | --- | --- | --- |";

/// What the plays of one row found: seconds, infinite where the term passed; bytes a second a member.
#[derive(Default)]
struct Row {
    join: Vec<f64>,
    crash: Vec<f64>,
    cut: Vec<f64>,
    heal: Vec<f64>,
    bytes: Vec<f64>,
    cpu: Vec<f64>,
    wrong: usize,
}

fn told(values: &mut [f64], digits: usize) -> String {
    values.sort_by(f64::total_cmp);
    match values {
        [] => "-".into(),
        _ => format!(
            "{:.digits$} ({:.digits$})",
            values[values.len() / 2],
            values[values.len() - 1]
        ),
    }
}

impl Row {
    fn add(&mut self, other: Row) {
        self.join.extend(other.join);
        self.crash.extend(other.crash);
        self.cut.extend(other.cut);
        self.heal.extend(other.heal);
        self.bytes.extend(other.bytes);
        self.cpu.extend(other.cpu);
        self.wrong += other.wrong;
    }

    fn print(&mut self, head: &str) {
        let cpu = told(&mut self.cpu, 3);
        let (join, crash) = (told(&mut self.join, 1), told(&mut self.crash, 1));
        let (cut, heal, bytes) = (
            told(&mut self.cut, 1),
            told(&mut self.heal, 1),
            told(&mut self.bytes, 0),
        );
        println!(
            "| {head} | {join} | {crash} | {cut} | {heal} | {bytes} | {cpu} | {} |",
            self.wrong
        );
    }
}

fn settle(fleet: &mut impl Fleet) -> f64 {
    let began = fleet.at();
    while fleet.unmet(&Condition::Settled).is_some() {
        if fleet.at().saturating_sub(began) > TERM {
            return f64::INFINITY;
        }
        fleet.pass();
    }
    fleet.at().saturating_sub(began).as_secs_f64()
}

fn start(who: usize) -> Action {
    Action::Start {
        who,
        name: who,
        clock: Duration::ZERO,
        back: false,
    }
}

/// All but the last settle; it joins, one crashes, a third is cut off, the cut heals. `calm` counts what a
/// settled fleet costs.
fn run_script<F: Fleet>(
    fleet: &mut F,
    n: usize,
    row: &mut Row,
    calm: impl FnOnce(&mut F, &mut Row),
) {
    let act = |fleet: &mut F, act: Action| fleet.act(&act).expect("done");
    (0..n - 1).for_each(|s| act(fleet, start(s)));
    if settle(fleet).is_infinite() {
        return row.join.push(f64::INFINITY);
    }
    calm(fleet, row);
    act(fleet, start(n - 1));
    row.join.push(settle(fleet));
    act(fleet, Action::Kill(n / 2));
    row.crash.push(settle(fleet));
    act(
        fleet,
        Action::Cut(vec![(0..n / 3).collect(), (n / 3..n).collect()]),
    );
    row.cut.push(settle(fleet));
    act(fleet, Action::Heal);
    row.heal.push(settle(fleet));
}

fn net(loss: f64) -> Action {
    let delay = Some((Duration::from_micros(200), Duration::from_millis(5)));
    Action::Network {
        loss: Some(loss),
        double: None,
        spoil: None,
        delay,
    }
}

/// The faults of a row, ours and without own health: each way is played over the same seeds, several at a time.
fn ours(n: usize, loss: f64, seeds: u64, minds_itself: bool) -> Row {
    let (next, rows) = (AtomicU64::new(0), Mutex::new(Row::default()));
    std::thread::scope(|scope| {
        for _ in 0..SIDE_BY_SIDE {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds {
                        return;
                    }
                    let mut row = Row::default();
                    let mut sim = SimulatedFleet::new(
                        FleetSetup {
                            minds_itself,
                            ..FleetSetup::of(n)
                        },
                        seed,
                    );
                    sim.act(&net(loss)).expect("set");
                    run_script(&mut sim, n, &mut row, |sim, row| {
                        let sent = |sim: &SimulatedFleet| {
                            sim.running().map(|m| m.1.counters().bytes_out).sum::<u64>()
                        };
                        let (before, began) = (sent(sim), Instant::now());
                        sim.run(CALM);
                        let each = CALM.as_secs_f64() * (n - 1) as f64;
                        row.bytes.push((sent(sim) - before) as f64 / each);
                        row.cpu.push(began.elapsed().as_secs_f64() / each * 100.0);
                    });
                    row.wrong = sim.wrongly_down;
                    rows.lock().expect("rows").add(row);
                }
            });
        }
    });
    rows.into_inner().expect("rows")
}

fn simulated(seeds: u64, only: Option<usize>, only_loss: Option<f64>) {
    println!("{HEAD}");
    for n in [10, 100, 1_000]
        .into_iter()
        .filter(|n| only.is_none_or(|o| o == *n))
    {
        for loss in [0.0, 0.1, 0.3]
            .into_iter()
            .filter(|l| only_loss.is_none_or(|o| o == *l))
        {
            let seeds = if n > 100 {
                seeds.min(SEEDS_OF_MANY)
            } else {
                seeds
            };
            let mut row = ours(n, loss, seeds, true);
            row.print(&format!("ours, {n}, {loss}"));
            ours(n, loss, seeds, false).print(&format!("no own health, {n}, {loss}"));
            let mut row = Row::default();
            for seed in 0..if n > 100 { 1 } else { seeds } {
                heartbeats(n, loss, seed, &mut row);
            }
            row.print(&format!("heartbeats, {n}, {loss}"));
        }
    }
    println!("memory of this process, MB: {}", memory_kb() / 1_024);
}

fn memory_kb() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// All-to-all heartbeats: each sends a word of 60 bytes to each other every half second, and holds down whom it
/// has not heard for 3 s. Everyone's address is known to all beforehand, which flatters it.
struct Beats {
    n: usize,
    loss: f64,
    chance: Rand64,
    now: f64,
    up: Vec<bool>,
    /// Paused until then.
    paused: Vec<f64>,
    group: Vec<usize>,
    heard: Vec<f64>,
    phase: Vec<f64>,
    sent: u64,
}

const BEAT: f64 = 0.5;
const SILENT: f64 = 3.0;
const STEP: f64 = 0.05;

impl Beats {
    fn new(n: usize, loss: f64, seed: u64) -> Beats {
        let mut chance = Rand64::new(u128::from(seed) + 1);
        let phase = (0..n).map(|_| chance.rand_float() * BEAT).collect();
        Beats {
            n,
            loss,
            chance,
            now: 0.0,
            up: vec![true; n],
            paused: vec![0.0; n],
            group: vec![0; n],
            heard: vec![f64::MIN; n * n],
            phase,
            sent: 0,
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for i in 0..self.n {
            self.phase[i] -= STEP;
            if self.phase[i] > 0.0 || !self.up[i] || self.paused[i] > self.now {
                continue;
            }
            self.phase[i] = BEAT;
            for j in (0..self.n).filter(|j| *j != i) {
                self.sent += 60;
                if self.up[j]
                    && self.group[i] == self.group[j]
                    && self.chance.rand_float() >= self.loss
                {
                    self.heard[j * self.n + i] = self.now;
                }
            }
        }
    }

    fn holds_in(&self, i: usize, j: usize) -> bool {
        self.now - self.heard[i * self.n + j] <= SILENT
    }

    fn settled(&self) -> bool {
        (0..self.n).filter(|i| self.up[*i]).all(|i| {
            (0..self.n)
                .filter(|j| *j != i)
                .all(|j| self.holds_in(i, j) == (self.up[j] && self.group[i] == self.group[j]))
        })
    }

    fn settle(&mut self) -> f64 {
        let began = self.now;
        while !self.settled() {
            if self.now - began > 30.0 {
                return f64::INFINITY;
            }
            self.step();
        }
        self.now - began
    }
}

fn heartbeats(n: usize, loss: f64, seed: u64, row: &mut Row) {
    let mut beats = Beats::new(n, loss, seed);
    beats.up[n - 1] = false;
    if beats.settle().is_infinite() {
        return row.join.push(f64::INFINITY);
    }
    let (before, began, at) = (beats.sent, Instant::now(), beats.now);
    while beats.now - at < 5.0 {
        beats.step();
    }
    row.bytes
        .push((beats.sent - before) as f64 / 5.0 / n as f64);
    let _ = began;
    beats.up[n - 1] = true;
    row.join.push(beats.settle());
    beats.up[n / 2] = false;
    row.crash.push(beats.settle());
    (0..n / 3).for_each(|s| beats.group[s] = 1);
    row.cut.push(beats.settle());
    beats.group = vec![0; n];
    row.heal.push(beats.settle());
}

/// An hour at one in ten lost, one in twenty paused for 2 s each minute: downs declared of the living.
fn hour() {
    let (n, loss, minutes) = (100, 0.1, 60);
    for (way, minds_itself) in [("ours", true), ("no own health", false)] {
        let mut sim = SimulatedFleet::new(
            FleetSetup {
                minds_itself,
                ..FleetSetup::of(n)
            },
            1,
        );
        sim.act(&net(loss)).expect("set");
        (0..n).for_each(|s| sim.act(&start(s)).expect("started"));
        settle(&mut sim);
        let mut chance = Rand64::new(5);
        let (mut downs, mut suspicions) = (0, 0);
        for _ in 0..minutes {
            let paused: Vec<usize> = (0..n).filter(|_| chance.rand_float() < 0.05).collect();
            paused
                .iter()
                .for_each(|s| sim.act(&Action::Stop(*s)).expect("stopped"));
            sim.run(Duration::from_millis(2_000));
            paused
                .iter()
                .for_each(|s| sim.act(&Action::Continue(*s)).expect("continued"));
            sim.run(Duration::from_millis(58_000));
        }
        for (_, m) in sim.running() {
            downs += m.counters().down_declarations;
            suspicions += m.counters().suspicions;
        }
        println!(
            "{way}: {downs} downs held of the living, {suspicions} suspicions, {n} members, {minutes} minutes"
        );
    }
    let mut beats = Beats::new(n, loss, 1);
    let mut chance = Rand64::new(5);
    let (mut downs, mut held) = (0u64, vec![true; n * n]);
    beats.settle();
    for _ in 0..minutes {
        let from = beats.now;
        let paused: Vec<usize> = (0..n).filter(|_| chance.rand_float() < 0.05).collect();
        paused.iter().for_each(|s| beats.paused[*s] = from + 2.0);
        while beats.now - from < 60.0 {
            beats.step();
            for i in (0..n).filter(|i| beats.paused[*i] <= beats.now) {
                for j in (0..n).filter(|j| *j != i) {
                    let now = beats.holds_in(i, j);
                    downs += u64::from(held[i * n + j] && !now);
                    held[i * n + j] = now;
                }
            }
        }
    }
    println!("heartbeats: {downs} downs held of the living, {n} members, {minutes} minutes");
}

const SETTINGS: &str = include_str!("settings.json");

fn works() -> Vec<HandlerWork> {
    let of = |handler: &str, calls| HandlerWork {
        handler: handler.into(),
        ms: (2.0, 6.0),
        calls,
    };
    vec![of("search", true), of("quote", false), of("book", true)]
}

fn load(seed: u64, secs: u64, rate: f64) -> Load {
    let kind = |handler: &str, part, keyed| {
        let target = StdDuration::from_secs(2);
        RequestKind {
            handler: handler.into(),
            part,
            target,
            keyed,
            project: "acme",
        }
    };
    Load {
        kinds: vec![
            kind("search", 0.4, false),
            kind("quote", 0.4, false),
            kind("book", 0.2, true),
        ],
        rates: vec![(StdDuration::ZERO, rate)],
        length: StdDuration::from_secs(secs),
        seed,
        allow_ms: 5_000,
    }
}

/// Seeded histories of five real processes: faults drawn one after the other, load on one server all along, and
/// at the end all views have to settle. Tells what broke.
fn histories(count: u64) {
    let (next, broken) = (AtomicU64::new(0), Mutex::new(vec![]));
    let (reqs, faults, slowest) = (AtomicU64::new(0), AtomicU64::new(0), Mutex::new(0.0f64));
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= count {
                        return;
                    }
                    let mut chance = Rand64::new(u128::from(seed) + 77);
                    let setup = FleetSetup {
                        memory: Duration::from_millis(2_000),
                        ..FleetSetup::of(5)
                    };
                    let mut stand = ProcessFleet::new(setup, binary(), SETTINGS, &works(), seed);
                    (0..5).for_each(|s| stand.act(&start(s)).expect("started"));
                    let began = settle(&mut stand);
                    let (engine, server) = (
                        stand.engine(0).clone(),
                        stand.server(0).expect("runs").address,
                    );
                    let load = load(seed, 3, 60.0);
                    let (records, healed) = std::thread::scope(|scope| {
                        let loading =
                            scope.spawn(|| load.run(server, |name| engine.answered(name), |_| ()));
                        let mut up = [true; 5];
                        for _ in 0..8 {
                            let who = 1 + (chance.rand_float() * 4.0) as usize;
                            let part = chance.rand_float() * 0.3;
                            let act = match (chance.rand_float() * 8.0) as usize {
                                0 if up[who] => Action::Kill(who),
                                1 if up[who] => Action::Drain(who),
                                2 => Action::Cut(vec![
                                    vec![0, who],
                                    (1..5).filter(|s| *s != who).collect(),
                                ]),
                                3 => Action::OneWay(who, vec![0, 1, 2]),
                                4 => Action::Heal,
                                5 => net(part),
                                6 => Action::Replay(0),
                                _ if !up[who] => start(who),
                                _ => Action::Network {
                                    loss: None,
                                    double: Some(part),
                                    spoil: Some(part),
                                    delay: None,
                                },
                            };
                            up[who] = match act {
                                Action::Kill(_) | Action::Drain(_) => false,
                                Action::Start { .. } => true,
                                _ => up[who],
                            };
                            stand.act(&act).expect("done");
                            faults.fetch_add(1, Ordering::Relaxed);
                            let pause = StdDuration::from_secs_f64(chance.rand_float() * 0.5);
                            std::thread::sleep(pause);
                        }
                        stand.act(&Action::Heal).expect("healed");
                        stand
                            .act(&Action::Network {
                                loss: None,
                                double: None,
                                spoil: None,
                                delay: None,
                            })
                            .expect("calm");
                        let healed = settle(&mut stand);
                        (loading.join().expect("loaded"), healed)
                    });
                    reqs.fetch_add(records.len() as u64, Ordering::Relaxed);
                    let mut wrong = rule_violations(&records, &load.kinds, &engine.stats().bodies);
                    if began.is_infinite() || healed.is_infinite() {
                        wrong.push(format!(
                            "not settled: {:?}",
                            stand.unmet(&Condition::Settled)
                        ));
                    }
                    let mut most = slowest.lock().expect("a figure");
                    *most = most.max(healed);
                    broken
                        .lock()
                        .expect("a list")
                        .extend(wrong.into_iter().map(|w| format!("seed {seed}: {w}")));
                }
            });
        }
    });
    let broken = broken.into_inner().expect("a list");
    println!(
        "{count} histories of 5 processes, {} faults, {} reqs: {} rules or views broken; slowest to settle {:.1} s",
        faults.into_inner(),
        reqs.into_inner(),
        broken.len(),
        slowest.into_inner().expect("a figure")
    );
    broken.iter().take(20).for_each(|b| println!("{b}"));
}

/// What reqs cost and take while strays come in.
fn flood() {
    println!("| strays a second | 50, 99% of reqs within, ms | CPU a req, ms | CPU, % of a core |");
    println!("| --- | --- | --- | --- |");
    for strays in [0, 10_000] {
        let mut stand = ProcessFleet::new(FleetSetup::of(3), binary(), SETTINGS, &works(), 1);
        (0..3).for_each(|s| stand.act(&start(s)).expect("started"));
        settle(&mut stand);
        let (engine, server) = (stand.engine(0).clone(), stand.server(0).expect("runs"));
        let (on, heard) = (AtomicBool::new(true), stand.heard_at(0).expect("it hears"));
        let (before, load) = (server.cpu(), load(3, 10, 200.0));
        let records = std::thread::scope(|scope| {
            scope.spawn(|| {
                let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
                let (began, mut sent) = (Instant::now(), 0u64);
                while on.load(Ordering::Relaxed) {
                    while sent < (began.elapsed().as_secs_f64() * f64::from(strays)) as u64 {
                        let _ = socket.send_to(&[sent as u8; 200], heard);
                        sent += 1;
                    }
                    std::thread::sleep(StdDuration::from_millis(1));
                }
            });
            let records = load.run(server.address, |name| engine.answered(name), |_| ());
            on.store(false, Ordering::Relaxed);
            records
        });
        let cpu = server.cpu() - before;
        let mut all = latencies(&records, 0);
        (1..3).for_each(|h| all.add(latencies(&records, h)).expect("added"));
        let (half, most) = (all.value_at_quantile(0.5), all.value_at_quantile(0.99));
        let each = cpu * 1e3 / records.len() as f64;
        println!(
            "| {strays} | {half}, {most} | {each:.2} | {:.1} |",
            cpu * 10.0
        );
    }
}

/// Processor time of servers that are otherwise idle, with the view and without.
fn cost() {
    let used = |servers: &[&Server]| {
        let cpu = || servers.iter().map(|s| s.cpu()).sum::<f64>();
        let (before, began) = (cpu(), Instant::now());
        std::thread::sleep(StdDuration::from_secs(20));
        (cpu() - before) / began.elapsed().as_secs_f64() / servers.len() as f64 * 100.0
    };
    for n in [5, 12] {
        let mut stand = ProcessFleet::new(FleetSetup::of(n), binary(), SETTINGS, &works(), 1);
        (0..n).for_each(|s| stand.act(&start(s)).expect("started"));
        settle(&mut stand);
        let with = used(&(0..n).filter_map(|s| stand.server(s)).collect::<Vec<_>>());
        drop(stand);
        let plain: Vec<(Server, Receiver<String>)> = (0..n)
            .map(|s| {
                let engine = Engine::start(2.0, works(), s as u64).address;
                let (registry, reports) = registry::start();
                let others = Dependencies {
                    engine,
                    registry,
                    catalogue: engine,
                };
                let text = configuration("127.0.0.1:0", others, 128, 500, SETTINGS);
                (Server::start(binary(), &text, None), reports)
            })
            .collect();
        let without = used(&plain.iter().map(|p| &p.0).collect::<Vec<_>>());
        println!(
            "{n} servers, % of a core each: {with:.3} with, {without:.3} without, {:.3} the view's",
            with - without
        );
    }
}

fn binary() -> &'static Path {
    let binary = Path::new("target/release/madderbay");
    assert!(binary.exists(), "build the release first");
    binary
}

/// The same faults on real processes, and what they use in calm.
fn real(seeds: u64) {
    println!(
        "| processes, loss | join, s | crash, s | cut, s | heal, s | bytes a second | CPU, % of a core | wrongly down |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for n in [5, 12, 40] {
        for loss in [0.0, 0.1, 0.3] {
            let mut row = Row::default();
            for seed in 0..seeds {
                let mut stand = ProcessFleet::new(FleetSetup::of(n), binary(), SETTINGS, &[], seed);
                let quiet = Action::Network {
                    loss: Some(loss),
                    double: None,
                    spoil: None,
                    delay: None,
                };
                stand.act(&quiet).expect("set");
                run_script(&mut stand, n, &mut row, |stand, row| {
                    let cpu = |s: &ProcessFleet| {
                        (0..n - 1)
                            .filter_map(|i| Some(s.server(i)?.cpu()))
                            .sum::<f64>()
                    };
                    let (before, began) = (cpu(stand), Instant::now());
                    std::thread::sleep(StdDuration::from_secs(5));
                    let each = began.elapsed().as_secs_f64() * (n - 1) as f64;
                    row.cpu.push((cpu(stand) - before) / each * 100.0);
                });
            }
            row.print(&format!("{n}, {loss}"));
        }
    }
}

fn main() {
    let mut args = std::env::args().skip(1);
    let what = args.next().unwrap_or_default();
    let seeds = args.next().and_then(|s| s.parse().ok()).unwrap_or(5);
    match what.as_str() {
        "simulated" => {
            let members = args.next().and_then(|n| n.parse().ok());
            simulated(seeds, members, args.next().and_then(|l| l.parse().ok()));
        }
        "histories" => histories(seeds),
        "flood" => flood(),
        "cost" => cost(),
        "hour" => hour(),
        "real" => real(seeds),
        _ => eprintln!("simulated, hour, real, histories, flood or cost"),
    }
}
