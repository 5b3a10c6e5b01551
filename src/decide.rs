//! The decision module: which requests one server starts, queues, rejects or fails, and which upstream calls it makes.
//!
//! A [`Decider`](crate::decide::Decider) makes the decisions of one server incarnation. The caller passes it each event
//! with its time and, after the last event of a batch, calls [`settle`](crate::decide::Decider::settle). The decisions
//! are issued through [`Actions`](crate::interface::Actions). The module reads no clock and no socket; equal seeds and
//! events give equal decisions.
//!
//! Each rule is in a file of its own, as a type with private state or as a function. It returns a decision and performs
//! no action:
//!
//! | file | rules |
//! | --- | --- |
//! | `deadlines`, `drain` | when a request must be answered; what a graceful shutdown still serves |
//! | `admission`, `tenant_quota` | which arrivals may start at all; the priority weight of a request |
//! | `request_queue`, `feasibility` | the order in which requests start; which queued requests are given up |
//! | `concurrency_limit`, `supported_runs`, `memory_guard` | how many runs, and how much memory, may be in use |
//! | `budget_controller`, `lq_reset`, `run_times`, `best_mean` | the budget and the allowances |
//! | `call_policy`, `call_account`, `waiting_calls` | upstream calls and their retries |
//! | `rejection` | the Retry-After, and whether a retry on another server is worthwhile |
//! | `stall_detection` | detection of hung servers; control loops without completions |
//! | `unresponsive_runs` | runs that nobody waits for and that do not end |
//! | `load_report`, `idle_connections` | the load and the connection limit that clients are told |
//!
//! The steps carry the decisions out: `arrivals`, `starts`, `calls`, `answers`, `expired_timers`, `control_loops` and
//! `client_advice`. They are methods of [`Decider`](crate::decide::Decider), which owns the rules and passes each of
//! them the inputs that it needs. `docs/decisions.md` lists all rules with their inputs and answers.

mod admission;
mod answers;
mod arrivals;
mod best_mean;
mod budget_controller;
mod call_account;
mod call_policy;
mod calls;
mod client_advice;
mod concurrency_limit;
mod control_loops;
mod deadlines;
mod drain;
mod expired_timers;
mod feasibility;
mod idle_connections;
mod load_report;
mod lq_reset;
mod memory_guard;
mod rejection;
mod request_queue;
mod run_times;
mod stall_detection;
mod starts;
mod supported_runs;
mod tenant_quota;
mod unresponsive_runs;
mod waiting_calls;

pub use deadlines::ANSWER_MARGIN;

use crate::ceilings::CeilingTable;
use crate::idempotency::IdempotencyTable;
use crate::interface::{
    Actions, Arrival, Cancellation, Ceiling, Downstream, FleetPosition, Gauges, Handler, Machine,
    Outcome, Rules, Status, Tenant, TenantId, Upstream,
};
use crate::request::{Request, RequestTable};
use crate::slots::RequestSlot;
use crate::time::{Duration, Timestamp};
use crate::timers::{Timer, Timers};
use admission::AdmissionController;
use budget_controller::BudgetController;
use call_account::CallAccount;
use concurrency_limit::ConcurrencyLimit;
use deadlines::{answer_by, objective_fraction};
use drain::Drain;
use idle_connections::IdleConnections;
use load_report::LoadReporter;
use memory_guard::MemoryGuard;
use oorandom::Rand64;
use rejection::RejectionPolicy;
use request_queue::RequestQueue;
use run_times::{RunTimes, initial_estimate_secs};
use stall_detection::StallDetector;
use tenant_quota::TenantQuotas;
use unresponsive_runs::UnresponsiveRuns;
use waiting_calls::WaitingCalls;

/// Interval of the periodic timer, shorter than the margin that any answer has before its deadline.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Expected remaining time of a run in flight, as a fraction of the mean run time.
const REMAINING_RUN_FRACTION: f64 = 0.5;

/// Makes the decisions of one server incarnation.
pub struct Decider {
    random: Rand64,
    last_tick: Timestamp,
    handlers: Vec<Handler>,
    cancellation: Cancellation,
    rules: Rules,
    /// Fraction of each latency objective that is available to this server's tier.
    objective_fraction: f64,
    /// The answer to health checks that was set last.
    is_healthy: bool,
    /// The graceful shutdown, once it has begun.
    drain: Option<Drain>,
    requests: RequestTable,
    keys: IdempotencyTable,
    timers: Timers,
    ceilings: CeilingTable,
    run_times: RunTimes,
    budget: BudgetController,
    admission: AdmissionController,
    tenants: TenantQuotas,
    queue: RequestQueue,
    concurrency: ConcurrencyLimit,
    memory: MemoryGuard,
    calls: CallAccount,
    waiting_calls: WaitingCalls,
    stalls: StallDetector,
    unresponsive_runs: UnresponsiveRuns,
    rejections: RejectionPolicy,
    load_report: LoadReporter,
    connections: IdleConnections,
}

