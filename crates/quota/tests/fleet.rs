//! Budgets of simulated fleets: every script under `tests/shared`, over many seeds on clocks that
//! drift apart, and random histories. `crates/server/tests/shared` plays the same scripts on
//! real processes.

mod support;

use madderbay::time::Duration;
use madderbay_testkit::fleet::script::{Action, Condition, Fleet, FleetSetup};
use madderbay_testkit::fleet::script_generator::ScriptGenerator;
use madderbay_testkit::fleet::simulated::{SimulatedFleet, run_all_scripts};
use std::path::Path;
use support::{act, start};

const SEEDS: u64 = 20;

#[test]
fn every_script_passes_over_many_seeds() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/shared");
    let (scripts, failed) = run_all_scripts(&folder, SEEDS);
    assert!(
        scripts >= 10 || std::env::var("FLEET_SCRIPT").is_ok(),
        "scripts are found"
    );
    assert!(
        failed.is_empty(),
        "{} plays failed:\n{}",
        failed.len(),
        failed.join("\n")
    );
}

/// A fleet of `servers` with one budget of `capacity` calls in flight.
fn fleet_with_budget(servers: usize, capacity: u32, call_ms: u64) -> FleetSetup {
    FleetSetup::with_budget(servers, capacity, Duration::from_millis(call_ms))
}

/// Each of the servers has demand for more than its base quota.
#[test]
fn joining_servers_use_the_capacity_and_never_exceed_it() {
    let (servers, capacity) = (300, 600);
    let mut sim = SimulatedFleet::new(fleet_with_budget(servers, capacity, 100), 3);
    for server in 0..servers {
        act(&mut sim, start(server));
        act(&mut sim, Action::Demand(server, 10));
        // All join within 7 s.
        if server % 15 == 14 {
            sim.run(Duration::from_millis(330));
        }
    }
    let used = Condition::InFlightAtLeast {
        who: (0..servers).collect(),
        least: capacity * 9 / 10,
    };
    while let Some(amiss) = sim.unmet(&used) {
        assert!(sim.at() < Duration::from_millis(30_000), "{amiss}");
        sim.pass();
    }
    sim.run(Duration::from_millis(2_000));
    assert!(sim.peak <= capacity, "{} in flight", sim.peak);
}

/// Random histories: crashes, pauses longer than a lease, partitions in one direction and both,
/// loss, duplication, delays of up to a second, old datagrams, changing demand. The command
/// `--example quotas simulated-histories` plays ten thousand.
#[test]
fn random_histories_never_exceed_the_capacity() {
    for seed in 0..150u64 {
        let (servers, capacity) = (4, 20);
        let mut sim = SimulatedFleet::new(fleet_with_budget(servers, capacity, 200), seed);
        (0..servers).for_each(|server| act(&mut sim, start(server)));
        sim.run(Duration::from_millis(4_000));
        let mut draw = ScriptGenerator::new(seed + 500, servers, capacity * 3 / 2);
        for _ in 0..25 {
            act(&mut sim, draw.act());
            sim.run(Duration::from_secs_f64(draw.secs(0.8)));
        }
        assert!(sim.peak <= capacity, "seed {seed}: {} in flight", sim.peak);
    }
}
