//! Plays the fault injection scripts of `tests/shared` on real processes. Relays forward the datagrams between them.

use crate::ample_capacity::settings;
use crate::machine::{StallMonitor, run_fleet_case};
use crate::program::program;
use crate::script_players::play_all;
use crate::watched_fleet::WatchedFleet;
use madderbay_testkit::engine::HandlerWork;
use madderbay_testkit::fleet::processes::ProcessFleet;
use madderbay_testkit::fleet::script::{Script, load_scripts};
use std::path::Path;

/// Number of scripts that are played at the same time.
const CONCURRENT_SCRIPTS: usize = 2;

/// Plays a script on a fleet. Returns one line for each failure, with the longest stall of the machine.
fn play_script(name: &str, script: &Script, monitor: &StallMonitor) -> Vec<String> {
    let works = [HandlerWork::new("book", (1.0, 3.0), true)];
    let seed = name.len() as u64;
    let processes = ProcessFleet::new(script.setup.clone(), program(), &settings(), &works, seed);
    let mut fleet = WatchedFleet { processes, monitor };
    let unmet = script.play(&mut fleet).err();
    let (requests, violations) = fleet.processes.finish_loads();
    let mut failures: Vec<String> = unmet.iter().map(ToString::to_string).collect();
    failures.extend(violations);
    if requests == 0 {
        failures.push("no request was sent".into());
    }
    let stall = monitor.longest_stall();
    let describe = |what: &String| format!("{name}: {what} ({stall})");
    failures.iter().map(describe).collect()
}

#[test]
fn plays_every_script_on_real_processes() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../tests/shared");
    let scripts = load_scripts(&folder);
    play_all(&scripts, CONCURRENT_SCRIPTS, |_, (name, script)| {
        let mut failures = vec![];
        run_fleet_case(|monitor| failures = play_script(name, script, monitor));
        failures
    });
}
