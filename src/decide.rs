//! Every decision of madderbay. One `Decider` makes those of one server incarnation: it is given each event
//! and, after a batch, `settle`; its decisions go out through `Actions`. A request passes
//! `ARRIVAL_STAGES`, `start_queued` and its calls; its outcome passes them in reverse in `on_run_ended`.
//! Each part under `decide/` owns its state. Nothing here reads a clock or a socket.
#![allow(
    clippy::wildcard_imports,
    reason = "the parts share these imports: their lines are limited"
)]

mod admission;
mod budget_controller;
mod concurrency_limit;
mod idempotent_attempts;
mod idle_connections;
mod load_report;
mod memory_guard;
mod rejection;
mod request_queue;
mod stall_detection;
mod tenant_quota;
mod upstream_calls;

use crate::ceilings::CeilingTable;
use crate::estimators::{
    Average, EventRate, ExpiringCount, LeastSquares, Ranking, RecentClients, Slope,
};
use crate::idempotency::{IdempotencyTable, KeySlot, Role};
use crate::interface::*;
use crate::request::{Request, RequestSlot, RequestTable, Stage};
use crate::time::{Duration, Timestamp};
use crate::timers::{Timer, Timers};
use std::ops::ControlFlow::{self, Break, Continue};

/// Time before its deadline at which an answer leaves: three ticks.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(30);
const STALL_TIMEOUT: Duration = Duration::from_millis(300); // Without a completion or cancellation (ours).
const RUN_TIME_GUESS: f64 = 0.1; // First guess of a run or call time, in latency objectives (ours).
const SAMPLE_WEIGHT: f64 = 0.03; // Of the newest run or arrival in a mean: about the last 30 (ours).
const BEST_DRIFT: f64 = 1.0005; // Rise of a best mean per sample: a lasting change becomes the best (ours).
const MAX_ERROR: f64 = 2.0; // Per control step, in objectives: one late answer must not empty B (ours).
const INNER_TIER_FRACTION: f64 = 0.4; // Of the objective, for a tier behind another (ours).
const TICK: Duration = Duration::from_millis(10); // Of the one timer: finer than any answer's slack (ours).
const PAUSE: Duration = Duration::from_millis(40); // A later tick was held up by a pause (ours).
const CALL_END_TIMEOUT: Duration = Duration::from_millis(2_000); // Of answered runs at a call (ours).

/// `Continue` passes a request on to the next stage; `Break` queues it or ends it here.
type ArrivalStage = fn(&mut Decider, Timestamp, RequestSlot, &mut dyn Actions) -> ControlFlow<()>;

/// The stages that an arriving request passes, in order.
const ARRIVAL_STAGES: [ArrivalStage; 5] = [
    Decider::dedup,
    Decider::reject_draining,
    Decider::weigh,
    Decider::admit,
    Decider::enqueue,
];

/// A graceful shutdown: when it began, and when the process stops.
struct Drain {
    since: Timestamp,
    stop: Timestamp,
}

/// The decisions of one server incarnation.
pub struct Decider {
    rng: oorandom::Rand64,
    last_tick: Timestamp,
    handlers: Vec<Handler>,
    cancellation: Cancellation,
    rules: Rules,
    objective_fraction: f64,
    weight_by_work: bool,
    healthy: bool,
    drain: Option<Drain>,
    requests: RequestTable,
    keys: IdempotencyTable,
    timers: Timers,
    budget: budget_controller::BudgetController,
    admission: admission::AdmissionControl,
    queue: request_queue::RequestQueue,
    concurrency: concurrency_limit::ConcurrencyLimit,
    memory_kb: f64,
    calls: upstream_calls::UpstreamCalls,
    ceilings: CeilingTable,
    connections: idle_connections::IdleConnections,
    tenants: tenant_quota::TenantQuotas,
    stalls: stall_detection::StallDetector,
    rejections: rejection::RejectionPolicy,
    load_report: load_report::LoadReporter,
}

/// Makes a [`Decider`]: each setting goes to the parts that use it. Those not set have no effect.
pub struct DeciderBuilder(Decider);

impl DeciderBuilder {
    /// Sets the tenants and their fleet-wide rates; without them requests have their handler's weight.
    pub fn tenants(mut self, tenants: &[Tenant], position: &FleetPosition) -> DeciderBuilder {
        self.0.tenants = tenant_quota::TenantQuotas::new(self.0.last_tick, tenants, position);
        self
    }

