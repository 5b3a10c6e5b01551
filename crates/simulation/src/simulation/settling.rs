//! How long the servers need after the last fault until they agree on one view of the fleet.

use madderbay::time::{Duration, Timestamp};

/// Owns when the last fault was and since when the views agree.
pub(super) struct SettlingTracker {
    last_fault: Timestamp,
    settled_at: Option<Timestamp>,
}

impl SettlingTracker {
    /// The start counts as a fault.
    pub(super) fn new(now: Timestamp) -> SettlingTracker {
        SettlingTracker {
            last_fault: now,
            settled_at: None,
        }
    }

    /// A fault is injected.
    pub(super) fn fault_injected(&mut self, now: Timestamp) {
        self.last_fault = now;
        self.settled_at = None;
    }

    /// Whether all views agree now, and nobody is suspected.
    pub(super) fn observe(&mut self, now: Timestamp, is_settled: bool) {
        if is_settled {
            self.settled_at.get_or_insert(now);
        } else if now > self.last_fault {
            self.settled_at = None;
        }
    }

    /// Whether the views agreed when they were observed last.
    pub(super) fn is_settled(&self) -> bool {
        self.settled_at.is_some()
    }

    /// Seconds from the last fault until the views agreed; none if they do not.
    pub(super) fn settling_s(&self) -> Option<f64> {
        let settled_at = self.settled_at?;
        Some((settled_at - self.last_fault).as_secs_f64())
    }

    /// How long there was no fault.
    pub(super) fn time_since_last_fault(&self, now: Timestamp) -> Duration {
        now - self.last_fault
    }
}

#[cfg(test)]
mod tests;
