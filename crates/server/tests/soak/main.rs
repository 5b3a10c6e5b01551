//! Short plays of the real program under drawn troubles; `docs/notes/soak.md` says what is drawn and checked.

#[path = "../common/program.rs"]
mod program;

use madderbay_testkit::measurement::seeds::run_seed_list;
use madderbay_testkit::soak::{Plan, play, violations};

/// Plays at a time: few enough that servers, fakes and clients find a core.
const CONCURRENT_PLAYS: usize = 4;
/// Seeds that each broke a rule before a fault was mended: a run that was forgotten between two links (2, 7, 43), runs
/// that never end (9, 16, 20), and one of them at a call (48). Seed 3 was always clean.
const SEEDS: [u64; 8] = [2, 7, 43, 9, 16, 20, 48, 3];

/// What the plays broke, a line each with the seed that plays it again.
#[test]
fn breaks_no_rule_under_link_losses_and_cancelled_requests() {
    let violations_found = run_seed_list(&SEEDS, CONCURRENT_PLAYS, |seed| {
        let found = violations(&play(program::program(), &Plan::draw(seed)));
        let lines = found
            .iter()
            .map(|violation| format!("seed {seed}: {violation}"));
        lines.collect::<Vec<_>>()
    });
    let violations_found = violations_found.concat();
    assert!(
        violations_found.is_empty(),
        "{}",
        violations_found.join("\n")
    );
}