    /// Sets what the server calls; without it nothing limits calls.
    pub fn upstream(mut self, upstream: &Upstream) -> DeciderBuilder {
        self.0.calls.upstream = upstream.clone();
        self
    }

    /// Sets what the clients understand; without it they are given no advice.
    pub fn downstream(mut self, downstream: &Downstream) -> DeciderBuilder {
        self.0.connections = idle_connections::IdleConnections::new(downstream.max_idle);
        self.0.rejections = rejection::RejectionPolicy::new(downstream);
        self.0.load_report = load_report::LoadReporter::new(self.0.last_tick, downstream);
        self
    }

    /// Returns the finished `Decider`.
    pub fn build(self) -> Decider {
        self.0
    }
}

impl Decider {
    /// Begins a `Decider` for an incarnation that starts now. Equal seeds and events give equal decisions.
    pub fn builder(
        now: Timestamp,
        seed: u64,
        machine: &Machine,
        handlers: &[Handler],
        position: &FleetPosition,
        rules: &Rules,
    ) -> DeciderBuilder {
        let fraction = if position.tier == 0 {
            1.0
        } else {
            INNER_TIER_FRACTION
        };
        let objectives = handlers.iter().map(|h| h.latency_objective.as_secs_f64());
        let call_guess = objectives.fold(f64::MAX, f64::min) * fraction * RUN_TIME_GUESS;
        let mut rng = oorandom::Rand64::new(u128::from(seed));
        let downstream = Downstream::default();
        DeciderBuilder(Decider {
            calls: upstream_calls::UpstreamCalls::new(now, call_guess, rng.rand_float()),
            rng,
            last_tick: now,
            handlers: handlers.to_vec(),
            cancellation: machine.cancellation,
            rules: rules.clone(),
            objective_fraction: fraction,
            weight_by_work: position.weight_by_work,
            healthy: true,
            drain: None,
            requests: RequestTable::new(handlers.len(), machine.running_memory_factor),
            keys: IdempotencyTable::new(machine.key_memory_kb),
            timers: Timers::default(),
            budget: budget_controller::BudgetController::new(
                now,
                machine.cores,
                handlers,
                fraction,
            ),
            admission: admission::AdmissionControl::new(),
            queue: request_queue::RequestQueue::default(),
            concurrency: concurrency_limit::ConcurrencyLimit::new(now, machine),
            memory_kb: machine.memory_kb,
            ceilings: CeilingTable::default(),
            connections: idle_connections::IdleConnections::new(downstream.max_idle),
            tenants: tenant_quota::TenantQuotas::new(now, &[], position),
            stalls: stall_detection::StallDetector {
                pace: 1.0,
                slowdown: 1.0,
                last_completion: now,
            },
            rejections: rejection::RejectionPolicy::new(&downstream),
            load_report: load_report::LoadReporter::new(now, &downstream),
        })
    }

    /// Whether the request of this identifier has not ended.
    pub fn contains(&self, id: u64) -> bool {
        self.requests.find(id, |_| true).is_some()
    }

    /// The state of the control loops.
    pub fn status(&self) -> Status {
        let (budget_seconds, concurrency_limit) = (self.budget.budget, self.concurrency.limit);
        let (admitted_fraction, clients) =
            (self.admission.admitted, self.connections.clients.count());
        Status {
            budget_seconds,
            admitted_fraction,
            concurrency_limit,
            clients,
        }
    }

    /// Replaces the ceilings on groups of handlers. They bind starts and calls, and delay queued requests.
    pub fn set_ceilings(&mut self, ceilings: &[Ceiling]) {
        self.ceilings.replace(ceilings);
        self.calls.has_ceilings = !ceilings.is_empty();
    }

    /// The incarnation begins. Health checks are answered from a stored value: each real one costs work.
    pub fn on_start(&mut self, out: &mut dyn Actions) {
        out.set_health(true);
        out.set_timer(TICK);
        self.report_initial_load(out);
    }

