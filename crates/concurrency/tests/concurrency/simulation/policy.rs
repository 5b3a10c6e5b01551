//! Policies that limit the number of calls in flight.

use madderbay::time::Timestamp;
use madderbay_concurrency::limit::{AdaptiveLimit, Completion, Permit};

/// A call whose caller learns of its end in this step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedCall {
    /// Permit that the policy returned at the start of the call, if any.
    pub(crate) permit: Option<Permit>,
    pub(crate) completion: Completion,
    pub(crate) latency_ms: u64,
}

/// A policy that limits the number of calls in flight.
pub(crate) trait LimitPolicy {
    fn limit(&self) -> f64;
    fn allowed_in_flight(&self) -> usize {
        self.limit() as usize
    }
    fn started(&mut self, _now: Timestamp) -> Option<Permit> {
        None
    }
    fn saturated(&mut self) {}
    /// Registers the end of a call, which `in_flight` still includes.
    fn completed(&mut self, _now: Timestamp, _call: &EndedCall, _in_flight: usize) {}
    fn tick(&mut self, _now: Timestamp) {}
}

/// A constant limit.
pub(crate) struct FixedLimit(pub(crate) f64);

impl LimitPolicy for FixedLimit {
    fn limit(&self) -> f64 {
        self.0
    }
}

impl LimitPolicy for AdaptiveLimit {
    fn limit(&self) -> f64 {
        AdaptiveLimit::limit(self)
    }
    fn allowed_in_flight(&self) -> usize {
        AdaptiveLimit::allowed_in_flight(self)
    }
    fn started(&mut self, now: Timestamp) -> Option<Permit> {
        Some(self.acquire(now))
    }
    fn saturated(&mut self) {
        self.record_saturation();
    }
    fn completed(&mut self, now: Timestamp, call: &EndedCall, _in_flight: usize) {
        let permit = call.permit.expect("every call has a permit");
        self.release(now, permit, call.completion, false);
    }
    fn tick(&mut self, now: Timestamp) {
        AdaptiveLimit::tick(self, now);
    }
}
