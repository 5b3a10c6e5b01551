//! The steps that follow the expiry of a timer.

use super::Decider;
use super::unresponsive_runs::EndDecision;
use crate::interface::Actions;
use crate::request::Request;
use crate::slots::RequestSlot;
use crate::time::Timestamp;
use crate::timers::Timer;

impl Decider {
    /// Handles an expired timer. A timer that is no longer needed has no effect.
    pub(super) fn fire(&mut self, now: Timestamp, timer: Timer, out: &mut dyn Actions) {
        match timer {
            Timer::ExpireKey(key) => self.keys.expire(now, key),
            Timer::ForgetKey(key) => self.keys.forget(key),
            Timer::Answer(slot) => self.answer_due(now, slot, out),
            Timer::RetryCall(slot) => self.attempt_call_if_waiting(now, slot, out),
            Timer::CheckEnded(slot) => self.check_ended(now, slot, out),
        }
    }

    /// Answers a request whose answer is due: rejects it if it still waits for a start, and otherwise fails it if it is
    /// not settled.
    fn answer_due(&mut self, now: Timestamp, slot: RequestSlot, out: &mut dyn Actions) {
        let Some(request) = self.requests.get(slot) else {
            return;
        };
        if request.stage().awaits_start() {
            self.reject(now, slot, out);
        } else if !request.settled {
            self.fail(now, slot, out);
        }
    }

    /// Checks a run that nobody waits for and that should have ended. The run is abandoned or cancelled again; if it
    /// hangs at an upstream call, its place under the concurrency limit is released, though the engine may still hold
    /// it.
    fn check_ended(&mut self, now: Timestamp, slot: RequestSlot, out: &mut dyn Actions) {
        let is_unawaited = |request: &&Request| request.settled && request.has_started();
        if self.requests.get(slot).filter(is_unawaited).is_none() {
            return;
        }
        let watch = &mut self.requests[slot].end_watch;
        match self.unresponsive_runs.decide(watch) {
            EndDecision::Abandon => self.abandon_run(now, slot, out),
            EndDecision::Wait { is_overdue } if self.requests[slot].is_running() => {
                if is_overdue {
                    self.requests.set_overdue(slot);
                }
                self.cancel_settled(now, slot, out);
            }
            EndDecision::Wait { .. } => {
                self.abandon_call(now, slot);
                self.requests.release_run(slot);
                self.reschedule_end_check(now, slot);
            }
        }
    }
}
