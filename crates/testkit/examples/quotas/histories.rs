//! Drawn histories: faults and shifts of work one after the other, and the most calls in flight
//! against the capacity.

use crate::budget::{BASE_QUOTA, setup, start};
use crate::processes::{settings, works};
use madderbay::time::Duration;
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::Action;
use madderbay_testkit::fleet::script_generator::ScriptGenerator;
use madderbay_testkit::fleet::simulated::SimulatedFleet;
use madderbay_testkit::measurement::fleets::{act, for_each_seed, release_binary, start_all};
use std::sync::Mutex;
use std::time::Duration as StdDuration;

/// Simulated histories at a time.
const THREADS: usize = 6;
/// Actions of a simulated history, and the longest time after each in seconds.
const SIMULATED_ACTIONS: usize = 25;
const MAX_SIMULATED_PAUSE_SECS: f64 = 0.8;
/// The time after which simulated servers have their base quotas.
const START_TIME: Duration = Duration::from_millis(4_500);
/// Servers of a real history, its actions, and the longest time after each in seconds.
const REAL_SERVERS: usize = 4;
const REAL_ACTIONS: usize = 10;
const MAX_REAL_PAUSE_SECS: f64 = 0.6;
/// Lines that are printed of what broke.
const MAX_PRINTED: usize = 20;

/// The worst of the simulated histories.
#[derive(Default)]
struct Worst {
    /// The most calls in flight as a part of the capacity.
    peak: f64,
    /// Histories in which the capacity was exceeded, and reached.
    over: u64,
    at: u64,
}

/// Plays a number of histories in simulated time.
pub(crate) fn simulate(count: u64) {
    let worst = Mutex::new(Worst::default());
    for_each_seed(count, THREADS, |seed| {
        let servers = 3 + (seed % 4) as usize;
        let capacity = servers as u32 * BASE_QUOTA;
        let mut fleet = SimulatedFleet::new(setup(servers, capacity, 200), seed);
        start_all(&mut fleet, 0..servers);
        fleet.run(START_TIME);
        let mut generator = ScriptGenerator::new(seed + 31, servers, capacity * 13 / 10);
        for _ in 0..SIMULATED_ACTIONS {
            act(&mut fleet, generator.act());
            let pause = generator.secs(MAX_SIMULATED_PAUSE_SECS);
            fleet.run(Duration::from_secs_f64(pause));
        }
        let mut worst = worst.lock().expect("a figure");
        worst.peak = worst.peak.max(f64::from(fleet.peak) / f64::from(capacity));
        worst.over += u64::from(fleet.peak > capacity);
        worst.at += u64::from(fleet.peak == capacity);
    });
    let Worst { peak, over, at } = worst.into_inner().expect("a figure");
    println!(
        "{count} simulated histories of 3 to 6 servers, {SIMULATED_ACTIONS} faults and shifts each: peak {peak:.2} of the whole; over it {over}, at it {at}"
    );
}

/// What the real histories have shown.
#[derive(Default)]
struct Tally {
    peak: usize,
    requests: usize,
    /// Histories in which the capacity was exceeded.
    over: u64,
    /// The violated rules, a line each.
    violations: Vec<String>,
}

/// Plays a number of histories on real processes, with load and all rules of each request.
pub(crate) fn run_processes(count: u64) {
    let tally = Mutex::new(Tally::default());
    for_each_seed(count, 2 * THREADS, |seed| {
        let (peak, requests, violations) = run_one(seed);
        let mut tally = tally.lock().expect("figures");
        tally.peak = tally.peak.max(peak);
        tally.requests += requests;
        tally.over += u64::from(peak > capacity() as usize);
        let violations = violations.into_iter();
        tally
            .violations
            .extend(violations.map(|line| format!("seed {seed}: {line}")));
    });
    let tally = tally.into_inner().expect("figures");
    println!(
        "{count} histories of {REAL_SERVERS} real processes, {REAL_ACTIONS} faults and shifts each, {} reqs: peak {} of {}, over it {}; {} rules broken",
        tally.requests,
        tally.peak,
        capacity(),
        tally.over,
        tally.violations.len()
    );
    let printed = tally.violations.iter().take(MAX_PRINTED);
    printed.for_each(|line| println!("{line}"));
}

/// The capacity of the real fleets.
fn capacity() -> u32 {
    REAL_SERVERS as u32 * BASE_QUOTA
}

/// The most calls in flight, the number of requests, and the violated rules.
fn run_one(seed: u64) -> (usize, usize, Vec<String>) {
    let setup = setup(REAL_SERVERS, capacity(), 300);
    let mut fleet = ProcessFleet::new(setup, release_binary(), &settings(), &works(), seed);
    start(&mut fleet, REAL_SERVERS);
    for server in 0..REAL_SERVERS {
        act(&mut fleet, Action::Demand(server, 2 * BASE_QUOTA));
    }
    let mut generator = ScriptGenerator::new(seed + 77, REAL_SERVERS, capacity() * 2 / 3);
    for _ in 0..REAL_ACTIONS {
        act(&mut fleet, generator.act());
        let pause = generator.secs(MAX_REAL_PAUSE_SECS);
        std::thread::sleep(StdDuration::from_secs_f64(pause));
    }
    let peak = fleet.catalogue(0).peak();
    for server in generator.stopped() {
        act(&mut fleet, Action::Continue(server));
    }
    let (requests, violations) = fleet.finish_loads();
    (peak, requests, violations)
}
