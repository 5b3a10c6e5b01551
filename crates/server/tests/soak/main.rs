//! Short soak runs of the real program with randomly chosen faults. `docs/notes/soak.md` describes the faults and the
//! checks.

#[path = "../common/program.rs"]
mod program;

use madderbay_testkit::measurement::seeds::run_seed_list;
use madderbay_testkit::soak::{Plan, play, violations};

/// Soak runs at the same time: few enough that servers, simulated peers and clients find a free core.
const CONCURRENT_RUNS: usize = 4;
/// Seeds of soak runs. All but seed 3, which never broke a rule, are regression cases of faults that were fixed: a run
/// that was forgotten between two engine links (2, 7, 43), and runs that never end (9, 16, 20), one of them at a
/// call (48).
const SEEDS: [u64; 8] = [2, 7, 43, 9, 16, 20, 48, 3];

/// No soak run breaks a rule. A failure prints one line for each violation, with the seed that reproduces it.
#[test]
fn breaks_no_rule_under_link_losses_and_cancelled_requests() {
    let violations_found = run_seed_list(&SEEDS, CONCURRENT_RUNS, |seed| {
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
