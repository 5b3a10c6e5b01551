//! Seeded histories: faults and shifts of demand drawn from a seed, one after the other. Compares
//! the largest number of calls in flight with the capacity.

use crate::demand::{BASE_QUOTA, setup, start};
use crate::processes::works;
use madderbay::time::Duration;
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::Action;
use madderbay_testkit::fleet::script_generator::ScriptGenerator;
use madderbay_testkit::fleet::simulated::SimulatedFleet;
use madderbay_testkit::measurement::fleets::{act, release_binary, start_all};
use madderbay_testkit::measurement::report::Violations;
use madderbay_testkit::measurement::seeds::run_seeds;
use madderbay_testkit::measurement::settings;
use std::time::Duration as StdDuration;

/// Number of simulated histories that run in parallel.
const SIMULATED_THREADS: usize = 6;
/// Number of histories of real processes that run in parallel.
const REAL_THREADS: usize = 12;
/// Number of actions of a simulated history.
const SIMULATED_ACTIONS: usize = 25;
/// Maximum time after each action of a simulated history, in seconds.
const MAX_SIMULATED_PAUSE_SECS: f64 = 0.8;
/// Time after which simulated servers have their base quotas.
const START_TIME: Duration = Duration::from_millis(4_500);
/// Number of servers of a history of real processes.
const REAL_SERVERS: usize = 4;
/// Number of actions of a history of real processes.
const REAL_ACTIONS: usize = 10;
/// Maximum time after each action of a history of real processes, in seconds.
const MAX_REAL_PAUSE_SECS: f64 = 0.6;
/// Mean time of a call in a simulated history, in milliseconds.
const SIMULATED_CALL_MS: u64 = 200;
/// Mean time of a call in a history of real processes, in milliseconds.
const REAL_CALL_MS: u64 = 300;

/// Largest number of calls in flight in a simulated history, and its capacity.
struct SimulatedPeak {
    peak: u32,
    capacity: u32,
}

/// Plays `count` histories in simulated time.
pub(crate) fn simulate(count: u64) {
    let peaks = run_seeds(0..count, SIMULATED_THREADS, simulate_one);
    let mut max_fraction: f64 = 0.0;
    let mut above_capacity = 0;
    let mut at_capacity = 0;
    for SimulatedPeak { peak, capacity } in peaks {
        max_fraction = max_fraction.max(f64::from(peak) / f64::from(capacity));
        above_capacity += u64::from(peak > capacity);
        at_capacity += u64::from(peak == capacity);
    }
    println!(
        "{count} simulated histories of 3 to 6 servers, {SIMULATED_ACTIONS} faults and shifts each: peak {max_fraction:.2} of the quota; over it {above_capacity}, at it {at_capacity}"
    );
}

fn simulate_one(seed: u64) -> SimulatedPeak {
    let servers = 3 + (seed % 4) as usize;
    let capacity = servers as u32 * BASE_QUOTA;
    let setup = setup(servers, capacity, SIMULATED_CALL_MS);
    let mut fleet = SimulatedFleet::new(setup, seed);
    start_all(&mut fleet, 0..servers);
    fleet.run(START_TIME);
    let mut generator = ScriptGenerator::new(seed + 31, servers, capacity * 13 / 10);
    for _ in 0..SIMULATED_ACTIONS {
        act(&mut fleet, generator.act());
        let pause = generator.secs(MAX_SIMULATED_PAUSE_SECS);
        fleet.run(Duration::from_secs_f64(pause));
    }
    SimulatedPeak {
        peak: fleet.peak,
        capacity,
    }
}

/// Results of one history of real processes.
struct RealResult {
    /// Largest number of calls in flight.
    peak: usize,
    requests: usize,
    /// Rule violations, one line each.
    violations: Vec<String>,
}

/// Plays `count` histories on real processes under load, and checks all rules for each request.
pub(crate) fn run_processes(count: u64) {
    let results = run_seeds(0..count, REAL_THREADS, run_one);
    let mut peak = 0;
    let mut requests = 0;
    let mut above_capacity = 0;
    let mut violations = Violations::default();
    for (seed, result) in (0..).zip(results) {
        peak = peak.max(result.peak);
        requests += result.requests;
        above_capacity += u64::from(result.peak > capacity() as usize);
        violations.add(seed, result.violations);
    }
    println!(
        "{count} histories of {REAL_SERVERS} real processes, {REAL_ACTIONS} faults and shifts each, {requests} requests: peak {peak} of {}, over it {above_capacity}; {} invariants violated",
        capacity(),
        violations.count()
    );
    violations.print_first();
}

/// Returns the capacity of the quota in fleets of real processes.
fn capacity() -> u32 {
    REAL_SERVERS as u32 * BASE_QUOTA
}

fn run_one(seed: u64) -> RealResult {
    let setup = setup(REAL_SERVERS, capacity(), REAL_CALL_MS);
    let settings = settings::fleet_without_load_shedding();
    let mut fleet = ProcessFleet::new(setup, &release_binary(), &settings, &works(), seed);
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
    RealResult {
        peak,
        requests,
        violations,
    }
}
