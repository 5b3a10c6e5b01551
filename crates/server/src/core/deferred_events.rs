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
    CallNotMade(u64),
    /// The run of a request was not sent: no write-ahead record can be made of it.
    RunNotSent(u64),
}

/// The events that wait; of each kind in the order in which they arose.
#[derive(Debug, Default)]
pub(super) struct DeferredEvents {
    ended: VecDeque<(u64, Outcome)>,
    calls_not_made: VecDeque<u64>,
    runs_not_sent: VecDeque<u64>,
}

impl DeferredEvents {
    /// A request was answered and removed without a run of its own.
    pub(super) fn ended(&mut self, request: u64, outcome: Outcome) {
        self.ended.push_back((request, outcome));
    }

    /// The upstream call of a request was not made.
    pub(super) fn call_not_made(&mut self, request: u64) {
        self.calls_not_made.push_back(request);
    }

    /// The run of a request was not sent.
    pub(super) fn run_not_sent(&mut self, request: u64) {
        self.runs_not_sent.push_back(request);
    }

    /// The next event: ended requests first, then calls, then runs.
    pub(super) fn pop(&mut self) -> Option<DeferredEvent> {
        if let Some((request, outcome)) = self.ended.pop_front() {
            return Some(DeferredEvent::Ended { request, outcome });
        }
        if let Some(request) = self.calls_not_made.pop_front() {
            return Some(DeferredEvent::CallNotMade(request));
        }
        self.runs_not_sent
            .pop_front()
            .map(DeferredEvent::RunNotSent)
    }
}
