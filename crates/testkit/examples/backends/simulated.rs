//! Measurements of simulated fleets: each case under each policy, with several seeds.

use crate::cases::{CASES, FAULTY, SetFault, is_about_one_backend};
use madderbay::time::Duration;
use madderbay_testkit::backend_simulation::{BackendFleetSetup, BackendSimulation, RoutingPolicy};
use madderbay_testkit::measurement::report::{median, table_head};
use madderbay_testkit::measurement::seeds::run_seeds;

const POLICIES: [(RoutingPolicy, &str); 4] = [
    (RoutingPolicy::ManagerWithGossip, "shared observations"),
    (RoutingPolicy::ManagerWithoutGossip, "own observations"),
    (RoutingPolicy::LeastInFlight, "least in flight, retries"),
    (RoutingPolicy::RoundRobin, "round robin"),
];
/// Start of the fault, in milliseconds of simulated time.
const FAULT_START_MS: u64 = 5_000;
/// End of the fault, in milliseconds of simulated time.
const FAULT_END_MS: u64 = 15_000;
/// End of the simulation, in milliseconds of simulated time.
const SIMULATION_END_MS: u64 = 40_000;
/// Window over which a backend's traffic is averaged, in milliseconds.
const TRAFFIC_WINDOW_MS: u64 = 1_000;
/// Below this fraction of its traffic without the fault, a backend counts as avoided.
const AVOIDED_FRACTION: f64 = 0.25;
/// Above this fraction of its traffic without the fault, a backend counts as returned.
const RETURNED_FRACTION: f64 = 0.5;

/// Results of one run.
struct RunResult {
    /// Fraction of the calls that succeeded during the fault.
    success: f64,
    /// 99th percentile of the latencies of successful calls during the fault, in milliseconds.
    slowest_ms: f64,
    /// Time until the faulty backend was avoided, in seconds.
    avoided_after_secs: f64,
    /// Time from the end of the fault until the backend had returned, in seconds.
    returned_after_secs: f64,
    /// Number of attempts per first attempt.
    attempts: f64,
    /// Server-seconds for which other backends were ejected.
    wrongly_ejected: f64,
    /// Largest traffic of the backend after its fault, relative to its traffic without the fault.
    peak: f64,
}

/// Prints a table of all cases whose name contains `case_filter`.
pub(crate) fn measure(servers: usize, backends: usize, case_filter: &str, seeds: u64) {
    let calls_per_backend = rate(servers, backends) / backends as f64;
    println!(
        "\n{servers} servers, {backends} backends, {calls_per_backend:.2} calls a second of each to each\n"
    );
    let headings = [
        "case",
        "variant",
        "success",
        "p99, ms",
        "ejected after, s",
        "returned after, s",
        "attempts per call",
        "wrongly ejected, server-seconds",
        "peak at the returning one, of its part",
    ];
    println!("{}", table_head(&headings));
    for (case, set_fault) in CASES
        .into_iter()
        .filter(|case| case.0.contains(case_filter))
    {
        for (policy, name) in POLICIES {
            let results = run_seeds(0..seeds, seeds as usize, |seed| {
                run(servers, backends, policy, set_fault, seed)
            });
            print_row(case, name, &results);
        }
    }
}

/// Prints a row with the medians of several runs.
fn print_row(case: &str, policy: &str, results: &[RunResult]) {
    let median_of = |figure: fn(&RunResult) -> f64| {
        let mut values: Vec<f64> = results.iter().map(figure).collect();
        median(&mut values)
    };
    let mut ejected = String::from("-");
    let mut returned = String::from("-");
    let mut peak = String::from("-");
    if is_about_one_backend(case) {
        ejected = secs_or_never(median_of(|result| result.avoided_after_secs));
        returned = secs_or_never(median_of(|result| result.returned_after_secs));
        peak = format!("{:.1}", median_of(|result| result.peak));
    }
    let slowest_ms = median_of(|result| result.slowest_ms);
    let slowest = if slowest_ms.is_nan() {
        "-".into()
    } else {
        format!("{slowest_ms:.0}")
    };
    println!(
        "| {case} | {policy} | {:.3} | {slowest} | {ejected} | {returned} | {:.2} | {:.0} | {peak} |",
        median_of(|result| result.success),
        median_of(|result| result.attempts),
        median_of(|result| result.wrongly_ejected)
    );
}

