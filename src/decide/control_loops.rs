//! The steps of the control loops: how completions and ticks change the budget, the limits and the admitted fraction.

use super::Decider;
use super::budget_controller::Completion;
use crate::interface::{Gauges, HandlerId, Outcome};
use crate::request::Request;
use crate::slots::RequestSlot;
use crate::time::{Duration, Timestamp};

/// Time between two ticks from which the process counts as paused. Latencies measured over a pause say nothing about
/// the load.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(40);

impl Decider {
    /// Passes a run that answered its request to the control loops.
    pub(super) fn record_run(
        &mut self,
        now: Timestamp,
        slot: RequestSlot,
        outcome: Outcome,
        spent: Duration,
    ) {
        let Request {
            handler,
            work_hint,
            reached,
            settled,
            call_skipped,
            ..
        } = self.requests[slot];
        let counts_as_response = self.requests[slot].has_started() && !settled;
        if !counts_as_response || !matches!(outcome, Outcome::Completed | Outcome::Failed) {
            return;
        }
        self.admission.record_run(outcome == Outcome::Failed);
        self.stalls.on_completion(now);
        if outcome == Outcome::Failed {
            return;
        }
        if !call_skipped {
            self.run_times.record(handler, work_hint, spent);
        }
        self.record_completion(now, handler, now - reached);
    }

    /// Updates the budget by a completion with this response time.
    fn record_completion(&mut self, now: Timestamp, handler: HandlerId, response: Duration) {
        let completion = Completion {
            handler,
            response,
            pending: self.pending(),
        };
        self.budget.on_completion(now, completion, &self.run_times);
    }

    /// Updates the limits on runs and calls at a tick.
    pub(super) fn update_limits(&mut self, now: Timestamp, gauges: &Gauges) {
        let running = self.requests.running();
        // Ceilings take effect before the limit does: if they delay a request, the limit may be the cause.
        let at_limit = self.concurrency.is_reached(running) || !self.ceilings.is_empty();
        let delays_requests = at_limit && !self.queue.is_empty();
        self.unresponsive_runs.on_tick(gauges.run_queue);
        let run_queue = gauges.run_queue.unwrap_or(running as f64);
        self.concurrency.on_tick(now, run_queue, delays_requests);
        self.calls.update(now);
        self.admission.decay_failure_rate();
        self.connections.on_tick(now);
    }

    /// Updates the control loops on latency at a tick, unless the process was paused.
    pub(super) fn update_control_loops(&mut self, now: Timestamp, elapsed: Duration) {
        if elapsed >= PAUSE_THRESHOLD {
            return;
        }
        self.detect_stalls(now);
        // While cores are idle, latency has another cause, most often the upstream, and rejecting arrivals does not
        // help.
        let is_budget_at_minimum = self.budget.is_at_minimum(&self.run_times);
        let rejecting_helps = is_budget_at_minimum && self.concurrency.are_cores_busy();
        let latency_excess = self.budget.worst_latency_ratio() - 1.0;
        self.admission
            .update(elapsed, latency_excess, rejecting_helps);
    }

    /// Detects stalls from the ages of the runs. The control loops need completions: if none occur although requests
    /// run, the age of the oldest run is counted as one, so a long run may cut the budget. The MRT of an idle handler
    /// drifts back.
    fn detect_stalls(&mut self, now: Timestamp) {
        let ages = self.requests.ages_on_cores(now);
        self.stalls.measure(ages, self.run_times.mean_secs());
        if self.stalls.is_stalled(now) {
            self.record_oldest_run_age(now);
        }
        for handler in HandlerId::first(self.handlers.len()) {
            if self.requests.is_idle(handler) {
                self.relax_idle_handler(handler);
            }
        }
    }

    /// Counts the age of the oldest run as a response time if it is longer than the mean response time.
    fn record_oldest_run_age(&mut self, now: Timestamp) {
        let Some(oldest) = self.requests.oldest_started() else {
            return;
        };
        let handler = oldest.handler;
        let age = now - oldest.reached;
        if age.as_secs_f64() > self.budget.mrt_secs(handler) {
            self.record_completion(now, handler, age);
        }
    }

    /// Lets the measurements of an idle handler drift back. Otherwise, a handler whose requests are all rejected would
    /// never recover from a cut.
    fn relax_idle_handler(&mut self, handler: HandlerId) {
        self.budget.relax_idle(handler, &self.run_times);
        let objective_secs = self.budget.objective_secs(handler);
        self.run_times.limit_mean(handler, objective_secs);
    }
}
