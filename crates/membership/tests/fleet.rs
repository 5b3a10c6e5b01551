//! Runs every fault script in the repository's `tests/fleet` in the simulated fleet, with many
//! seeds. `crates/server/tests/fleet.rs` runs the same scripts with real processes.

use madderbay::time::Duration;
use madderbay_testkit::fleet::script::{Action, Condition, Fleet, FleetSetup};
use madderbay_testkit::fleet::simulated::{SimulatedFleet, run_all_scripts};
use std::path::Path;

const SEEDS: u64 = 20;

#[test]
fn all_fault_scripts_pass_with_many_seeds() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/fleet");
    let (scripts, failed) = run_all_scripts(&folder, SEEDS);
    assert!(
        scripts >= 10 || std::env::var("FLEET_SCRIPT").is_ok(),
        "found {scripts} scripts"
    );
    assert!(
        failed.is_empty(),
        "{} runs failed:\n{}",
        failed.len(),
        failed.join("\n")
    );
}

/// Starts 150 servers that know only the first one, with three datagrams in ten lost. Rosters of
/// many pages must complete, and suspicions that one more ping would have prevented must not fill
/// the network.
#[test]
fn large_fleet_on_lossy_links_converges_with_bounded_traffic() {
    let (server_count, measured_time) = (150, Duration::from_millis(20_000));
    let mut sim = SimulatedFleet::new(FleetSetup::of(server_count), 7);
    let lossy_network = Action::Network {
        loss: Some(0.3),
        duplication: None,
        corruption: None,
        delay: None,
    };
    sim.act(&lossy_network).expect("set");
    for who in 0..server_count {
        sim.act(&Action::Start {
            who,
            name: who,
            clock: Duration::ZERO,
            back: false,
        })
        .expect("started");
    }
    let start = sim.at();
    while let Some(unmet) = sim.unmet(&Condition::Settled) {
        assert!(
            sim.at().saturating_sub(start) < Duration::from_millis(25_000),
            "{unmet}"
        );
        sim.pass();
    }
    let totals = |sim: &SimulatedFleet| {
        let all = sim
            .running()
            .map(|m| (m.1.counters().bytes_out, m.1.counters().suspicions));
        all.fold((0, 0), |sum, m| (sum.0 + m.0, sum.1 + m.1))
    };
    let before = totals(&sim);
    sim.run(measured_time);
    let after = totals(&sim);
    let bytes = (after.0 - before.0) as f64 / measured_time.as_secs_f64() / server_count as f64;
    assert!(bytes < 4_000.0, "{bytes:.0} bytes per second and member");
    // About one member in a hundred is wrongly suspected per minute, and every server learns of it.
    // The bound excludes one suspicion each second.
    let suspicions = (after.1 - before.1) / server_count as u64;
    assert!(
        suspicions <= 10,
        "{suspicions} suspicions per member in 20 s"
    );
}
