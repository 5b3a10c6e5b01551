//! Enforcement of the fleet's quotas in the core: the budget of each request, the demand for calls
//! under each budget, and the ceilings for the decision module.
//!
//! `QuotaGate` tracks the stage of each request and the abandoned calls that may still run
//! upstream. It is notified of every change of a request as a `RequestObserver`. A `QuotaSource`
//! provides how much of each quota this server may use; the gate knows nothing of leases or other
//! servers.

mod demand;

use crate::core::request_observer::RequestObserver;
use demand::Demand;
use madderbay::abandoned_calls::AbandonedCalls;
use madderbay::interface::{CallRequirement, Ceiling, HandlerId, TenantId, Upstream};
use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::RequestStage;
use madderbay_concurrency::limit::Completion;
use madderbay_quota::BudgetId;
use std::collections::HashMap;
use std::rc::Rc;

/// Runs that are allowed beyond the usable calls where every run makes a call: those that have not
/// reached their call yet.
const EXTRA_RUNS: usize = 2;
/// Upper bound on the interval between starts that an advertised Retry-After is based on, because
/// capacity may be granted sooner.
const MAX_START_INTERVAL: Duration = Duration::from_millis(5_000);
/// Interval at which the rates of tenants are read from the source.
const TENANT_RATES_INTERVAL: Duration = Duration::from_millis(1_000);

/// Provides how much of the fleet's quotas this server may use, and receives this server's demand.
/// It has a clock of its own.
pub trait QuotaSource {
    /// Returns the number of calls under a budget that may be in flight now.
    fn usable_calls(&self, budget: BudgetId) -> usize;
    /// Starts one more call under a budget. Returns whether the call may be made.
    fn try_start_call(&self, budget: BudgetId) -> bool;
    /// Records that a call under a budget has ended.
    fn call_ended(&self, budget: BudgetId);
    /// Sets the number of calls under a budget that wait for capacity or will need it.
    fn set_waiting_calls(&self, budget: BudgetId, calls: usize);
    /// Returns how long a budget without capacity may stay without it.
    fn time_until_capacity(&self, budget: BudgetId) -> Duration;
    /// Counts a request of a tenant that has been read.
    fn count_request(&self, handler: HandlerId, tenant: TenantId);
    /// Returns the rates that this server may use of the quotas of its tenants, for the tenants
    /// that are counted.
    fn tenant_rates(&self) -> Vec<TenantRate>;
}

/// The rate of requests that this server may accept from one tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantRate {
    /// The tenant's index in the settings.
    pub tenant: TenantId,
    /// Requests per second.
    pub per_second: f64,
}

/// One budget, as it applies to this server's handlers.
#[derive(Clone, Debug)]
pub struct QuotaGroup {
    /// The handlers whose calls are under the budget.
    pub handlers: Vec<HandlerId>,
    /// The longest timeout of a call under the budget.
    pub max_call_wait: Duration,
}

/// How the budgets apply to one handler.
#[derive(Clone, Copy)]
struct HandlerQuota {
    /// The budget that its calls are under, if any.
    budget: Option<BudgetId>,
    /// Whether each of its runs makes a call.
    always_calls: bool,
}

/// A request whose handler is under a budget.
#[derive(Clone, Copy)]
struct TrackedRequest {
    budget: BudgetId,
    always_calls: bool,
    stage: RequestStage,
    /// When it entered this stage.
    since: Timestamp,
}

/// One budget, with this server's demand for calls and the calls that it may use.
struct BudgetUse {
    group: QuotaGroup,
    demand: Demand,
    /// The number of calls that may be in flight, as of the last update.
    usable_calls: usize,
}

/// Keeps the calls of requests within the quotas of the fleet.
pub struct QuotaGate {
    source: Rc<dyn QuotaSource>,
    handlers: Vec<HandlerQuota>,
    /// Indexed by [`BudgetId`].
    budgets: Vec<BudgetUse>,
    requests: HashMap<u64, TrackedRequest>,
    /// The abandoned calls, each with its budget.
    abandoned_calls: AbandonedCalls<BudgetId>,
    rates_taken_at: Timestamp,
    /// The quota of calls that are under no budget: the quota in the settings, or 0 if there are no
    /// such calls.
    quota_outside_budgets: f64,
}

