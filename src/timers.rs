//! The timers of the decision module, ordered by deadline. What happens when one expires is decided by the caller.

use crate::slots::{KeySlot, RequestSlot};
use crate::time::Timestamp;
use std::collections::BTreeSet;

/// What is due at a deadline. Timers with the same deadline fire in the order of the variants, then of the slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The request must be answered now.
    Answer(RequestSlot),
    /// The request's upstream call may be attempted again.
    RetryCall(RequestSlot),
    /// The run of a settled request should have ended.
    CheckEnded(RequestSlot),
    /// The key's stored entry expires.
    ExpireKey(KeySlot),
    /// No further attempt of the key's request can arrive.
    ForgetKey(KeySlot),
}

/// All timers that are set. A timer is never cancelled; one that no longer applies fires without effect.
#[derive(Debug, Default)]
pub(crate) struct Timers(BTreeSet<(Timestamp, Timer)>);

impl Timers {
    pub(crate) fn set(&mut self, deadline: Timestamp, timer: Timer) {
        self.0.insert((deadline, timer));
    }

    /// Removes and returns the timers whose deadlines have been reached, in order.
    pub(crate) fn take_expired(&mut self, now: Timestamp) -> Vec<Timer> {
        let mut expired = vec![];
        while let Some((deadline, timer)) = self.0.first().copied()
            && deadline <= now
        {
            self.0.pop_first();
            expired.push(timer);
        }
        expired
    }
}
