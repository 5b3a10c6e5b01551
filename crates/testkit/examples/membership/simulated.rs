//! Measurements of simulated fleets under the faults of a table row.

use crate::heartbeats;
use crate::row::{Row, lossy_network, print_table_head};
use madderbay::time::Duration;
use madderbay_testkit::fleet::script::FleetSetup;
use madderbay_testkit::fleet::simulated::SimulatedFleet;
use madderbay_testkit::measurement::fleets::act;
use madderbay_testkit::measurement::report::process_status_kb;
use madderbay_testkit::measurement::seeds::run_seeds;
use std::time::Instant;

/// Time over which bytes and processor time are measured.
const MEASURED_TIME: Duration = Duration::from_millis(20_000);
/// Number of runs in parallel.
const THREADS: usize = 5;
/// Number of members from which a fleet is considered large.
const LARGE_FLEET: usize = 101;
/// Maximum number of seeds for a large fleet.
const MAX_SEEDS_OF_LARGE_FLEET: u64 = 5;
/// Number of seeds for the heartbeats of a large fleet.
const HEARTBEAT_SEEDS_OF_LARGE_FLEET: u64 = 1;

const MEMBERS: [usize; 3] = [10, 100, 1_000];
const LOSSES: [f64; 3] = [0.0, 0.1, 0.3];

/// Prints the table, or only the rows of one number of members and one loss.
pub(crate) fn measure(seeds: u64, only_members: Option<usize>, only_loss: Option<f64>) {
    print_table_head("variant, members, loss");
    let members = MEMBERS
        .into_iter()
        .filter(|members| only_members.is_none_or(|only| only == *members));
    for members in members {
        let losses = LOSSES
            .into_iter()
            .filter(|loss| only_loss.is_none_or(|only| only == *loss));
        for loss in losses {
            print_rows(members, loss, seeds);
        }
    }
    let memory_mb = process_status_kb("VmHWM") / 1_024;
    println!("memory of this process, MB: {memory_mb}");
}

fn print_rows(members: usize, loss: f64, seeds: u64) {
    let large = members >= LARGE_FLEET;
    let (seeds, heartbeat_seeds) = if large {
        let seeds = seeds.min(MAX_SEEDS_OF_LARGE_FLEET);
        (seeds, HEARTBEAT_SEEDS_OF_LARGE_FLEET)
    } else {
        (seeds, seeds)
    };
    for (variant, local_health_aware) in [("this protocol", true), ("without local health", false)]
    {
        let mut row = swim(members, loss, seeds, local_health_aware);
        row.print_line(&format!("{variant}, {members}, {loss}"));
    }
    let mut row = Row::default();
    for seed in 0..heartbeat_seeds {
        heartbeats::play(members, loss, seed, &mut row);
    }
    row.print_line(&format!("all-to-all heartbeats, {members}, {loss}"));
}

/// Plays the faults of a row with several seeds, with or without local health of the observers.
fn swim(members: usize, loss: f64, seeds: u64, local_health_aware: bool) -> Row {
    let rows = run_seeds(0..seeds, THREADS, |seed| {
        let setup = FleetSetup {
            local_health_aware,
            ..FleetSetup::of(members)
        };
        let mut fleet = SimulatedFleet::new(setup, seed);
        let mut row = Row::default();
        act(&mut fleet, lossy_network(loss));
        row.play(&mut fleet, members, |fleet, row| {
            measure_settled(fleet, members - 1, row);
        });
        row.wrongly_down = fleet.wrongly_down;
        row
    });
    let mut all = Row::default();
    rows.into_iter().for_each(|row| all.add(row));
    all
}

/// Measures the bytes that each server sends and the processor time that it uses while nothing
/// happens.
fn measure_settled(fleet: &mut SimulatedFleet, servers: usize, row: &mut Row) {
    let bytes_sent = |fleet: &SimulatedFleet| {
        let running = fleet.running();
        let each = running.map(|(_, membership)| membership.counters().bytes_out);
        each.sum::<u64>()
    };
    let bytes_before = bytes_sent(fleet);
    let began = Instant::now();
    fleet.run(MEASURED_TIME);
    let server_secs = MEASURED_TIME.as_secs_f64() * servers as f64;
    let bytes = bytes_sent(fleet) - bytes_before;
    row.bytes.push(bytes as f64 / server_secs);
    row.cpu
        .push(began.elapsed().as_secs_f64() / server_secs * 100.0);
}
