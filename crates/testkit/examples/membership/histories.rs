//! Seeded histories of five real processes: faults drawn from a seed, one after the other, while
//! the first server is under load. At the end all views have to settle, and no rule may be broken.

use crate::processes::{load, started_fleet};
use crate::row::{lossy_network, settle};
use madderbay::time::Duration;
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::{Action, Condition, Fleet, FleetSetup};
use madderbay_testkit::measurement::fleets::act;
use madderbay_testkit::measurement::loads::LoadTarget;
use madderbay_testkit::measurement::report::Violations;
use madderbay_testkit::measurement::seeds::run_seeds;
use oorandom::Rand64;
use std::time::Duration as StdDuration;

const SERVERS: usize = 5;
/// Number of histories that run in parallel.
const THREADS: usize = 8;
/// Number of faults of a history.
const FAULTS: usize = 8;
/// Number of kinds of faults, which are drawn with equal probability.
const FAULT_KINDS: f64 = 8.0;
/// Maximum fraction of all datagrams that a network fault affects.
const MAX_FAULT_FRACTION: f64 = 0.3;
/// Requests per second of the load.
const REQUESTS_PER_SECOND: f64 = 60.0;
/// Length of the load, in seconds.
const LOAD_SECS: u64 = 3;
/// Maximum pause between two faults, in seconds.
const MAX_PAUSE_SECS: f64 = 0.5;

/// Results of one history.
struct HistoryResult {
    requests: usize,
    /// Time that the views took to settle at the end, in seconds.
    settle_secs: f64,
    /// One line for each violation of a rule, and one if the views did not settle.
    violations: Vec<String>,
}

/// Plays `count` histories and prints the violations.
pub(crate) fn measure(count: u64) {
    let results = run_seeds(0..count, THREADS, play);
    let faults = FAULTS * results.len();
    let mut requests = 0;
    let mut slowest_secs: f64 = 0.0;
    let mut violations = Violations::default();
    for (seed, result) in (0..).zip(results) {
        requests += result.requests;
        slowest_secs = slowest_secs.max(result.settle_secs);
        violations.add(seed, result.violations);
    }
    println!(
        "{count} histories of {SERVERS} processes, {faults} faults, {requests} requests: {} invariants violated or views not settled; slowest to settle {slowest_secs:.1} s",
        violations.count()
    );
    violations.print_first();
}

fn play(seed: u64) -> HistoryResult {
    let setup = FleetSetup {
        down_retention: Duration::from_millis(2_000),
        ..FleetSetup::of(SERVERS)
    };
    let (mut fleet, first_settle_secs) = started_fleet(setup, seed);
    let target = LoadTarget::of(&fleet, 0);
    let load = load(seed, LOAD_SECS, REQUESTS_PER_SECOND);
    let (records, settle_secs) = std::thread::scope(|scope| {
        let sending = scope.spawn(|| target.send(&load, |_| ()));
        play_faults(&mut fleet, seed);
        let settle_secs = settle(&mut fleet);
        (
            sending.join().expect("the load has not panicked"),
            settle_secs,
        )
    });
    let mut violations = target.violations(&load, &records);
    if first_settle_secs.is_infinite() || settle_secs.is_infinite() {
        let unmet = fleet.unmet(&Condition::Settled);
        violations.push(format!("not settled: {unmet:?}"));
    }
    HistoryResult {
        requests: records.len(),
        settle_secs,
        violations,
    }
}

/// Carries out faults on all servers but the first, and ends the network faults at the end.
fn play_faults(fleet: &mut ProcessFleet, seed: u64) {
    let mut random = Rand64::new(u128::from(seed) + 77);
    let mut running = [true; SERVERS];
    for _ in 0..FAULTS {
        let (server, action) = draw_fault(&mut random, &running);
        running[server] = match action {
            Action::Kill(_) | Action::Drain(_) => false,
            Action::Start { .. } => true,
            _ => running[server],
        };
        act(fleet, action);
        let pause = random.rand_float() * MAX_PAUSE_SECS;
        std::thread::sleep(StdDuration::from_secs_f64(pause));
    }
    act(fleet, Action::Heal);
    act(fleet, Action::CALM);
}

/// Draws a server and an action on it or on the network.
fn draw_fault(random: &mut Rand64, running: &[bool; SERVERS]) -> (usize, Action) {
    let server = 1 + (random.rand_float() * (SERVERS - 1) as f64) as usize;
    let fraction = random.rand_float() * MAX_FAULT_FRACTION;
    let action = match (random.rand_float() * FAULT_KINDS) as usize {
        0 if running[server] => Action::Kill(server),
        1 if running[server] => Action::Drain(server),
        2 => {
            let others = (1..SERVERS).filter(|other| *other != server).collect();
            Action::Cut(vec![vec![0, server], others])
        }
        3 => Action::OneWay(server, vec![0, 1, 2]),
        4 => Action::Heal,
        5 => lossy_network(fraction),
        6 => Action::Replay(0),
        _ if !running[server] => Action::start(server),
        _ => Action::Network {
            loss: None,
            duplication: Some(fraction),
            corruption: Some(fraction),
            delay: None,
        },
    };
    (server, action)
}