/// Builds a [`Decider`] and passes each setting to the rules that use it. Settings that are not given have no effect.
pub struct DeciderBuilder(Decider);

impl DeciderBuilder {
    /// Sets the tenants and their fleet-wide rates. Without them, the weight of a request follows from its handler
    /// alone.
    pub fn tenants(mut self, tenants: &[Tenant], position: &FleetPosition) -> DeciderBuilder {
        self.0.tenants = TenantQuotas::new(self.0.last_tick, tenants, position);
        self
    }

    /// Sets the upstream that the server calls. Without it, calls are not limited.
    pub fn upstream(mut self, upstream: &Upstream) -> DeciderBuilder {
        self.0.calls.set_upstream(upstream);
        self
    }

    /// Sets what the clients support. Without it, they are given no Retry-After, load report or limit on idle
    /// connections.
    pub fn downstream(mut self, downstream: &Downstream) -> DeciderBuilder {
        self.0.connections = IdleConnections::new(downstream.max_idle);
        self.0.rejections = RejectionPolicy::new(downstream);
        self.0.load_report = LoadReporter::new(self.0.last_tick, downstream);
        self
    }

    /// Returns the finished `Decider`.
    pub fn build(self) -> Decider {
        self.0
    }
}

impl Decider {
    /// Starts to build a `Decider` for an incarnation that starts now. Equal seeds and events give equal decisions.
    pub fn builder(
        now: Timestamp,
        seed: u64,
        machine: &Machine,
        handlers: &[Handler],
        position: &FleetPosition,
        rules: &Rules,
    ) -> DeciderBuilder {
        let objective_fraction = objective_fraction(position.tier);
        let mut random = Rand64::new(u128::from(seed));
        let initial_call_secs = initial_call_secs(handlers, objective_fraction);
        let calls = CallAccount::new(now, initial_call_secs, random.rand_float());
        let run_times = RunTimes::new(handlers, objective_fraction);
        let cores = machine.cores;
        let budget = BudgetController::new(now, cores, handlers, objective_fraction, &run_times);
        let downstream = Downstream::default();
        DeciderBuilder(Decider {
            random,
            last_tick: now,
            handlers: handlers.to_vec(),
            cancellation: machine.cancellation,
            rules: rules.clone(),
            objective_fraction,
            is_healthy: true,
            drain: None,
            requests: RequestTable::new(handlers.len(), machine.running_memory_factor),
            keys: IdempotencyTable::new(machine.key_memory_kb),
            timers: Timers::default(),
            ceilings: CeilingTable::default(),
            run_times,
            budget,
            admission: AdmissionController::new(),
            tenants: TenantQuotas::new(now, &[], position),
            queue: RequestQueue::default(),
            concurrency: ConcurrencyLimit::new(now, machine),
            memory: MemoryGuard::new(machine.memory_kb),
            calls,
            waiting_calls: WaitingCalls::default(),
            stalls: StallDetector::new(now),
            unresponsive_runs: UnresponsiveRuns::default(),
            rejections: RejectionPolicy::new(&downstream),
            load_report: LoadReporter::new(now, &downstream),
            connections: IdleConnections::new(downstream.max_idle),
        })
    }

    /// Reports whether a request with this identifier exists and has not ended.
    pub fn contains(&self, id: u64) -> bool {
        self.requests.find(id, |_| true).is_some()
    }

    /// Returns the state of the control loops.
    pub fn status(&self) -> Status {
        Status {
            budget_seconds: self.budget.budget_secs(),
            admitted_fraction: self.admission.admitted_fraction(),
            concurrency_limit: self.concurrency.limit(),
            clients: self.connections.clients_seen(),
        }
    }

    /// Replaces the ceilings on groups of handlers. Ceilings limit starts and calls, and so delay queued requests.
    pub fn set_ceilings(&mut self, ceilings: &[Ceiling]) {
        self.ceilings.replace(ceilings);
        self.calls.set_has_ceilings(!ceilings.is_empty());
    }

    /// Sets the part of a tenant's fleet-wide quota that this server may use, in requests per second.
    pub fn set_tenant_rate(&mut self, tenant: TenantId, requests_per_second: f64) {
        self.tenants.set_quota(tenant, requests_per_second);
    }

    /// Sets how many upstream calls may be in flight. The component that divides the calls among the servers keeps
    /// their sum below the upstream's limit.
    pub fn set_upstream_quota(&mut self, now: Timestamp, calls: f64) {
        self.calls.set_usable_calls(now, calls);
    }

    /// Handles the start of the incarnation. Health checks are answered from a stored value, because each actual check
    /// would cost work.
    pub fn on_start(&mut self, out: &mut dyn Actions) {
        out.set_health(true);
        out.set_timer(TICK_INTERVAL);
        self.report_initial_load(out);
    }

    /// Handles a request that has been read.
    pub fn on_arrival(&mut self, now: Timestamp, arrival: &Arrival, out: &mut dyn Actions) {
        self.record_client(now, arrival, out);
        let slot = self.add_request(now, arrival);
        self.process_arrival(now, slot, out);
    }

