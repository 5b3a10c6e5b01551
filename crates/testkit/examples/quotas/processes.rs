//! Real processes under demands of several shapes.

use crate::budget::{BASE_QUOTA, demands, end_demands, follow, setup, start};
use madderbay_testkit::engine::HandlerWork;
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::measurement::fleets::release_binary;
use madderbay_testkit::measurement::report::table_head;
use std::time::{Duration, Instant};

const CALL_MS: u64 = 300;
/// The time that a fleet gets without work, after a demand is followed, and to be measured.
const IDLE_TIME: Duration = Duration::from_secs(3);
const SETTLING_TIME: Duration = Duration::from_secs(2);
const MEASURED_TIME: Duration = Duration::from_secs(5);
/// The time between two samples of the calls in flight.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// The platform's settings, wide enough that no server sheds load.
pub(crate) fn settings() -> String {
    include_str!("../../src/measurement/settings/fleet.json")
        .replace("\"tip_multiple\": 5.0", "\"tip_multiple\": 40.0")
        .replace("\"memory_kb\": 4000.0", "\"memory_kb\": 400000.0")
}

pub(crate) fn works() -> Vec<HandlerWork> {
    vec![HandlerWork::new("book", (1.0, 3.0), true)]
}

/// Prints the table.
pub(crate) fn measure() {
    let heads = [
        "processes, demand",
        "use of the whole",
        "follows within, s",
        "peak of the whole",
        "CPU a req, ms",
    ];
    println!("{}", table_head(&heads));
    for servers in [5, 12] {
        let capacity = servers as u32 * BASE_QUOTA;
        let setup = setup(servers, capacity, CALL_MS);
        let mut fleet = ProcessFleet::new(setup, release_binary(), &settings(), &works(), 1);
        start(&mut fleet, servers);
        for case in ["even", "skewed", "single"] {
            print_case(&mut fleet, case, capacity);
        }
        let (requests, violations) = fleet.finish_loads();
        println!(
            "| {servers} | {requests} reqs, {} rules broken | | | |",
            violations.len()
        );
    }
}

fn print_case(fleet: &mut ProcessFleet, case: &str, capacity: u32) {
    let servers = fleet.setup.servers;
    fleet.catalogue(0).peak();
    end_demands(fleet, servers);
    std::thread::sleep(IDLE_TIME);
    let follow = follow(fleet, capacity, &demands(case, servers, capacity));
    std::thread::sleep(SETTLING_TIME);
    let (done_before, cpu_before) = (fleet.catalogue(0).stats().done, fleet.cpu());
    let used = mean_in_flight(fleet);
    let done = fleet.catalogue(0).stats().done - done_before;
    let peak = fleet.catalogue(0).peak() as f64;
    println!(
        "| {servers}, {case} | {:.2} | {follow:.1} | {:.2} | {:.2} |",
        used / f64::from(capacity),
        peak / f64::from(capacity),
        (fleet.cpu() - cpu_before) * 1e3 / f64::from(done).max(1.0)
    );
}

/// The mean of the calls in flight of all servers together, as they report them.
fn mean_in_flight(fleet: &ProcessFleet) -> f64 {
    let (began, mut sum, mut samples) = (Instant::now(), 0.0, 0.0);
    while began.elapsed() < MEASURED_TIME {
        let reports = (0..fleet.setup.servers).filter_map(|server| fleet.quota(server));
        sum += f64::from(reports.map(|report| report.in_use).sum::<u32>());
        samples += 1.0;
        std::thread::sleep(SAMPLE_INTERVAL);
    }
    sum / samples
}
