//! External ceilings on the runs and calls of groups of handlers.
//!
//! Stores the ceilings in force. Whether a load is within them, and what to do if not, is decided by the caller.

use crate::interface::{Ceiling, HandlerId};

/// Position of a ceiling in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CeilingId(usize);

/// How long the start intervals of a handler's ceilings delay its next request.
#[derive(Debug, Default)]
pub(crate) struct StartDelay {
    pub(crate) seconds: f64,
    /// The ceiling that causes the delay; `None` if there is no delay.
    pub(crate) ceiling: Option<CeilingId>,
}

/// Number of queued requests under each ceiling.
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

    /// Returns the ceilings that cover a handler.
    pub(crate) fn over(&self, handler: HandlerId) -> impl Iterator<Item = &Ceiling> {
        self.ids_over(handler).map(|id| &self.0[id.0])
    }

    fn ids_over(&self, handler: HandlerId) -> impl Iterator<Item = CeilingId> {
        let ids = (0..self.0.len()).map(CeilingId);
        ids.filter(move |id| self.covers(*id, handler))
    }

    /// Reports whether a ceiling covers the handler.
    pub(crate) fn covers(&self, ceiling: CeilingId, handler: HandlerId) -> bool {
        self.0[ceiling.0].handlers.contains(&handler)
    }

    /// Returns the number of queued requests under each ceiling; `handlers` has the handler of each queued request.
    pub(crate) fn count(&self, handlers: impl Iterator<Item = HandlerId>) -> QueuedCounts {
        let mut counts = QueuedCounts(vec![0.0; self.0.len()]);
        for handler in handlers {
            self.add(&mut counts, handler);
        }
        counts
    }

    /// Adds a queued request of this handler to the counts.
    pub(crate) fn add(&self, counts: &mut QueuedCounts, handler: HandlerId) {
        for id in self.ids_over(handler) {
            counts.0[id.0] += 1.0;
        }
    }

    /// Removes a queued request of this handler from the counts.
    pub(crate) fn remove(&self, counts: &mut QueuedCounts, handler: HandlerId) {
        for id in self.ids_over(handler) {
            counts.0[id.0] -= 1.0;
        }
    }

    /// Returns the longest delay that the ceilings of a handler cause for the last of the queued requests.
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
