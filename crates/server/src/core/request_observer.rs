//! Observers of the requests in flight: the concurrency limits, and the quotas of the fleet.
//!
//! An observer is notified of every stage of every request, from its arrival to its end. It never
//! ends a request; its limits reach the decision module as ceilings.

use madderbay::interface::HandlerId;
use madderbay::time::Timestamp;
use madderbay_concurrency::limit::Completion;
use madderbay_concurrency::{ConcurrencyLimiter, RequestStage};

/// Observes requests in flight. Requests are identified by their ids, handlers by their indices.
pub(super) trait RequestObserver {
    /// Called when a request is new or has reached another stage.
    fn set_stage(&mut self, now: Timestamp, id: u64, handler: HandlerId, stage: RequestStage);
    /// Called when this process was stalled until now.
    fn process_stalled(&mut self, _now: Timestamp) {}
    /// Called when the upstream call of a request has ended.
    fn call_finished(&mut self, now: Timestamp, id: u64, end: Completion);
    /// Called when the run of a request continues without its call.
    fn call_skipped(&mut self, now: Timestamp, id: u64);
    /// Called when a request was answered and its run continues.
    fn request_answered(&mut self, now: Timestamp, id: u64);
    /// Called when a request has ended or needs no run of its own.
    fn request_finished(&mut self, now: Timestamp, id: u64);
}

impl RequestObserver for ConcurrencyLimiter {
    fn set_stage(&mut self, now: Timestamp, id: u64, handler: HandlerId, stage: RequestStage) {
        ConcurrencyLimiter::set_stage(self, now, id, handler, stage);
    }

    fn process_stalled(&mut self, now: Timestamp) {
        ConcurrencyLimiter::process_stalled(self, now);
    }

    fn call_finished(&mut self, now: Timestamp, id: u64, end: Completion) {
        ConcurrencyLimiter::call_finished(self, now, id, end);
    }

    fn call_skipped(&mut self, now: Timestamp, id: u64) {
        ConcurrencyLimiter::call_skipped(self, now, id);
    }

    fn request_answered(&mut self, now: Timestamp, id: u64) {
        ConcurrencyLimiter::request_answered(self, now, id);
    }

    fn request_finished(&mut self, now: Timestamp, id: u64) {
        ConcurrencyLimiter::request_finished(self, now, id);
    }
}
