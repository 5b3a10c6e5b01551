//! Seeded histories of five real processes: drawn faults one after the other, a load on the first
//! server meanwhile. In the end all views have to settle, and no rule may be broken.

use crate::processes::{load, started_fleet};
use crate::row::{lossy_network, settle};
use madderbay::time::Duration;
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::{Action, Condition, Fleet, FleetSetup};
use madderbay_testkit::measurement::fleets::{act, for_each_seed};
use madderbay_testkit::measurement::loads::LoadTarget;
use oorandom::Rand64;
use std::sync::Mutex;
use std::time::Duration as StdDuration;

const SERVERS: usize = 5;
/// Histories at a time.
const THREADS: usize = 8;
const FAULTS: usize = 8;
/// The most that a fault of the network hits, as a part of all datagrams.
const MAX_FAULT_PART: f64 = 0.3;
/// The longest pause between two faults, in seconds.
const MAX_PAUSE_SECS: f64 = 0.5;
/// Lines that are printed of what broke.
const MAX_PRINTED: usize = 20;

/// What the histories have shown.
#[derive(Default)]
struct Tally {
    requests: usize,
    faults: usize,
    /// The longest time that the views took to settle in the end, in seconds.
    slowest: f64,
    /// A line for each broken rule, and for each fleet that did not settle.
    broken: Vec<String>,
}

/// Plays a number of histories and prints what broke.
pub(crate) fn measure(count: u64) {
    let tally = Mutex::new(Tally::default());
    for_each_seed(count, THREADS, |seed| play(seed, &tally));
    let tally = tally.into_inner().expect("a tally");
    println!(
        "{count} histories of {SERVERS} processes, {} faults, {} reqs: {} rules or views broken; slowest to settle {:.1} s",
        tally.faults,
        tally.requests,
        tally.broken.len(),
        tally.slowest
    );
    let printed = tally.broken.iter().take(MAX_PRINTED);
    printed.for_each(|line| println!("{line}"));
}

fn play(seed: u64, tally: &Mutex<Tally>) {
    let setup = FleetSetup {
        down_retention: Duration::from_millis(2_000),
        ..FleetSetup::of(SERVERS)
    };
    let (mut fleet, settled) = started_fleet(setup, seed);
    let target = LoadTarget::of(&fleet, 0);
    let load = load(seed, 3, 60.0);
    let (records, healed) = std::thread::scope(|scope| {
        let sending = scope.spawn(|| target.send(&load, |_| ()));
        play_faults(&mut fleet, seed);
        let healed = settle(&mut fleet);
        (sending.join().expect("loaded"), healed)
    });
    let mut broken = target.violations(&load, &records);
    if settled.is_infinite() || healed.is_infinite() {
        let unmet = fleet.unmet(&Condition::Settled);
        broken.push(format!("not settled: {unmet:?}"));
    }
    let mut tally = tally.lock().expect("a tally");
    tally.requests += records.len();
    tally.faults += FAULTS;
    tally.slowest = tally.slowest.max(healed);
    let broken = broken.into_iter();
    tally
        .broken
        .extend(broken.map(|line| format!("seed {seed}: {line}")));
}

/// Draws faults for all servers but the first, and ends those of the network.
fn play_faults(fleet: &mut ProcessFleet, seed: u64) {
    let mut random = Rand64::new(u128::from(seed) + 77);
    let mut running = [true; SERVERS];
    for _ in 0..FAULTS {
        let (who, action) = draw_fault(&mut random, &running);
        running[who] = match action {
            Action::Kill(_) | Action::Drain(_) => false,
            Action::Start { .. } => true,
            _ => running[who],
        };
        act(fleet, action);
        let pause = random.rand_float() * MAX_PAUSE_SECS;
        std::thread::sleep(StdDuration::from_secs_f64(pause));
    }
    act(fleet, Action::Heal);
    act(fleet, Action::CALM);
}

/// A server and something that is done to it or to the network.
fn draw_fault(random: &mut Rand64, running: &[bool; SERVERS]) -> (usize, Action) {
    let who = 1 + (random.rand_float() * (SERVERS - 1) as f64) as usize;
    let part = random.rand_float() * MAX_FAULT_PART;
    let action = match (random.rand_float() * 8.0) as usize {
        0 if running[who] => Action::Kill(who),
        1 if running[who] => Action::Drain(who),
        2 => {
            let others = (1..SERVERS).filter(|server| *server != who).collect();
            Action::Cut(vec![vec![0, who], others])
        }
        3 => Action::OneWay(who, vec![0, 1, 2]),
        4 => Action::Heal,
        5 => lossy_network(part),
        6 => Action::Replay(0),
        _ if !running[who] => Action::start(who),
        _ => Action::Network {
            loss: None,
            double: Some(part),
            spoil: Some(part),
            delay: None,
        },
    };
    (who, action)
}
