//! Budgets of simulated fleets: runs every script under `tests/shared` with many seeds and drifting
//! clocks, and random histories. `crates/server/tests/shared` runs the same scripts with real
//! processes.

mod support;

use madderbay::time::Duration;
use madderbay_testkit::fleet::script::{Action, Condition, Fleet, FleetSetup};
use madderbay_testkit::fleet::script_generator::ScriptGenerator;
use madderbay_testkit::fleet::simulated::{SimulatedFleet, run_all_scripts};
use std::path::Path;
use support::{act, start};

const SEEDS: u64 = 20;

#[test]
fn every_script_passes_with_every_seed() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/shared");
    let (scripts, failed) = run_all_scripts(&folder, SEEDS);
    assert!(
        scripts >= 10 || std::env::var("FLEET_SCRIPT").is_ok(),
        "only {scripts} scripts found"
    );
    assert!(
        failed.is_empty(),
        "{} runs failed:\n{}",
        failed.len(),
        failed.join("\n")
    );
}

/// A fleet of `servers` with one budget of `capacity` calls in flight.
fn fleet_with_budget(servers: usize, capacity: u32, call_ms: u64) -> FleetSetup {
    FleetSetup::with_budget(servers, capacity, Duration::from_millis(call_ms))
}

/// Servers whose demand exceeds their base quotas join within 7 s.
#[test]
fn joining_servers_use_the_capacity_and_never_exceed_it() {
    let (servers, capacity) = (300, 600);
    let mut sim = SimulatedFleet::new(fleet_with_budget(servers, capacity, 100), 3);
    for server in 0..servers {
        act(&mut sim, start(server));
        act(&mut sim, Action::Demand(server, 10));
        // 300 servers in batches of 15, one batch every 330 ms: all join within 7 s.
        if server % 15 == 14 {
            sim.run(Duration::from_millis(330));
        }
    }
    let used = Condition::InFlightAtLeast {
        who: (0..servers).collect(),
        least: capacity * 9 / 10,
    };
    while let Some(reason) = sim.unmet(&used) {
        assert!(sim.at() < Duration::from_millis(30_000), "{reason}");
        sim.pass();
    }
    sim.run(Duration::from_millis(2_000));
    assert!(sim.peak <= capacity, "{} in flight", sim.peak);
}

/// Runs random histories with crashes, pauses longer than a lease, partitions in one or both
/// directions, loss, duplication, delays of up to a second, old datagrams and changing demand. The
/// command `--example quotas simulated-histories` runs ten thousand.
#[test]
fn random_histories_never_exceed_the_capacity() {
    for seed in 0..150u64 {
        let (servers, capacity) = (4, 20);
        let mut sim = SimulatedFleet::new(fleet_with_budget(servers, capacity, 200), seed);
        (0..servers).for_each(|server| act(&mut sim, start(server)));
        sim.run(Duration::from_millis(4_000));
        let mut generator = ScriptGenerator::new(seed + 500, servers, capacity * 3 / 2);
        for _ in 0..25 {
            act(&mut sim, generator.act());
            sim.run(Duration::from_secs_f64(generator.secs(0.8)));
        }
        assert!(sim.peak <= capacity, "seed {seed}: {} in flight", sim.peak);
    }
}
