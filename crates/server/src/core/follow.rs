//! Who follows each req in hand from its arrival to its end, beside the decisions: pools, and budgets of the
//! fleet. They hand ceilings over; they end nothing.

use madderbay::time::Timestamp;
use madderbay_concurrency::limit::End;
use madderbay_concurrency::{Pools, Stage};

pub trait Follows {
    /// A req stands at another stage, or is new.
    fn stage(&mut self, now: Timestamp, id: u64, handler: usize, stage: Stage);
    /// This process was held up until now.
    fn held_up(&mut self, _now: Timestamp) {}
    /// Its call ended.
    fn call_over(&mut self, now: Timestamp, id: u64, end: End);
    /// It goes on without its call.
    fn skipped(&mut self, now: Timestamp, id: u64);
    /// It is answered, and its run goes on.
    fn answered(&mut self, now: Timestamp, id: u64);
    /// It is over.
    fn over(&mut self, now: Timestamp, id: u64);
}

impl Follows for Pools {
    fn stage(&mut self, now: Timestamp, id: u64, handler: usize, stage: Stage) {
        Pools::stage(self, now, id, handler, stage);
    }

    fn held_up(&mut self, now: Timestamp) {
        Pools::held_up(self, now);
    }

    fn call_over(&mut self, now: Timestamp, id: u64, end: End) {
        Pools::call_over(self, now, id, end);
    }

    fn skipped(&mut self, now: Timestamp, id: u64) {
        Pools::skipped(self, now, id);
    }

    fn answered(&mut self, now: Timestamp, id: u64) {
        Pools::answered(self, now, id);
    }

    fn over(&mut self, now: Timestamp, id: u64) {
        Pools::over(self, now, id);
    }
}