    /// A request has been read.
    pub fn on_arrival(&mut self, now: Timestamp, arrival: &Arrival, out: &mut dyn Actions) {
        self.rejections.sample(true, arrival.is_retry);
        self.connections
            .record(now, arrival.client, self.rejections.retry_fraction, out);
        let handler = &self.handlers[arrival.handler.index()];
        let reached = now.saturating_sub(arrival.read_delay);
        let given_up = (reached + handler.timeout).max(now);
        let deadline = if self.rules.requests_carry_timeout {
            now + arrival.timeout
        } else {
            given_up
        };
        let deadline = self
            .drain
            .as_ref()
            .map_or(deadline, |drain| deadline.min(drain.stop));
        let stretch = arrival
            .work_hint
            .map_or(Duration::ZERO, |w| w.mul_f64(handler.objective_stretch));
        let objective = handler.latency_objective.mul_f64(self.objective_fraction) + stretch;
        let answer_by = deadline.saturating_sub(ANSWER_MARGIN);
        let objective = (reached + objective.min(handler.timeout)).min(answer_by);
        let r = self
            .requests
            .add(Request::new(arrival, reached, objective, deadline));
        self.timers.set(answer_by, Timer::Answer(r));
        self.pass(now, r, &ARRIVAL_STAGES, out);
    }

    fn pass(
        &mut self,
        now: Timestamp,
        r: RequestSlot,
        stages: &[ArrivalStage],
        out: &mut dyn Actions,
    ) {
        let _ = stages.iter().try_for_each(|stage| stage(self, now, r, out));
    }

    /// Rejects what reached the machine after the grace period of a graceful shutdown.
    fn reject_draining(
        &mut self,
        now: Timestamp,
        r: RequestSlot,
        out: &mut dyn Actions,
    ) -> ControlFlow<()> {
        let grace = self.rules.drain_grace.saturating_sub(ANSWER_MARGIN);
        if self
            .drain
            .as_ref()
            .is_some_and(|drain| self.requests[r].reached > drain.since + grace)
        {
            self.reject(now, r, out);
            return Break(());
        }
        Continue(())
    }

    /// A run ended after the run time spent. The outcome passes the stages in reverse: calls, budget, keys.
    pub fn on_run_ended(&mut self, now: Timestamp, id: u64, outcome: Outcome, spent: Duration) {
        let may_end = |q: &Request| !matches!(q.stage(), Stage::Queued | Stage::Following);
        let Some(r) = self.requests.find(id, may_end) else {
            return;
        };
        self.abandon_call(now, r);
        self.record_run(now, r, outcome, spent);
        let Request { key, handler, .. } = self.requests[r];
        self.requests.remove(r);
        if let Some(key) = key {
            let Handler {
                idempotency_window,
                timeout,
                ..
            } = self.handlers[handler.index()];
            self.timers
                .set(now + idempotency_window + timeout, Timer::ForgetKey(key));
        }
    }

    /// Feeds a run that answered its request to the control loops.
    fn record_run(&mut self, now: Timestamp, r: RequestSlot, outcome: Outcome, spent: Duration) {
        let Request {
            handler,
            work_hint,
            reached,
            answered,
            call_skipped,
            ..
        } = self.requests[r];
        let ran = self.requests[r].has_started() && !answered;
        if !ran || !matches!(outcome, Outcome::Completed | Outcome::Failed) {
            return;
        }
        self.admission
            .failures
            .record(f64::from(outcome == Outcome::Failed));
        self.stalls.last_completion = now;
        if outcome == Outcome::Completed && !call_skipped {
            self.budget.record_run(handler, work_hint, spent);
        }
        if outcome == Outcome::Completed {
            self.budget.complete(
                now,
                handler,
                now - reached,
                self.queue.len() + self.requests.running(),
            );
        }
    }

    /// The client no longer waits: a queued request is removed, a run cancelled.
    pub fn on_client_gone(&mut self, now: Timestamp, id: u64, out: &mut dyn Actions) {
        let Some(r) = self.requests.find(id, |_| true) else {
            return;
        };
        if !self.requests[r].has_started() {
            return self.withdraw(now, r, false, out);
        }
        self.cancel_answered(r, out);
    }

