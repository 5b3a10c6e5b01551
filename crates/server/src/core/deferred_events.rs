//! Events that arise while the decision module acts, kept until it has returned.
//!
//! Owns: their order. The module can't be called from within one of its own actions, so the event loop hands
//! them over afterwards. Never handles an event itself.

use madderbay::interface::Outcome;
use std::collections::VecDeque;

/// One event for the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DeferredEvent {
    /// A request was answered and removed without a run of its own.
    Ended { request: u64, outcome: Outcome },
    /// The upstream call of a request was not made: a quota or the retry budget is used up.
    CallNotMade { request: u64 },
    /// The run of a request was not sent: no write-ahead record can be made of it.
    RunNotSent { request: u64 },
    /// The run of a request that nobody waits for is given up: the engine does not end it.
    RunAbandoned { request: u64 },
}

/// The events that wait; of each kind in the order in which they arose.
#[derive(Debug, Default)]
pub(super) struct DeferredEvents {
    ended: VecDeque<DeferredEvent>,
    calls_not_made: VecDeque<DeferredEvent>,
    runs_not_sent: VecDeque<DeferredEvent>,
    runs_abandoned: VecDeque<DeferredEvent>,
}

impl DeferredEvents {
    /// A request was answered and removed without a run of its own.
    pub(super) fn ended(&mut self, request: u64, outcome: Outcome) {
        self.ended
            .push_back(DeferredEvent::Ended { request, outcome });
    }

    /// The upstream call of a request was not made.
    pub(super) fn call_not_made(&mut self, request: u64) {
        self.calls_not_made
            .push_back(DeferredEvent::CallNotMade { request });
    }

    /// The run of a request was not sent.
    pub(super) fn run_not_sent(&mut self, request: u64) {
        self.runs_not_sent
            .push_back(DeferredEvent::RunNotSent { request });
    }

    /// The run of a request is given up.
    pub(super) fn run_abandoned(&mut self, request: u64) {
        self.runs_abandoned
            .push_back(DeferredEvent::RunAbandoned { request });
    }

    /// The next event: ended requests first, then calls, then runs.
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
