//! The scripts of faults under `tests/shared` of the repository, whose datagrams pass through relays.

use crate::machine::{self, StallMonitor};
use crate::script_players::play_all;
use crate::support::{WatchedFleet, program, settings, work};
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::{Script, load_scripts};
use std::path::Path;

/// Scripts that are played at the same time.
const PLAYERS: usize = 2;

/// What failed in one play of a script.
struct Failures(Vec<String>);

fn play(name: &str, script: &Script, monitor: &StallMonitor) -> Result<(), Failures> {
    let works = [work("book", (1.0, 3.0), true)];
    let seed = name.len() as u64;
    let fleet = ProcessFleet::new(script.setup.clone(), program(), &settings(), &works, seed);
    let mut fleet = WatchedFleet { fleet, monitor };
    let unmet = script
        .play(&mut fleet)
        .err()
        .map(|failure| failure.to_string());
    let (requests, violations) = fleet.fleet.finish_loads();
    let mut failures: Vec<String> = unmet
        .into_iter()
        .chain(violations)
        .map(|what| format!("{name}: {what}"))
        .collect();
    if requests == 0 {
        failures.push(format!("{name}: no request was sent"));
    }
    if failures.is_empty() {
        Ok(())
    } else {
        Err(Failures(failures))
    }
}

#[test]
fn every_script_on_real_processes() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/shared");
    let scripts = load_scripts(&folder);
    play_all(&scripts, PLAYERS, |_, (name, script)| {
        let case = |monitor: &StallMonitor| play(name, script, monitor);
        match machine::replay_if_stalled(name, case) {
            Ok(()) => vec![],
            Err(Failures(found)) => found,
        }
    });
}
