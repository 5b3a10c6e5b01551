//! Queue of timers, ordered by deadline. Timers with the same deadline fire in the order in which
//! they were set.

use madderbay::time::Timestamp;
use std::collections::BTreeMap;

/// Position of a timer in the queue.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    deadline: Timestamp,
    sequence: u64,
}

/// A queue of timers, ordered by deadline.
pub(crate) struct TimerQueue<T> {
    timers: BTreeMap<TimerKey, T>,
    next_sequence: u64,
}

impl<T> TimerQueue<T> {
    pub(crate) fn new() -> TimerQueue<T> {
        TimerQueue {
            timers: BTreeMap::new(),
            next_sequence: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.timers.len()
    }

    pub(crate) fn set(&mut self, deadline: Timestamp, timer: T) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.timers.insert(TimerKey { deadline, sequence }, timer);
    }

    /// Returns the earliest deadline.
    pub(crate) fn next_deadline(&self) -> Option<Timestamp> {
        self.timers.keys().next().map(|key| key.deadline)
    }

    /// Removes and returns the next timer whose deadline has passed.
    pub(crate) fn pop_due(&mut self, now: Timestamp) -> Option<T> {
        let entry = self
            .timers
            .first_entry()
            .filter(|entry| entry.key().deadline <= now)?;
        Some(entry.remove())
    }

    pub(crate) fn clear(&mut self) {
        self.timers.clear();
    }
}

#[cfg(test)]
mod tests;
