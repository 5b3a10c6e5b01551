//! The steps that follow a timer.

use super::Decider;
use crate::interface::Actions;
use crate::request::Stage;
use crate::slots::RequestSlot;
use crate::time::Timestamp;
use crate::timers::Timer;

impl Decider {
    /// A timer has expired. One that has lost its purpose has no effect.
    pub(super) fn fire(&mut self, now: Timestamp, timer: Timer, out: &mut dyn Actions) {
        match timer {
            Timer::ExpireKey(key) => self.keys.expire(now, key),
            Timer::ForgetKey(key) => self.keys.forget(key),
            Timer::Answer(slot) => self.answer_due(now, slot, out),
            Timer::RetryCall(slot) => self.attempt_call_if_waiting(now, slot, out),
            Timer::CheckEnded(slot) => self.check_ended(now, slot, out),
        }
    }

    /// The answer of a request has to leave.
    fn answer_due(&mut self, now: Timestamp, slot: RequestSlot, out: &mut dyn Actions) {
        let Some(request) = self.requests.get(slot) else {
            return;
        };
        if request.stage().awaits_start() {
            self.reject(now, slot, out);
        } else if !request.settled {
            self.fail(slot, out);
        }
    }

    /// A run that nobody waits for should have ended: it is cancelled once more, or, where it hangs at a call, its place
    /// is given to others, though the engine may keep it.
    fn check_ended(&mut self, now: Timestamp, slot: RequestSlot, out: &mut dyn Actions) {
        let Some(request) = self.requests.get(slot).filter(|request| request.settled) else {
            return;
        };
        match request.stage() {
            Stage::Running => self.cancel_settled(slot, out),
            Stage::AtCall | Stage::Calling => {
                self.abandon_call(now, slot);
                self.requests.release_run(slot);
            }
            Stage::Queued | Stage::AwaitingOtherStart | Stage::Joined => {}
        }
    }
}