impl QuotaGate {
    /// Creates a gate without requests. `call_requirements` has one entry per handler.
    pub fn new(
        source: Rc<dyn QuotaSource>,
        groups: Vec<QuotaGroup>,
        call_requirements: &[CallRequirement],
        upstream: &Upstream,
    ) -> QuotaGate {
        let handler_quota = |(handler, calls): (HandlerId, &CallRequirement)| HandlerQuota {
            budget: budget_of(handler, &groups),
            always_calls: *calls == CallRequirement::Required,
        };
        let handlers: Vec<_> = HandlerId::first(call_requirements.len())
            .zip(call_requirements)
            .map(handler_quota)
            .collect();
        let all_calls_covered = call_requirements
            .iter()
            .zip(&handlers)
            .all(|(calls, handler)| *calls == CallRequirement::Never || handler.budget.is_some());
        QuotaGate {
            source,
            handlers,
            budgets: groups.into_iter().map(BudgetUse::new).collect(),
            requests: HashMap::new(),
            abandoned_calls: AbandonedCalls::new(upstream.abandoned_call_lifetime),
            rates_taken_at: Timestamp::default(),
            quota_outside_budgets: if all_calls_covered {
                0.0
            } else {
                upstream.quota
            },
        }
    }

    /// Returns the timeout of a call of a handler: `timeout`, or the longest timeout under the
    /// handler's budget if that is shorter.
    pub fn max_call_wait(&self, handler: HandlerId, timeout: Duration) -> Duration {
        let budget = self.handlers[handler.index()].budget;
        budget.map_or(timeout, |budget| {
            timeout.min(self.budgets[budget.index()].group.max_call_wait)
        })
    }

    /// Starts one more call of a handler if its budget has capacity. If this returns `false`, the
    /// call must not be made.
    pub fn try_start_call(&mut self, handler: HandlerId) -> bool {
        let budget = self.handlers[handler.index()].budget;
        budget.is_none_or(|budget| self.source.try_start_call(budget))
    }

    /// Counts a request of a tenant that has been read.
    pub fn count_request(&self, handler: HandlerId, tenant: TenantId) {
        self.source.count_request(handler, tenant);
    }

    /// Ends abandoned calls that can't be running upstream any more, reports changed demand to the
    /// source and reads the usable calls from it. Returns whether the usable calls, and with them
    /// the ceilings, have changed.
    pub fn update(&mut self, now: Timestamp) -> bool {
        self.end_abandoned_calls(now);
        let mut has_changed = false;
        for (id, budget) in BudgetId::first(self.budgets.len()).zip(&mut self.budgets) {
            if let Some(waiting_calls) = budget.demand.update(now) {
                self.source.set_waiting_calls(id, waiting_calls);
            }
            let usable_calls = self.source.usable_calls(id);
            let before = std::mem::replace(&mut budget.usable_calls, usable_calls);
            has_changed |= before != usable_calls;
        }
        has_changed
    }

    /// Reports the end of abandoned calls that can't be running upstream any more.
    fn end_abandoned_calls(&mut self, now: Timestamp) {
        while let Some(budget) = self.abandoned_calls.pop_ended(now) {
            self.source.call_ended(budget);
        }
    }

    /// Returns the total number of calls that this server may have in flight.
    pub fn total_quota(&self) -> f64 {
        let usable_calls: usize = self.budgets.iter().map(|b| b.usable_calls).sum();
        usable_calls as f64 + self.quota_outside_budgets
    }

    /// Returns the ceiling of each budget.
    pub fn ceilings(&self) -> impl Iterator<Item = Ceiling> {
        BudgetId::first(self.budgets.len()).map(|budget| self.ceiling(budget))
    }

    /// Returns the ceiling of one budget: runs, calls and the interval between starts.
    fn ceiling(&self, id: BudgetId) -> Ceiling {
        let BudgetUse {
            group,
            demand,
            usable_calls,
        } = &self.budgets[id.index()];
        let usable_calls = *usable_calls;
        let handlers = &group.handlers;
        let all_runs_call = handlers
            .iter()
            .all(|handler| self.handlers[handler.index()].always_calls);
        let runs = if all_runs_call {
            usable_calls.saturating_add(EXTRA_RUNS)
        } else {
            usize::MAX
        };
        let start_interval = if usable_calls == 0 {
            self.source.time_until_capacity(id)
        } else if demand.is_saturated(runs) {
            Duration::from_secs_f64(demand.mean_call_secs() / usable_calls as f64)
        } else {
            Duration::ZERO
        };
        Ceiling {
            handlers: handlers.clone(),
            runs,
            calls: usable_calls,
            start_interval: start_interval.min(MAX_START_INTERVAL),
        }
    }

