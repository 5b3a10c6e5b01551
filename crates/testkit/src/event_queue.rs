//! Events in the order of their times; events of the same time keep the order in which they were
//! added.

use std::collections::BTreeMap;

/// Events that are due later. `T` is a point in time.
pub(crate) struct EventQueue<T, E> {
    events: BTreeMap<(T, u64), E>,
    /// The number of events that were ever added; tells apart those of the same time.
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

    /// The time of the next event.
    pub(crate) fn next_time(&self) -> Option<T> {
        self.events.first_key_value().map(|((at, _), _)| *at)
    }

    /// Takes the next event that is due by then, with its time.
    pub(crate) fn pop_until(&mut self, until: T) -> Option<(T, E)> {
        self.next_time().filter(|at| *at <= until)?;
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }
}
