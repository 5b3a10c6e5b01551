//! Stalls: what the ages of unfinished runs say of the server. Owns the measured pace; cancels nothing.

use super::*;

const USUAL_AGE: f64 = 1.5; // Mean age of runs, in mean runs, past which longer ones are expected (ours).
const PRIOR_AGES: f64 = 3.0; // Usual ages in the slowdown beside those seen: few runs say little (ours).
pub(super) const HUNG: f64 = 4.0; // Slowdown of a hung server (ours).

/// Mean ages of the runs on the cores, as ratios to the usual age, at least 1. Other parts only read these.
pub(super) struct StallDetector {
    pub(super) pace: f64,
    /// Damped by prior ages: what the server itself is judged by.
    pub(super) slowdown: f64,
    pub(super) last_completion: Timestamp,
}

impl Decider {
    /// The control loops need completions. Where none come though work runs, the age of the oldest run stands
    /// for one, and an idle handler's MRT drifts back. Harm: a long run cuts the budget.
    pub(super) fn detect_stalls(&mut self, now: Timestamp) {
        let (ages, usual) = (
            self.requests.ages_on_cores(now),
            USUAL_AGE * self.budget.mean_run,
        );
        let prior = PRIOR_AGES * usual;
        self.stalls.slowdown =
            ((ages.seconds + prior) / (usual * (ages.runs + PRIOR_AGES))).max(1.0);
        self.stalls.pace = (ages.seconds / (usual * ages.runs.max(1.0))).max(1.0);
        let oldest = self
            .requests
            .oldest_started()
            .map(|q| (q.handler, now - q.reached));
        if let Some((handler, age)) = oldest
            && now - self.stalls.last_completion > STALL_TIMEOUT
            && age.as_secs_f64() > self.budget.handlers[handler.index()].mrt
        {
            self.budget.complete(
                now,
                handler,
                age,
                self.queue.len() + self.requests.running(),
            );
        }
        let idle =
            HandlerId::first(self.handlers.len()).filter(|handler| self.requests.is_idle(*handler));
        idle.for_each(|handler| self.budget.relax_idle(handler));
    }

    /// Expected run time of a request at the present pace.
    pub(super) fn expected_run(&self, r: RequestSlot) -> Duration {
        let Request {
            handler, work_hint, ..
        } = self.requests[r];
        Duration::from_secs_f64(self.budget.expected_run(handler, work_hint) * self.stalls.pace)
    }

    /// Run time still expected of the runs in flight, in worker seconds: half a mean run each.
    pub(super) fn remaining_run_time(&self) -> f64 {
        self.requests.running() as f64 * self.budget.mean_run * self.stalls.pace * 0.5
    }
}