/// Formats a time in seconds; an infinite time is printed as `never`.
fn secs_or_never(secs: f64) -> String {
    if secs.is_finite() {
        format!("{secs:.1}")
    } else {
        "never".into()
    }
}

/// The calls a second that arrive at a server: under one to each backend in a large fleet, up to
/// ten in a small one.
fn rate(servers: usize, backends: usize) -> f64 {
    match (servers, backends) {
        (..=12, backends) => backends as f64,
        (_, backends) => (backends as f64 * 0.3).min(20.0),
    }
}

fn run(
    servers: usize,
    backends: usize,
    policy: RoutingPolicy,
    set_fault: SetFault,
    seed: u64,
) -> RunResult {
    let setup = BackendFleetSetup {
        routing: policy,
        zones: if servers >= 3 { 3 } else { 1 },
        calls_per_second: rate(servers, backends),
        ..BackendFleetSetup::new(servers, backends)
    };
    let mut simulation = BackendSimulation::new(setup, seed);
    simulation.run(Duration::from_millis(FAULT_START_MS));
    simulation.clear_latencies();
    set_fault(&mut simulation, true);
    simulation.run(Duration::from_millis(FAULT_END_MS - FAULT_START_MS));
    let slowest_ms = simulation.slowest_ms();
    set_fault(&mut simulation, false);
    simulation.run(Duration::from_millis(SIMULATION_END_MS - FAULT_END_MS));
    // The traffic without the fault is the reference; with few calls, the traffic in one second
    // varies by chance.
    let normal_fraction = simulation.traffic_fraction(FAULTY, TRAFFIC_WINDOW_MS..FAULT_START_MS);
    let secs = |ms: Option<u64>| ms.map_or(f64::INFINITY, |ms| ms as f64 / 1e3);
    let avoided_after = simulation.millis_until_traffic_below(
        FAULTY,
        FAULT_START_MS,
        normal_fraction * AVOIDED_FRACTION,
    );
    let returned_after = simulation.millis_until_traffic_reaches(
        FAULTY,
        FAULT_END_MS,
        normal_fraction * RETURNED_FRACTION,
    );
    let others = simulation.backends().filter(|backend| *backend != FAULTY);
    let peak = (FAULT_END_MS..SIMULATION_END_MS - TRAFFIC_WINDOW_MS)
        .step_by(100)
        .map(|ms| simulation.traffic_fraction(FAULTY, ms..ms + TRAFFIC_WINDOW_MS) / normal_fraction)
        .fold(0.0, f64::max);
    RunResult {
        success: simulation.success_rate(FAULT_START_MS..FAULT_END_MS),
        slowest_ms,
        avoided_after_secs: secs(avoided_after),
        returned_after_secs: secs(returned_after),
        attempts: simulation.attempts_per_call(FAULT_START_MS + TRAFFIC_WINDOW_MS..FAULT_END_MS),
        wrongly_ejected: others
            .map(|backend| simulation.ejected_seconds(backend, FAULT_START_MS..FAULT_END_MS))
            .sum(),
        peak,
    }
}

/// Prints the figures of one case for each second, and the log of the servers.
pub(crate) fn trace(case: &str, seed: u64) {
    let mut cases = CASES.into_iter();
    let (case, set_fault) = cases
        .find(|(name, _)| name.contains(case))
        .unwrap_or(CASES[0]);
    let mut simulation = BackendSimulation::new(BackendFleetSetup::new(12, 10), seed);
    simulation.run(Duration::from_millis(FAULT_START_MS));
    set_fault(&mut simulation, true);
    simulation.run(Duration::from_millis(FAULT_END_MS - FAULT_START_MS));
    set_fault(&mut simulation, false);
    simulation.run(Duration::from_millis(SIMULATION_END_MS - FAULT_END_MS));
    println!("{case}");
    for from in (0..SIMULATION_END_MS).step_by(TRAFFIC_WINDOW_MS as usize) {
        let to = from + TRAFFIC_WINDOW_MS;
        println!(
            "{:3} s: success {:.3}, its part of the traffic {:.3}, ejected by {:.1}, attempts per call {:.2}",
            from / TRAFFIC_WINDOW_MS,
            simulation.success_rate(from..to),
            simulation.traffic_fraction(FAULTY, from..to),
            simulation.ejected_seconds(FAULTY, from..to),
            simulation.attempts_per_call(from..to)
        );
    }
    for entry in simulation.log() {
        println!("{entry}");
    }
}
