//! Events that occur while the decision module acts, which are kept until it has returned.
//!
//! The decision module can't be called from within one of its own actions, so the event loop
//! processes these events afterwards. [`DeferredEvents`] only keeps them in order.

use madderbay::interface::Outcome;
use std::collections::VecDeque;

/// An event that is processed after the decision module has returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DeferredEvent {
    /// A request was answered and removed without a run of its own.
    Ended { request: u64, outcome: Outcome },
    /// The upstream call of a request was not made: a quota or the retry budget is used up.
    CallNotMade { request: u64 },
    /// The run of a request was not sent: no write-ahead record of it can be made.
    RunNotSent { request: u64 },
    /// The run of a request that nobody waits for is given up, because the engine does not end it.
    RunAbandoned { request: u64 },
}

/// The events that wait to be processed, those of each kind in the order in which they occurred.
#[derive(Debug, Default)]
pub(super) struct DeferredEvents {
    ended: VecDeque<DeferredEvent>,
    calls_not_made: VecDeque<DeferredEvent>,
    runs_not_sent: VecDeque<DeferredEvent>,
    runs_abandoned: VecDeque<DeferredEvent>,
}

impl DeferredEvents {
    /// Adds an event: a request was answered and removed without a run of its own.
    pub(super) fn ended(&mut self, request: u64, outcome: Outcome) {
        self.ended
            .push_back(DeferredEvent::Ended { request, outcome });
    }

    /// Adds an event: the upstream call of a request was not made.
    pub(super) fn call_not_made(&mut self, request: u64) {
        self.calls_not_made
            .push_back(DeferredEvent::CallNotMade { request });
    }

    /// Adds an event: the run of a request was not sent.
    pub(super) fn run_not_sent(&mut self, request: u64) {
        self.runs_not_sent
            .push_back(DeferredEvent::RunNotSent { request });
    }

    /// Adds an event: the run of a request is given up.
    pub(super) fn run_abandoned(&mut self, request: u64) {
        self.runs_abandoned
            .push_back(DeferredEvent::RunAbandoned { request });
    }

    /// Removes and returns the next event: ended requests first, then calls, then runs.
    pub(super) fn pop(&mut self) -> Option<DeferredEvent> {
        let ended = self.ended.pop_front();
        ended
            .or_else(|| self.calls_not_made.pop_front())
            .or_else(|| self.runs_not_sent.pop_front())
            .or_else(|| self.runs_abandoned.pop_front())
    }
}

#[cfg(test)]
mod tests;
