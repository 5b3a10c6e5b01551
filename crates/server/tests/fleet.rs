//! Plays the fault injection scripts of `tests/fleet` on real processes. Relays forward the datagrams between them.

mod common;
#[path = "common/program.rs"]
mod program;
#[path = "common/script_players.rs"]
mod script_players;

use madderbay_testkit::engine::HandlerWork;
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::{Action, Script, Step, load_scripts};
use program::program;
use std::path::Path;

/// Number of scripts that are played at the same time: few enough that a lack of free cores does not make a test fail.
const CONCURRENT_SCRIPTS: usize = 4;

fn handler_works() -> Vec<HandlerWork> {
    let work = |handler: &str, calls| HandlerWork::new(handler, (2.0, 6.0), calls);
    vec![
        work("search", true),
        work("quote", false),
        work("book", true),
    ]
}

/// Reports whether a script can be played on processes: whether it has no step that only a simulated fleet can play,
/// in which one clock and all views are at hand.
fn runs_on_processes(script: &Script) -> bool {
    let is_simulated = |step: &Step| {
        matches!(
            step,
            Step::Action(Action::Advance(_) | Action::CheckWronglyDown(_))
        )
    };
    !script.steps.iter().any(|(_, step)| is_simulated(step))
}

/// Plays a script on a fleet of processes. Returns the first condition that was not met.
fn play(script: &Script, seed: u64) -> Option<String> {
    let setup = script.setup.clone();
    let mut fleet = ProcessFleet::new(setup, program(), common::SETTINGS, &handler_works(), seed);
    script
        .play(&mut fleet)
        .err()
        .map(|failure| failure.to_string())
}

#[test]
fn plays_every_script_on_real_processes() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/fleet");
    let mut scripts = load_scripts(&folder);
    scripts.retain(|(_, script)| runs_on_processes(script));
    script_players::play_all(&scripts, CONCURRENT_SCRIPTS, |index, (name, script)| {
        let unmet = play(script, index as u64);
        unmet
            .map(|unmet| format!("{name}: {unmet}"))
            .into_iter()
            .collect()
    });
}
