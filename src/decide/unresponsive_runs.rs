//! Runs that nobody waits for and that do not end: when they are abandoned, and when they no longer count as load.
//!
//! [`UnresponsiveRuns`] counts the runs that have ended and decides each time that a run should have ended. It cancels
//! no runs.
//!
//! Invariant: a run that nobody waits for keeps its place under the concurrency limit, its memory and its influence on
//! the server's measured slowdown only until the engine has been seen to end other runs but not this one.

use crate::request::EndWatch;

/// Number of checks that find a run unfinished while the engine has no run on its cores, after which the engine is
/// assumed not to hold the run. Also the number of checks during which other runs must have ended before the run is
/// abandoned.
const MAX_IDLE_CHECKS: u32 = 3;
/// Number of checks that find a run unfinished, whatever is on the cores, after which it is no longer taken for a slow
/// run. An engine that is ten times too slow loses most cancellations but still ends runs.
const MAX_CHECKS: u32 = 20;

/// Decision on a run that should have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndDecision {
    /// Wait for the run. `is_overdue` is set once it has taken so long that it no longer counts as load.
    Wait { is_overdue: bool },
    /// Abandon the run and end its request: the engine ends other runs but not this one.
    Abandon,
}

/// Decides on runs that should have ended.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UnresponsiveRuns {
    ended_runs: u64,
    /// Whether the engine had no run on its cores at the last tick; false if it does not report its run queue.
    are_cores_idle: bool,
}

impl UnresponsiveRuns {
    /// Records that the engine has reported the end of a run.
    pub(super) fn on_run_ended(&mut self) {
        self.ended_runs += 1;
    }

    /// Records the engine's run queue at a tick, if the engine reports it.
    pub(super) fn on_tick(&mut self, run_queue: Option<f64>) {
        self.are_cores_idle = run_queue.is_some_and(|runs| runs < 1.0);
    }

    /// Begins a check of a run, or a further one, by recording how many runs have ended so far.
    pub(super) fn begin_check(self, watch: &mut EndWatch) {
        watch.ended_runs = self.ended_runs;
    }

    /// Decides on a run that has not ended since its check began.
    ///
    /// Other runs that ended since then show that the engine works, and idle cores show that it does not work on this
    /// run. One such check is not enough, because a cancellation is lost if the cores are stalled at that moment.
    pub(super) fn decide(self, watch: &mut EndWatch) -> EndDecision {
        watch.checks += 1;
        watch.checks_with_other_ends += u32::from(self.ended_runs > watch.ended_runs);
        watch.checks_with_idle_cores += u32::from(self.are_cores_idle);
        let is_overdue =
            watch.checks_with_idle_cores >= MAX_IDLE_CHECKS || watch.checks >= MAX_CHECKS;
        if is_overdue && watch.checks_with_other_ends >= MAX_IDLE_CHECKS {
            return EndDecision::Abandon;
        }
        EndDecision::Wait { is_overdue }
    }
}

#[cfg(test)]
mod tests;
