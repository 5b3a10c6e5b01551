//! The rules of requests while the servers' views of the fleet are wrong.

use crate::machine::{StallMonitor, run_fleet_case};
use crate::support::{LoadResult, run_load, start_fleet};
use madderbay_testkit::fleet::script::Script;
use std::sync::atomic::{AtomicBool, Ordering};

const LOSSY_START: &str = "servers 4\nset down_retention=2s\nloss 0.1\ncorrupt 0.05\nduplicate 0.1\nstart all\nsettle 30s";
const FAULTS: &str = "servers 4\npartition n1 n2 | n3 n4\nview n1 n3 down 20s\nkill n4\nreplay n1\nheal\nstop n2\n\
    view n1 n2 suspect 20s\ncontinue n2\nstart n4\noneway n1 > n2 n3 n4\nreplay n1\nheal\nsettle 40s";

/// Each server keeps the rules of requests, whatever its view of the others, while servers are partitioned, paused and
/// killed, and datagrams are lost, duplicated and corrupted.
#[test]
fn keeps_request_rules_while_views_are_wrong() {
    run_fleet_case(check_rules_under_faults);
}

fn check_rules_under_faults(monitor: &StallMonitor) {
    let mut fleet = start_fleet(LOSSY_START, monitor);
    let faults = Script::read("faults", FAULTS).expect("a valid script");
    // The load goes to the first server, which every fault affects and none stops.
    let address = fleet.processes.server(0).expect("the program runs").address;
    let engine = fleet.processes.engine(0).clone();
    let is_over = AtomicBool::new(false);
    let (played, rounds) = std::thread::scope(|scope| {
        let loading = scope.spawn(|| {
            let mut rounds: Vec<LoadResult> = vec![];
            while rounds.is_empty() || !is_over.load(Ordering::Relaxed) {
                let seed = rounds.len() as u64;
                rounds.push(run_load(address, &engine, 2, seed));
            }
            rounds
        });
        let played = faults.play(&mut fleet);
        is_over.store(true, Ordering::Relaxed);
        (
            played,
            loading.join().expect("the load thread does not panic"),
        )
    });
    played.expect("every condition is met");
    let violations: Vec<&String> = rounds.iter().flat_map(|r| &r.violations).collect();
    assert!(violations.is_empty(), "{violations:?}");
    assert!(rounds.iter().map(|r| r.requests).sum::<usize>() > 100);
}
