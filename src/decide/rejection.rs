//! Rejections: when to retry, and whether a retry elsewhere is of use. Owns the fraction of retries.

use super::*;

const RETRY_WEIGHT: f64 = 0.05; // Of the newest arrival in the fraction of retries (ours).
const FINAL_FROM: f64 = 0.05; // Fraction of retries from which rejections are final (ours).
const FINAL_GAIN: f64 = 6.0; // How steeply the probability of a final rejection grows from there (ours).
const SLOW_ALONE: f64 = 1.6; // Mean run, in best means and per crowding, of a server slow by itself (ours).
const RETRY_AFTER_WAITS: f64 = 2.0; // Advertised Retry-After, in waits expected at the queue's end (ours).

/// What clients may be advised, and how many arrivals are retries. Other parts only read that fraction.
pub(super) struct RejectionPolicy {
    max_retry_after: Duration,
    marks_retries: bool,
    pub(super) retry_fraction: f64,
}

impl RejectionPolicy {
    pub(super) fn new(downstream: &Downstream) -> RejectionPolicy {
        let Downstream {
            max_retry_after,
            marks_retries,
            ..
        } = *downstream;
        RejectionPolicy {
            max_retry_after,
            marks_retries,
            retry_fraction: 0.0,
        }
    }

    /// Counts an arrival by its mark; where clients set none, a rejection or a start here stands in for it.
    pub(super) fn sample(&mut self, is_mark: bool, is_retry: bool) {
        if is_mark == self.marks_retries {
            self.retry_fraction += RETRY_WEIGHT * (f64::from(is_retry) - self.retry_fraction);
        }
    }
}

impl Decider {
    /// Final answer of a request that never started: not run, may run elsewhere.
    pub(super) fn reject(&mut self, now: Timestamp, r: RequestSlot, out: &mut dyn Actions) {
        let queued_work = self
            .queue
            .iter()
            .map(|q| self.expected_run(q).as_secs_f64())
            .sum::<f64>();
        let queued = self
            .ceilings
            .count(self.queue.iter().map(|q| self.requests[q].handler));
        let delay = self.ceilings.start_delay(self.requests[r].handler, &queued);
        let wait =
            ((queued_work + self.remaining_run_time()) / self.concurrency.limit).max(delay.seconds);
        let retry_after =
            Duration::from_secs_f64(RETRY_AFTER_WAITS * wait * (0.5 + self.rng.rand_float()));
        let is_final = self.retry_is_useless(now, r);
        out.reject(
            self.requests[r].id,
            retry_after.min(self.rejections.max_retry_after),
            is_final,
        );
        self.rejections.sample(false, true);
        self.withdraw(now, r, true, out);
    }

    /// Whether a retry elsewhere is of no use: the objective has passed, or many retries show that others
    /// reject too. Unmarked, those at a server slow by itself prove nothing. One that fails or drains: never.
    fn retry_is_useless(&mut self, now: Timestamp, r: RequestSlot) -> bool {
        let crowding = (self.concurrency.run_queue / self.budget.cores).max(1.0);
        let slow = self.stalls.slowdown * self.budget.mean_run
            > SLOW_ALONE * crowding * self.budget.best_run;
        let alone = self.concurrency.is_warming_up(now) || slow;
        let likely =
            self.rng.rand_float() < FINAL_GAIN * (self.rejections.retry_fraction - FINAL_FROM);
        let sends_on = self.admission.is_failing() || self.drain.is_some();
        let others_reject = likely && (self.rejections.marks_retries || !alone);
        !sends_on && (now > self.requests[r].objective || others_reject)
    }
}
