//! The steps that process an arriving request: its deadlines, its idempotency key, its weight, admission, and its place
//! in the queue.

use super::Decider;
use super::admission::{AdmissionDecision, AdmissionInputs};
use super::deadlines::{RequestDeadlines, answer_by};
use super::drain::Drain;
use super::request_queue::QueueClass;
use crate::idempotency::AttemptRole;
use crate::interface::{Actions, Arrival, RetrySafety};
use crate::request::{Request, Stage};
use crate::slots::{KeySlot, RequestSlot};
use crate::time::{Duration, Timestamp};
use crate::timers::Timer;

/// Time by which a stored idempotency key outlasts its window, to cover the time that requests take to reach this
/// server.
const KEY_LIFETIME_MARGIN: Duration = Duration::from_millis(50);

impl Decider {
    /// Adds a request that has been read, with its deadlines, and sets the timer for its answer.
    pub(super) fn add_request(&mut self, now: Timestamp, arrival: &Arrival) -> RequestSlot {
        let RequestDeadlines {
            reached,
            objective,
            deadline,
        } = RequestDeadlines::new(
            now,
            arrival,
            &self.handlers[arrival.handler.index()],
            &self.rules,
            self.objective_fraction,
            self.drain.as_ref().map(Drain::latest_deadline),
        );
        let request = Request::new(arrival, reached, objective, deadline);
        let slot = self.requests.add(request);
        self.timers.set(answer_by(deadline), Timer::Answer(slot));
        slot
    }

    /// Processes an arriving request. Of the attempts of a keyed request, only one may run; the others wait for its
    /// start or join its run. Requests without an idempotency key go directly to admission.
    pub(super) fn process_arrival(
        &mut self,
        now: Timestamp,
        slot: RequestSlot,
        out: &mut dyn Actions,
    ) {
        if self.handler_of(slot).retry_safety != RetrySafety::Keyed {
            return self.admit_or_reject(now, slot, out);
        }
        let Request { id, retry_of, .. } = self.requests[slot];
        let key = self.keys.bind(id, retry_of);
        self.requests[slot].key = Some(key);
        let has_not_ended = |other| self.requests.get(other).is_some();
        match self.keys.enter(key, slot, has_not_ended) {
            AttemptRole::Join => self.join(now, slot, out),
            AttemptRole::AwaitStart => self.requests.wait(slot, Stage::AwaitingOtherStart),
            AttemptRole::Run => self.process_keyed_run(now, key, slot, out),
        }
    }

    /// Stores the idempotency key of the attempt that is to run, then admits or rejects the attempt. A run whose key
    /// cannot be stored must not start, since a retry of it would be taken for a new request; the attempt is rejected.
    fn process_keyed_run(
        &mut self,
        now: Timestamp,
        key: KeySlot,
        slot: RequestSlot,
        out: &mut dyn Actions,
    ) {
        let used_kb = self.used_memory_kb();
        if self.memory.may_store_key(used_kb, self.keys.entry_kb()) {
            self.store_key(now, key, slot, out);
            self.admit_or_reject(now, slot, out);
        } else {
            self.reject(now, slot, out);
        }
    }

    /// Stores an attempt's idempotency key until its window, counted from the attempt's arrival, has passed.
    pub(super) fn store_key(
        &mut self,
        now: Timestamp,
        key: KeySlot,
        slot: RequestSlot,
        out: &mut dyn Actions,
    ) {
        let window = self.handler_of(slot).idempotency_window;
        let until = self.requests[slot].reached + window + KEY_LIFETIME_MARGIN;
        self.keys.store(key, until);
        self.timers.set(until, Timer::ExpireKey(key));
        out.store_key(self.requests[slot].id, until - now);
    }

    /// Lets an attempt share the answer of the run that the attempt named in `retry_of` belongs to. An attempt that
    /// names none fails.
    pub(super) fn join(&mut self, now: Timestamp, slot: RequestSlot, out: &mut dyn Actions) {
        self.requests.wait(slot, Stage::Joined);
        let Request { id, retry_of, .. } = self.requests[slot];
        if retry_of == 0 {
            self.fail(now, slot, out);
        } else {
            out.join_attempt(id);
        }
    }

    /// Queues a request that may run, or rejects it: because it arrived after the grace period of a graceful shutdown,
    /// or by the decision of admission.
    pub(super) fn admit_or_reject(
        &mut self,
        now: Timestamp,
        slot: RequestSlot,
        out: &mut dyn Actions,
    ) {
        if self.arrived_after_grace_period(slot) {
            return self.reject(now, slot, out);
        }
        self.requests[slot].weight = self.weigh(now, slot);
        match self.admission_decision(slot) {
            AdmissionDecision::Admit => self.enqueue(slot),
            AdmissionDecision::Reject => self.reject(now, slot, out),
        }
    }

    fn arrived_after_grace_period(&self, slot: RequestSlot) -> bool {
        let reached = self.requests[slot].reached;
        let grace = self.rules.drain_grace;
        let drain = self.drain.as_ref();
        drain.is_some_and(|drain| drain.is_past_grace_period(reached, grace))
    }

    /// Returns the priority weight of a request, and counts the request in its tenant's rate.
    fn weigh(&mut self, now: Timestamp, slot: RequestSlot) -> f64 {
        let Request {
            handler, tenant, ..
        } = self.requests[slot];
        let weight = self.handler_of(slot).weight;
        let relative_work = self.run_times.mean_secs_of(handler) / self.run_times.mean_secs();
        self.tenants.weigh(now, tenant, weight, relative_work)
    }

    fn admission_decision(&mut self, slot: RequestSlot) -> AdmissionDecision {
        let inputs = AdmissionInputs {
            weight: self.requests[slot].weight,
            is_idempotent: self.handler_of(slot).is_idempotent(),
            is_server_idle: self.requests.is_idle_except_overdue(),
        };
        self.admission.decide(inputs, &mut self.random)
    }

    /// Queues a request by its latest start, separating long requests from short ones.
    fn enqueue(&mut self, slot: RequestSlot) {
        let run = self.expected_run(slot);
        let latest_start = self.requests[slot].objective.saturating_sub(run);
        let class = if run.as_secs_f64() > self.run_times.mean_secs() {
            QueueClass::Long
        } else {
            QueueClass::Short
        };
        self.queue.insert(slot, latest_start, class);
    }
}