    /// Begins a graceful shutdown: the process stops after `left`.
    pub fn drain(&mut self, now: Timestamp, left: Duration) {
        let stop = (now + left).saturating_sub(ANSWER_MARGIN);
        self.drain = Some(Drain { since: now, stop });
        for (r, request) in self.requests.iter_mut() {
            request.deadline = request.deadline.min(stop);
            request.objective = request.objective.min(stop.saturating_sub(ANSWER_MARGIN));
            self.timers.set(
                request.deadline.saturating_sub(ANSWER_MARGIN),
                Timer::Answer(r),
            );
        }
    }

    /// The periodic timer fired.
    pub fn on_tick(&mut self, now: Timestamp, gauges: &Gauges, out: &mut dyn Actions) {
        let elapsed = now - std::mem::replace(&mut self.last_tick, now);
        // Ceilings bind before the limit: where they hold a request up, the limit may be the cause.
        let running = self.requests.running() as f64;
        let at_limit = running + 1.0 > self.concurrency.limit || !self.ceilings.is_empty();
        let saturated = at_limit && self.queue.len() > 0;
        self.concurrency
            .update(now, gauges.run_queue.unwrap_or(running), saturated);
        self.calls.settle(now);
        self.admission.failures.decay(admission::FAILURE_DECAY);
        self.connections.clients.expire(now);
        if elapsed < PAUSE {
            self.detect_stalls(now);
            // While cores are idle the cause lies elsewhere, most often upstream, and a cut does not help.
            let floored = self.budget.budget <= self.budget.floor();
            let cut_helps = floored && self.concurrency.run_queue > self.budget.cores;
            self.admission
                .update(elapsed, self.budget.worst_latency() - 1.0, cut_helps);
        }
        // A hung server tells clients that check its health; where all servers hang, nothing is lost by it.
        let healthy = self.drain.is_none() && self.stalls.slowdown < stall_detection::HUNG;
        if std::mem::replace(&mut self.healthy, healthy) != healthy {
            out.set_health(healthy);
        }
        self.report_load(now, out);
        out.set_timer(TICK);
    }

    /// The batch of events is complete: fires timers, frees memory, gives up, makes calls, starts requests.
    pub fn settle(&mut self, now: Timestamp, out: &mut dyn Actions) {
        while let Some(timer) = self.timers.pop_expired(now) {
            self.fire(now, timer, out);
        }
        self.free_memory(now, out);
        self.reject_infeasible(now, out);
        self.attempt_waiting_calls(now, out);
        self.start_queued(now, out);
    }

    fn fire(&mut self, now: Timestamp, timer: Timer, out: &mut dyn Actions) {
        let r = match timer {
            Timer::ExpireKey(key) => return self.keys.expire(now, key),
            Timer::ForgetKey(key) => return self.keys.forget(key),
            Timer::Answer(r) | Timer::RetryCall(r) | Timer::CheckEnded(r) => r,
        };
        let Some(request) = self.requests.get(r) else {
            return;
        };
        match (timer, request.stage(), request.answered) {
            (Timer::Answer(_), Stage::Queued | Stage::Following, _) => self.reject(now, r, out),
            (Timer::Answer(_), _, false) => self.fail(r, out),
            (Timer::RetryCall(_), Stage::AtCall, false) => self.attempt_call(now, r, out),
            (Timer::CheckEnded(_), Stage::Running, true) => self.cancel_answered(r, out),
            (Timer::CheckEnded(_), Stage::AtCall | Stage::Calling, true) => {
                self.abandon_call(now, r);
                self.requests.release_run(r);
            }
            _ => {}
        }
    }

    fn fail(&mut self, r: RequestSlot, out: &mut dyn Actions) {
        out.fail(self.requests[r].id);
        if !self.requests[r].has_started() {
            return self.requests.remove(r);
        }
        self.cancel_answered(r, out);
    }

    /// Cancels a run whose answer is final, if runs can be cancelled; one that is at a call ends by itself.
    fn cancel_answered(&mut self, r: RequestSlot, out: &mut dyn Actions) {
        let request = &mut self.requests[r];
        request.answered = true;
        if request.stage() != Stage::Running {
            self.timers
                .set(self.last_tick + CALL_END_TIMEOUT, Timer::CheckEnded(r));
        } else if self.cancellation != Cancellation::Unsupported {
            out.cancel(request.id); // Lost while the cores are stalled, so it is repeated.
            self.timers
                .set(self.last_tick + STALL_TIMEOUT, Timer::CheckEnded(r));
        }
    }
}
