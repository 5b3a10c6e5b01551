//! Every script under `tests/shared`, simulated over many seeds on clocks that run unlike; and drawn histories.
//! `crates/server/tests/shared.rs` plays the same scripts on real processes.

use madderbay::time::Duration;
use madderbay_testkit::fleet::draw::Draw;
use madderbay_testkit::fleet::script::{Act, Budgeted, Condition, Fleet, Setup};
use madderbay_testkit::fleet::sim::{Sim, play_all};
use std::path::Path;

const SEEDS: u64 = 20;

#[test]
fn every_script_over_many_seeds() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/shared");
    let (scripts, failed) = play_all(&folder, SEEDS);
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

fn act(sim: &mut Sim, act: Act) {
    sim.act(&act).expect("done");
}

fn start(who: usize) -> Act {
    Act::Start {
        who,
        name: who,
        clock: Duration::ZERO,
        back: false,
    }
}

fn budgeted(n: usize, whole: u32, call_ms: u64) -> Setup {
    let ms = Duration::from_millis;
    let (lease, longest, call) = (ms(1_000), ms(500), ms(call_ms));
    let handlers = "book";
    let budget = Budgeted {
        whole,
        servers: n as u32,
        seats: false,
        lease,
        longest,
        call,
        handlers,
    };
    Setup {
        budget: Some(budget),
        ..Setup::of(n)
    }
}

/// Three hundred servers join within 7 s, each with work for all there is: never more than the whole.
#[test]
fn three_hundred_join_within_seven_seconds() {
    let (n, whole) = (300, 600);
    let mut sim = Sim::new(budgeted(n, whole, 100), 3);
    for who in 0..n {
        act(&mut sim, start(who));
        act(&mut sim, Act::Demand(who, 10));
        if who % 15 == 14 {
            sim.run(Duration::from_millis(330));
        }
    }
    let used = Condition::Uses {
        who: (0..n).collect(),
        least: whole * 9 / 10,
    };
    while let Some(amiss) = sim.amiss(&used) {
        assert!(sim.at() < Duration::from_millis(30_000), "{amiss}");
        sim.pass();
    }
    sim.run(Duration::from_millis(2_000));
    assert!(sim.peak <= whole, "{} in hand", sim.peak);
}

/// Drawn histories: crashes, pauses longer than a lease, cuts of both kinds, loss, doubling, delays of up to a
/// second, old datagrams, work that shifts. The command `--example shared drawn` plays ten thousand.
#[test]
fn drawn_histories_keep_to_the_whole() {
    for seed in 0..150u64 {
        let (n, whole) = (4, 20);
        let mut sim = Sim::new(budgeted(n, whole, 200), seed);
        (0..n).for_each(|s| act(&mut sim, start(s)));
        sim.run(Duration::from_millis(4_000));
        let mut draw = Draw::new(seed + 500, n, whole * 3 / 2);
        for _ in 0..25 {
            act(&mut sim, draw.act());
            sim.run(Duration::from_secs_f64(draw.secs(0.8)));
        }
        assert!(sim.peak <= whole, "seed {seed}: {} in hand", sim.peak);
    }
}
