//! Deadlines of the decision module, in one ordered structure. Owns the order; decides nothing.

use crate::slots::{KeySlot, RequestSlot};
use crate::time::Timestamp;
use std::collections::BTreeSet;

/// What is due. Timers of one instant fire in the order of the variants, then of the slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The request's answer has to leave.
    Answer(RequestSlot),
    /// The request's call may be made again.
    RetryCall(RequestSlot),
    /// The run of a settled request should have ended.
    CheckEnded(RequestSlot),
    /// The key's stored entry expires.
    ExpireKey(KeySlot),
    /// No further attempt of the key's request can arrive.
    ForgetKey(KeySlot),
}

/// All timers that are set. A timer is never cancelled; one that has lost its purpose fires without effect.
#[derive(Debug, Default)]
pub(crate) struct Timers(BTreeSet<(Timestamp, Timer)>);

impl Timers {
    pub(crate) fn set(&mut self, deadline: Timestamp, timer: Timer) {
        self.0.insert((deadline, timer));
    }

    /// Removes the timers whose deadlines have been reached, and returns them in order.
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
