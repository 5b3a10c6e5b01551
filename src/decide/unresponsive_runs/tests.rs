//! Tests of when a run that should have ended is waited for and when it is abandoned.

use super::*;

const IDLE: Option<f64> = Some(0.0);
const BUSY: Option<f64> = Some(1.0);
const WAIT: EndDecision = EndDecision::Wait { is_overdue: false };
const WAIT_OVERDUE: EndDecision = EndDecision::Wait { is_overdue: true };

/// Checks a run once, after `ended` other runs have ended, with this run queue.
fn check(
    runs: &mut UnresponsiveRuns,
    watch: &mut EndWatch,
    ended: u32,
    run_queue: Option<f64>,
) -> EndDecision {
    runs.begin_check(watch);
    for _ in 0..ended {
        runs.on_run_ended();
    }
    runs.on_tick(run_queue);
    runs.decide(watch)
}

/// Checks a run `times` times and returns the last decision.
fn check_times(times: u32, ended: u32, run_queue: Option<f64>) -> EndDecision {
    let (mut runs, mut watch) = (UnresponsiveRuns::default(), EndWatch::default());
    let mut decision = WAIT;
    for _ in 0..times {
        decision = check(&mut runs, &mut watch, ended, run_queue);
    }
    decision
}

#[test]
fn abandons_run_when_cores_are_idle_and_other_runs_end() {
    assert_eq!(check_times(MAX_IDLE_CHECKS - 1, 5, IDLE), WAIT);
    assert_eq!(check_times(MAX_IDLE_CHECKS, 1, IDLE), EndDecision::Abandon);
}

/// A slow engine loses cancellations but still ends runs, so this run may be on its cores.
#[test]
fn waits_longer_when_run_may_still_be_on_cores() {
    for run_queue in [BUSY, None] {
        assert_eq!(check_times(MAX_CHECKS - 1, 1, run_queue), WAIT);
        assert_eq!(check_times(MAX_CHECKS, 1, run_queue), EndDecision::Abandon);
    }
}

/// A stalled engine ends no runs: the run keeps its place, but no longer counts as load.
#[test]
fn never_abandons_run_while_no_other_run_ends() {
    assert_eq!(check_times(MAX_IDLE_CHECKS, 0, IDLE), WAIT_OVERDUE);
    assert_eq!(check_times(1_000, 0, IDLE), WAIT_OVERDUE);
    assert_eq!(check_times(MAX_CHECKS - 1, 0, BUSY), WAIT);
    assert_eq!(check_times(1_000, 0, BUSY), WAIT_OVERDUE);
}