    /// Handles a run that waits at an upstream call.
    pub fn on_call_needed(&mut self, now: Timestamp, id: u64, out: &mut dyn Actions) {
        let is_running = |request: &Request| request.is_running() && !request.settled;
        if let Some(slot) = self.requests.find(id, is_running) {
            self.process_call_needed(now, slot, out);
        }
    }

    /// Handles the end of an upstream call after the time `spent`. A failed call is skipped, retried, or fails its
    /// request.
    pub fn on_call_finished(
        &mut self,
        now: Timestamp,
        id: u64,
        outcome: Outcome,
        spent: Duration,
        out: &mut dyn Actions,
    ) {
        if let Some(slot) = self.requests.find(id, Request::is_calling) {
            self.finish_call(now, slot, outcome, spent, out);
        }
    }

    /// Handles the end of a run after the run time `spent`: abandons the call that it may have in flight, records its
    /// time, and sets the timer that forgets its idempotency key.
    pub fn on_run_ended(&mut self, now: Timestamp, id: u64, outcome: Outcome, spent: Duration) {
        let may_end = |request: &Request| !request.stage().awaits_start();
        let Some(slot) = self.requests.find(id, may_end) else {
            return;
        };
        if self.requests[slot].has_started() {
            self.unresponsive_runs.on_run_ended();
        }
        self.abandon_call(now, slot);
        self.record_run(now, slot, outcome, spent);
        self.end_request(now, slot);
    }

    /// Handles a client that no longer waits: removes its queued request, or cancels its run.
    pub fn on_client_gone(&mut self, now: Timestamp, id: u64, out: &mut dyn Actions) {
        let Some(slot) = self.requests.find(id, |_| true) else {
            return;
        };
        if self.requests[slot].has_started() {
            self.cancel_settled(now, slot, out);
        } else {
            self.withdraw(now, slot, out);
        }
    }

    /// Begins a graceful shutdown; the process stops after `time_left`.
    pub fn drain(&mut self, now: Timestamp, time_left: Duration) {
        let drain = Drain::new(now, time_left);
        for (slot, request) in self.requests.iter_mut() {
            request.deadline = request.deadline.min(drain.latest_deadline());
            request.objective = drain.limit_objective(request.objective);
            self.timers
                .set(answer_by(request.deadline), Timer::Answer(slot));
        }
        self.drain = Some(drain);
    }

    /// Handles a tick of the periodic timer.
    pub fn on_tick(&mut self, now: Timestamp, gauges: &Gauges, out: &mut dyn Actions) {
        let elapsed = now - std::mem::replace(&mut self.last_tick, now);
        self.update_limits(now, gauges);
        self.update_control_loops(now, elapsed);
        self.update_health(out);
        self.report_load(now, out);
        out.set_timer(TICK_INTERVAL);
    }

    /// Completes a batch of events: fires expired timers, frees memory, rejects infeasible requests, attempts waiting
    /// calls and starts queued requests. A timer that is set meanwhile fires with a later batch, even if it is already
    /// due.
    pub fn settle(&mut self, now: Timestamp, out: &mut dyn Actions) {
        for timer in self.timers.take_expired(now) {
            self.fire(now, timer, out);
        }
        self.free_memory(now, out);
        self.reject_infeasible(now, out);
        self.attempt_waiting_calls(now, out);
        self.start_queued(now, out);
    }

    /// Returns the settings of a request's handler.
    fn handler_of(&self, slot: RequestSlot) -> &Handler {
        &self.handlers[self.requests[slot].handler.index()]
    }

    /// Returns the memory used by requests, runs and idempotency keys, in kB.
    fn used_memory_kb(&self) -> f64 {
        self.requests.memory_kb() + self.keys.memory_kb()
    }

    /// Returns the number of requests that are queued or running.
    fn pending(&self) -> usize {
        self.queue.len() + self.requests.running()
    }

    /// Returns the expected run time of a request at the server's present speed.
    fn expected_run(&self, slot: RequestSlot) -> Duration {
        let request = &self.requests[slot];
        let usual_secs = self
            .run_times
            .expected_secs(request.handler, request.work_hint);
        Duration::from_secs_f64(usual_secs * self.stalls.run_time_factor())
    }

    /// Returns the expected remaining run time of the runs in flight that are not overdue, in seconds.
    fn remaining_run_secs(&self) -> f64 {
        let running = self.requests.running_on_time() as f64;
        running
            * self.run_times.mean_secs()
            * self.stalls.run_time_factor()
            * REMAINING_RUN_FRACTION
    }
}

/// Returns the initial estimate of the duration of an upstream call, in seconds, from the shortest latency objective.
fn initial_call_secs(handlers: &[Handler], objective_fraction: f64) -> f64 {
    let objectives = handlers.iter().map(|h| h.latency_objective.as_secs_f64());
    let shortest_secs = objectives.fold(f64::MAX, f64::min);
    initial_estimate_secs(shortest_secs * objective_fraction)
}
