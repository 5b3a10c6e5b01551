//! Who follows each request in flight from its arrival to its end: concurrency limits, and quotas of the fleet.
//!
//! An observer is given every stage of every request. It never ends a request; what it finds reaches the
//! decision module as ceilings.

use madderbay::interface::HandlerId;
use madderbay::time::Timestamp;
use madderbay_concurrency::limit::Completion;
use madderbay_concurrency::{ConcurrencyLimiter, RequestStage};

/// Follows requests in flight. Requests are named by their ids, handlers by their indices.
pub(super) trait RequestObserver {
    /// A request is new or has reached another stage.
    fn set_stage(&mut self, now: Timestamp, id: u64, handler: HandlerId, stage: RequestStage);
    /// This process was stalled until now.
    fn process_stalled(&mut self, _now: Timestamp) {}
    /// The upstream call of a request ended.
    fn call_finished(&mut self, now: Timestamp, id: u64, end: Completion);
    /// The run of a request goes on without its call.
    fn call_skipped(&mut self, now: Timestamp, id: u64);
    /// A request is answered, and its run goes on.
    fn request_answered(&mut self, now: Timestamp, id: u64);
    /// A request is over, or needs no run of its own.
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
