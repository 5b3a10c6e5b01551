//! External ceilings on the runs and calls of groups of handlers.
//!
//! Owns the ceilings in force. Whether a load is within them, and what follows, is decided elsewhere.

use crate::interface::{Ceiling, HandlerId};

/// Position of a ceiling in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CeilingId(usize);

/// How long the start intervals over a handler delay its next request.
#[derive(Debug, Default)]
pub(crate) struct StartDelay {
    pub(crate) seconds: f64,
    /// The ceiling that makes the delay.
    pub(crate) ceiling: Option<CeilingId>,
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
        self.ids_over(handler).map(|id| &self.0[id.0])
    }

    fn ids_over(&self, handler: HandlerId) -> impl Iterator<Item = CeilingId> {
        let ids = (0..self.0.len()).map(CeilingId);
        ids.filter(move |id| self.covers(*id, handler))
    }

    /// Whether a ceiling covers the handler.
    pub(crate) fn covers(&self, ceiling: CeilingId, handler: HandlerId) -> bool {
        self.0[ceiling.0].handlers.contains(&handler)
    }

    /// Counts queued requests, given by their handlers, under each ceiling.
    pub(crate) fn count(&self, handlers: impl Iterator<Item = HandlerId>) -> QueuedCounts {
        let mut counts = QueuedCounts(vec![0.0; self.0.len()]);
        for handler in handlers {
            self.add(&mut counts, handler);
        }
        counts
    }

    /// Counts one more queued request.
    pub(crate) fn add(&self, counts: &mut QueuedCounts, handler: HandlerId) {
        for id in self.ids_over(handler) {
            counts.0[id.0] += 1.0;
        }
    }

    /// Counts one queued request less.
    pub(crate) fn remove(&self, counts: &mut QueuedCounts, handler: HandlerId) {
        for id in self.ids_over(handler) {
            counts.0[id.0] -= 1.0;
        }
    }

    /// The longest delay that the ceilings over a handler make for the last of the queued requests.
    pub(crate) fn start_delay(&self, handler: HandlerId, queued: &QueuedCounts) -> StartDelay {
        let mut longest = StartDelay::default();
        for id in self.ids_over(handler) {
            let seconds = queued.0[id.0] * self.0[id.0].start_interval.as_secs_f64();
            if seconds > longest.seconds {
                longest = StartDelay {
                    seconds,
                    ceiling: Some(id),
                };
            }
        }
        longest
    }
}
