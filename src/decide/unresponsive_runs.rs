//! Runs that nobody waits for and that do not end: when they are abandoned, and when they say nothing of the load.
//!
//! Owns the number of runs that have ended. Is given each end, and each time that a run should have ended. Cancels
//! nothing.
//!
//! Invariant: a run that nobody waits for holds its place, its memory and its part in the server's judgement of itself
//! only until the engine has been seen to end other runs in spite of it.

use crate::request::EndWatch;

/// Times that a run should have ended while the engine had no run on its cores, after which it is none of the engine's.
const MAX_ABSENCES: u32 = 3;
/// Times that a run should have ended, whatever was on the cores, after which it is no longer taken for a slow one. An
/// engine that is ten times too slow loses most cancellations, and still ends runs.
const MAX_CHECKS: u32 = 20;

/// What is decided on a run that should have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndDecision {
    /// It is waited for. `is_overdue`: for so long that it no longer stands for the load.
    Wait { is_overdue: bool },
    /// The engine ends other runs and not this one: its request is over.
    Abandon,
}

/// Decides on runs that should have ended.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UnresponsiveRuns {
    ended_runs: u64,
    /// Whether the engine had no run on its cores at the last tick; false where it does not tell.
    are_cores_idle: bool,
}

impl UnresponsiveRuns {
    /// The engine has reported the end of a run.
    pub(super) fn on_run_ended(&mut self) {
        self.ended_runs += 1;
    }

    /// The engine's run queue at a tick, if it tells.
    pub(super) fn on_tick(&mut self, run_queue: Option<f64>) {
        self.are_cores_idle = run_queue.is_some_and(|runs| runs < 1.0);
    }

    /// A run is expected to end from now on, or once more.
    pub(super) fn expect_end(self, watch: &mut EndWatch) {
        watch.ended_runs = self.ended_runs;
    }

    /// A run should have ended since it was expected to.
    ///
    /// Ends of other runs since then show that the engine works, and idle cores that it does not work on this run. One such
    /// check is not enough: a cancellation is lost where the cores are stalled at that moment.
    pub(super) fn decide(self, watch: &mut EndWatch) -> EndDecision {
        watch.checks += 1;
        watch.checks_with_other_ends += u32::from(self.ended_runs > watch.ended_runs);
        watch.checks_with_idle_cores += u32::from(self.are_cores_idle);
        let is_overdue = watch.checks_with_idle_cores >= MAX_ABSENCES || watch.checks >= MAX_CHECKS;
        if is_overdue && watch.checks_with_other_ends >= MAX_ABSENCES {
            return EndDecision::Abandon;
        }
        EndDecision::Wait { is_overdue }
    }
}

#[cfg(test)]
mod tests;
