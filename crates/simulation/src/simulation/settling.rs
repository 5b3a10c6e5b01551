//! Measures how long the servers need after the last fault until they agree on one view of the fleet.

use madderbay::time::{Duration, Timestamp};

/// The time of the last fault, and the time since which all views agree.
pub(super) struct ConvergenceTracker {
    last_fault: Timestamp,
    converged_at: Option<Timestamp>,
}

impl ConvergenceTracker {
    /// Creates a tracker at the start of the simulation, which counts as a fault.
    pub(super) fn new(now: Timestamp) -> ConvergenceTracker {
        ConvergenceTracker {
            last_fault: now,
            converged_at: None,
        }
    }

    /// Records that a fault is injected.
    pub(super) fn record_fault(&mut self, now: Timestamp) {
        self.last_fault = now;
        self.converged_at = None;
    }

    /// Records whether all views agree now and no member is suspected.
    pub(super) fn observe(&mut self, now: Timestamp, has_converged: bool) {
        if has_converged {
            self.converged_at.get_or_insert(now);
        } else if now > self.last_fault {
            self.converged_at = None;
        }
    }

    /// Reports whether the views agreed when they were last observed.
    pub(super) fn has_converged(&self) -> bool {
        self.converged_at.is_some()
    }

    /// Returns the seconds from the last fault until the views agreed, or `None` if they do not agree.
    pub(super) fn convergence_s(&self) -> Option<f64> {
        let converged_at = self.converged_at?;
        Some((converged_at - self.last_fault).as_secs_f64())
    }

    /// Returns the time since the last fault.
    pub(super) fn time_since_last_fault(&self, now: Timestamp) -> Duration {
        now - self.last_fault
    }
}

#[cfg(test)]
mod tests;
