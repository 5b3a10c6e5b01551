//! A queue of events ordered by time; events of the same time keep the order in which they were
//! added.

use std::collections::BTreeMap;

/// Events ordered by the time at which they are due. `T` is a point in time.
pub(crate) struct EventQueue<T, E> {
    events: BTreeMap<(T, u64), E>,
    /// Number of events added so far, which orders events of the same time.
    added: u64,
}

impl<T: Ord + Copy, E> EventQueue<T, E> {
    pub(crate) fn new() -> EventQueue<T, E> {
        EventQueue {
            events: BTreeMap::new(),
            added: 0,
        }
    }

    pub(crate) fn push(&mut self, at: T, event: E) {
        self.added += 1;
        self.events.insert((at, self.added), event);
    }

    /// Returns the time of the next event.
    pub(crate) fn next_time(&self) -> Option<T> {
        self.events.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes the next event that is due by `until`, and returns it with its time.
    pub(crate) fn pop_until(&mut self, until: T) -> Option<(T, E)> {
        self.next_time().filter(|at| *at <= until)?;
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }
}
