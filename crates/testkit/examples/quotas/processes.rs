//! Measurements of real processes under demands of several shapes.

use crate::demand::{BASE_QUOTA, DemandShape, end_demands, follow, setup, start};
use madderbay_testkit::engine::HandlerWork;
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::measurement::fleets::release_binary;
use madderbay_testkit::measurement::report::{cpu_ms_per_request, table_head};
use madderbay_testkit::measurement::settings;
use std::time::{Duration, Instant};

const CALL_MS: u64 = 300;
/// Time without demand before each case.
const IDLE_TIME: Duration = Duration::from_secs(3);
/// Time between a demand being followed and the measurement.
const SETTLING_TIME: Duration = Duration::from_secs(2);
/// Time over which a case is measured.
const MEASURED_TIME: Duration = Duration::from_secs(5);
/// Interval between samples of the calls in flight.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

pub(crate) fn works() -> Vec<HandlerWork> {
    vec![HandlerWork::new("book", (1.0, 3.0), true)]
}

/// Measures all shapes of demand, and prints the table.
pub(crate) fn measure() {
    let headings = [
        "processes, demand",
        "use of the quota",
        "follows within, s",
        "peak of the quota",
        "CPU a request, ms",
    ];
    println!("{}", table_head(&headings));
    for servers in [5, 12] {
        let capacity = servers as u32 * BASE_QUOTA;
        let setup = setup(servers, capacity, CALL_MS);
        let settings = settings::fleet_without_load_shedding();
        let mut fleet = ProcessFleet::new(setup, &release_binary(), &settings, &works(), 1);
        start(&mut fleet, servers);
        for shape in DemandShape::ALL {
            print_case(&mut fleet, shape, capacity);
        }
        let (requests, violations) = fleet.finish_loads();
        println!(
            "| {servers} | {requests} requests, {} invariants violated | | | |",
            violations.len()
        );
    }
}

fn print_case(fleet: &mut ProcessFleet, shape: DemandShape, capacity: u32) {
    let servers = fleet.setup.servers;
    fleet.catalogue(0).peak();
    end_demands(fleet, servers);
    std::thread::sleep(IDLE_TIME);
    let follow_secs = follow(fleet, capacity, &shape.demands(servers, capacity));
    std::thread::sleep(SETTLING_TIME);
    let cpu_before = fleet.cpu();
    let calls_before = fleet.catalogue(0).stats().done;
    let in_flight = mean_in_flight(fleet);
    let calls = fleet.catalogue(0).stats().done - calls_before;
    let cpu_secs = fleet.cpu() - cpu_before;
    let peak = fleet.catalogue(0).peak() as f64;
    println!(
        "| {servers}, {} | {:.2} | {follow_secs:.1} | {:.2} | {:.2} |",
        shape.name(),
        in_flight / f64::from(capacity),
        peak / f64::from(capacity),
        cpu_ms_per_request(cpu_secs, calls.max(1) as usize)
    );
}

/// Returns the mean number of calls in flight of all servers together, as the servers report them.
fn mean_in_flight(fleet: &ProcessFleet) -> f64 {
    let began = Instant::now();
    let mut sum = 0.0;
    let mut samples = 0.0;
    while began.elapsed() < MEASURED_TIME {
        let reports = (0..fleet.setup.servers).filter_map(|server| fleet.quota(server));
        sum += f64::from(reports.map(|report| report.in_use).sum::<u32>());
        samples += 1.0;
        std::thread::sleep(SAMPLE_INTERVAL);
    }
    sum / samples
}