    /// Returns the rates of tenants, or nothing if they were read less than `TENANT_RATES_INTERVAL`
    /// ago.
    pub fn tenant_rates(&mut self, now: Timestamp) -> Vec<TenantRate> {
        let is_fresh = now - self.rates_taken_at < TENANT_RATES_INTERVAL;
        if is_fresh && now >= self.rates_taken_at {
            return vec![];
        }
        self.rates_taken_at = now;
        self.source.tenant_rates()
    }

    /// Records that a request has entered a stage. If it leaves the calling stage before its call
    /// has ended, the call is abandoned.
    fn track(&mut self, now: Timestamp, id: u64, request: TrackedRequest) {
        let TrackedRequest {
            budget,
            always_calls,
            ..
        } = request;
        if let Some(previous) = self.requests.insert(id, request) {
            self.demand_mut(budget).leave(previous.stage, always_calls);
            if previous.stage == RequestStage::Calling {
                self.end_call(now, budget, true);
            }
        }
        self.demand_mut(budget).enter(request.stage, always_calls);
    }

    /// Reports the end of a call to the source: at once, or, if the call may still run upstream,
    /// when it can't be running any more.
    fn end_call(&mut self, now: Timestamp, budget: BudgetId, may_still_run: bool) {
        let ended = if may_still_run {
            self.abandoned_calls.abandon(now, budget)
        } else {
            Some(budget)
        };
        if let Some(budget) = ended {
            self.source.call_ended(budget);
        }
    }

    fn demand_mut(&mut self, budget: BudgetId) -> &mut Demand {
        &mut self.budgets[budget.index()].demand
    }
}

impl BudgetUse {
    /// Creates a budget without demand, whose calls are unbounded until the first update.
    fn new(group: QuotaGroup) -> BudgetUse {
        BudgetUse {
            group,
            demand: Demand::default(),
            usable_calls: usize::MAX,
        }
    }
}

/// Returns the first budget that the calls of a handler are under.
fn budget_of(handler: HandlerId, groups: &[QuotaGroup]) -> Option<BudgetId> {
    let covers_handler = |group: &QuotaGroup| group.handlers.contains(&handler);
    groups.iter().position(covers_handler).map(BudgetId::new)
}

impl RequestObserver for QuotaGate {
    fn set_stage(&mut self, now: Timestamp, id: u64, handler: HandlerId, stage: RequestStage) {
        let Some(HandlerQuota {
            budget: Some(budget),
            always_calls,
        }) = self.handlers.get(handler.index()).copied()
        else {
            return;
        };
        let request = TrackedRequest {
            budget,
            always_calls,
            stage,
            since: now,
        };
        self.track(now, id, request);
    }

    fn call_finished(&mut self, now: Timestamp, id: u64, end: Completion) {
        let is_calling = |request: &&mut TrackedRequest| request.stage == RequestStage::Calling;
        let Some(request) = self.requests.get_mut(&id).filter(is_calling) else {
            return;
        };
        request.stage = if end == Completion::Success {
            RequestStage::Running
        } else {
            RequestStage::AwaitingCall
        };
        let request = *request;
        let demand = self.demand_mut(request.budget);
        demand.leave(RequestStage::Calling, request.always_calls);
        demand.enter(request.stage, request.always_calls);
        if end == Completion::Success {
            demand.record_call((now - request.since).as_secs_f64());
        }
        let may_still_run = matches!(end, Completion::TimedOut | Completion::Cancelled);
        self.end_call(now, request.budget, may_still_run);
    }

    fn call_skipped(&mut self, now: Timestamp, id: u64) {
        let Some(request) = self.requests.get(&id).copied() else {
            return;
        };
        self.demand_mut(request.budget).record_skip();
        let running = TrackedRequest {
            stage: RequestStage::Running,
            since: now,
            ..request
        };
        self.track(now, id, running);
    }

    fn request_answered(&mut self, now: Timestamp, id: u64) {
        // A request that was answered makes no further call.
        self.request_finished(now, id);
    }

    fn request_finished(&mut self, now: Timestamp, id: u64) {
        self.call_finished(now, id, Completion::Cancelled);
        if let Some(request) = self.requests.remove(&id) {
            self.demand_mut(request.budget)
                .leave(request.stage, request.always_calls);
        }
    }
}
