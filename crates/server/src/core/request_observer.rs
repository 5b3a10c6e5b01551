//! Who follows each req in hand from its arrival to its end, beside the decisions: pools, and budgets of the
//! fleet. They hand ceilings over; they end nothing.

use madderbay::time::Timestamp;
use madderbay_concurrency::limit::Completion;
use madderbay_concurrency::{ConcurrencyLimiter, RequestStage};

pub trait RequestObserver {
    /// A req stands at another stage, or is new.
    fn set_stage(&mut self, now: Timestamp, id: u64, handler: usize, stage: RequestStage);
    /// This process was held up until now.
    fn process_stalled(&mut self, _now: Timestamp) {}
    /// Its call ended.
    fn call_finished(&mut self, now: Timestamp, id: u64, end: Completion);
    /// It goes on without its call.
    fn call_skipped(&mut self, now: Timestamp, id: u64);
    /// It is answered, and its run goes on.
    fn request_answered(&mut self, now: Timestamp, id: u64);
    /// It is over.
    fn request_finished(&mut self, now: Timestamp, id: u64);
}

impl RequestObserver for ConcurrencyLimiter {
    fn set_stage(&mut self, now: Timestamp, id: u64, handler: usize, stage: RequestStage) {
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
