//! External ceilings on the runs and calls of groups of handlers. Owns the ceilings and the counts under
//! them. Whether a load is within them, and what follows, is decided elsewhere.

use crate::interface::{Ceiling, HandlerId};

/// How long the start intervals over a handler delay its next request.
#[derive(Debug, Default)]
pub(crate) struct StartDelay {
    pub(crate) seconds: f64,
    /// Index of the ceiling that makes the delay.
    pub(crate) ceiling: Option<usize>,
}

/// The queued requests under each ceiling.
#[derive(Debug)]
pub(crate) struct QueuedCounts(Vec<f64>);

/// The ceilings in force.
#[derive(Debug, Default)]
pub(crate) struct CeilingTable(Vec<Ceiling>);

impl CeilingTable {
    pub(crate) fn replace(&mut self, ceilings: &[Ceiling]) {
        self.0 = ceilings.to_vec();
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The ceilings over a handler.
    pub(crate) fn over(&self, handler: HandlerId) -> impl Iterator<Item = &Ceiling> {
        self.indexed(handler).map(|(_, ceiling)| ceiling)
    }

    fn indexed(&self, handler: HandlerId) -> impl Iterator<Item = (usize, &Ceiling)> {
        self.0
            .iter()
            .enumerate()
            .filter(move |(_, c)| c.handlers.contains(&handler))
    }

    /// Whether the ceiling of that index covers the handler.
    pub(crate) fn covers(&self, ceiling: usize, handler: HandlerId) -> bool {
        self.0[ceiling].handlers.contains(&handler)
    }

    /// Counts queued requests, given by their handlers, under each ceiling.
    pub(crate) fn count(&self, handlers: impl Iterator<Item = HandlerId>) -> QueuedCounts {
        let mut counts = QueuedCounts(vec![0.0; self.0.len()]);
        handlers.for_each(|handler| self.add(&mut counts, handler));
        counts
    }

    /// Counts one more queued request.
    pub(crate) fn add(&self, counts: &mut QueuedCounts, handler: HandlerId) {
        self.indexed(handler).for_each(|(i, _)| counts.0[i] += 1.0);
    }

    /// Counts one queued request less.
    pub(crate) fn take_off(&self, counts: &mut QueuedCounts, handler: HandlerId) {
        self.indexed(handler).for_each(|(i, _)| counts.0[i] -= 1.0);
    }

    /// The longest delay that the ceilings over a handler make, at its end of the queued requests.
    pub(crate) fn start_delay(&self, handler: HandlerId, queued: &QueuedCounts) -> StartDelay {
        let mut longest = StartDelay::default();
        for (i, ceiling) in self.indexed(handler) {
            let seconds = queued.0[i] * ceiling.start_interval.as_secs_f64();
            if seconds > longest.seconds {
                longest = StartDelay {
                    seconds,
                    ceiling: Some(i),
                };
            }
        }
        longest
    }
}
