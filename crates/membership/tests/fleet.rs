//! Every fault script in the repository's `tests/fleet`, in the simulated fleet over many seeds.
//! `crates/server/tests/fleet.rs` runs the same scripts on real processes.

use madderbay::time::Duration;
use madderbay_testkit::fleet::script::{Action, Condition, Fleet, FleetSetup};
use madderbay_testkit::fleet::simulated::{SimulatedFleet, run_all_scripts};
use std::path::Path;

const SEEDS: u64 = 20;

#[test]
fn all_fault_scripts_pass_over_many_seeds() {
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

/// 150 servers that know only the first one, with three datagrams in ten lost: rosters of many
/// pages complete, and suspicions that one more ping would have prevented do not fill the network.
#[test]
fn large_fleet_on_lossy_links_agrees_and_stays_quiet() {
    let (n, span) = (150, Duration::from_millis(20_000));
    let mut sim = SimulatedFleet::new(FleetSetup::of(n), 7);
    let net = Action::Network {
        loss: Some(0.3),
        duplication: None,
        corruption: None,
        delay: None,
    };
    sim.act(&net).expect("set");
    for who in 0..n {
        sim.act(&Action::Start {
            who,
            name: who,
            clock: Duration::ZERO,
            back: false,
        })
        .expect("started");
    }
    let began = sim.at();
    while let Some(amiss) = sim.unmet(&Condition::Settled) {
        assert!(
            sim.at().saturating_sub(began) < Duration::from_millis(25_000),
            "{amiss}"
        );
        sim.pass();
    }
    let sums = |sim: &SimulatedFleet| {
        let all = sim
            .running()
            .map(|m| (m.1.counters().bytes_out, m.1.counters().suspicions));
        all.fold((0, 0), |sum, m| (sum.0 + m.0, sum.1 + m.1))
    };
    let before = sums(&sim);
    sim.run(span);
    let after = sums(&sim);
    let bytes = (after.0 - before.0) as f64 / span.as_secs_f64() / n as f64;
    assert!(bytes < 4_000.0, "{bytes:.0} bytes per second and member");
    // One of a hundred members a minute is suspected wrongly, and told of to all: not one each
    // second.
    let suspected = (after.1 - before.1) / n as u64;
    assert!(suspected <= 10, "{suspected} were suspected in 20 s");
}
