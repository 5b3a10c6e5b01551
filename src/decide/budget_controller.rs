//! The budget B of He et al.: planned run time for all pending requests.
//!
//! [`BudgetController`] keeps the budget, in seconds of run time, and the mean response time (MRT) of each handler. At
//! each completion, an integral step adjusts the budget by the handler whose MRT is furthest over its setpoint;
//! [`LqReset`] resets the budget from time to time. Each request gets its EqResv allowance from the budget when it
//! starts. The controller never starts or rejects a request.

use super::lq_reset::LqReset;
use super::run_times::{RunTimes, initial_estimate_secs};
use crate::estimators::Average;
use crate::interface::{Handler, HandlerId};
use crate::time::{Duration, Timestamp};

/// Weight of the newest response time in a handler's MRT (the paper's alpha).
const MRT_WEIGHT: f64 = 0.05;
/// Setpoint of the MRT, as a fraction of the latency objective. At a mean of one objective, about half of the answers
/// are late.
const SETPOINT_IN_OBJECTIVES: f64 = 0.8;
/// Change of the budget in one step for an error of one setpoint, in mean run times (the paper's K_I).
const INTEGRAL_GAIN: f64 = 1.0;
/// Largest error that one step of a control loop counts, in setpoints, so that one late answer cannot empty the budget.
pub(super) const MAX_CONTROL_ERROR: f64 = 2.0;
/// Factor per tick on the distance between an idle handler's MRT and its resting value, which halves in about 1.5 s.
const IDLE_MRT_DECAY_FACTOR: f64 = 0.995;
/// Largest resting value of an idle handler's MRT, as a fraction of the setpoint.
const MAX_IDLE_MRT_IN_SETPOINTS: f64 = 0.5;

/// The MRT of one handler and its setpoint, in seconds.
struct HandlerLatency {
    setpoint_secs: f64,
    mrt: Average,
}

/// The completion of a run, or the age of an unfinished run that is counted as one.
#[derive(Clone, Copy, Debug)]
pub(super) struct Completion {
    /// The handler of the request.
    pub(super) handler: HandlerId,
    /// Time from the arrival of the request at the machine until now.
    pub(super) response: Duration,
    /// Number of requests that are queued or running.
    pub(super) pending: usize,
}

/// Adjusts the budget by the response times of completed runs.
pub(super) struct BudgetController {
    budget_secs: f64,
    cores: f64,
    handlers: Vec<HandlerLatency>,
    lq_reset: LqReset,
    last_step: Timestamp,
}

impl BudgetController {
    /// Starts with the minimum budget. `objective_fraction` of each latency objective is available to this tier.
    pub(super) fn new(
        now: Timestamp,
        cores: u32,
        handlers: &[Handler],
        objective_fraction: f64,
        run_times: &RunTimes,
    ) -> BudgetController {
        let latency = |handler: &Handler| {
            let objective_secs = handler.latency_objective.as_secs_f64() * objective_fraction;
            HandlerLatency {
                setpoint_secs: objective_secs * SETPOINT_IN_OBJECTIVES,
                mrt: Average::new(initial_estimate_secs(objective_secs), MRT_WEIGHT),
            }
        };
        let cores = f64::from(cores);
        BudgetController {
            budget_secs: cores * run_times.mean_secs(),
            cores,
            handlers: handlers.iter().map(latency).collect(),
            lq_reset: LqReset::new(),
            last_step: now,
        }
    }

    /// Returns the budget, in seconds of run time.
    pub(super) fn budget_secs(&self) -> f64 {
        self.budget_secs
    }

    /// Reports whether the budget is at its minimum.
    pub(super) fn is_at_minimum(&self, run_times: &RunTimes) -> bool {
        self.budget_secs <= self.min_budget_secs(run_times)
    }

    /// Returns the mean response time of a handler, in seconds.
    pub(super) fn mrt_secs(&self, handler: HandlerId) -> f64 {
        self.handlers[handler.index()].mrt.value()
    }

    /// Returns the largest ratio of a handler's MRT to its setpoint.
    pub(super) fn worst_latency_ratio(&self) -> f64 {
        let latencies = self.handlers.iter();
        let relative = latencies.map(|handler| handler.mrt.value() / handler.setpoint_secs);
        relative.fold(0.0, f64::max)
    }

    /// Reports whether the MRT of any handler exceeds its setpoint. Allowances are enforced only then.
    pub(super) fn exceeds_setpoint(&self) -> bool {
        self.worst_latency_ratio() > 1.0
    }

    /// Returns the minimum budget, in seconds: one mean run on each core.
    fn min_budget_secs(&self, run_times: &RunTimes) -> f64 {
        self.cores * run_times.mean_secs()
    }

    /// Returns the maximum budget, in seconds: the longest run on each core and for each pending request, but at least
    /// the minimum budget.
    fn max_budget_secs(&self, pending: usize, run_times: &RunTimes) -> f64 {
        let max_budget = (pending as f64 + self.cores) * run_times.largest_secs();
        max_budget.max(self.min_budget_secs(run_times))
    }

    /// Updates the MRT and the budget by one completion.
    pub(super) fn on_completion(
        &mut self,
        now: Timestamp,
        completion: Completion,
        run_times: &RunTimes,
    ) {
        let mrt = &mut self.handlers[completion.handler.index()].mrt;
        mrt.record(completion.response.as_secs_f64());
        let min_budget = self.min_budget_secs(run_times);
        let max_budget = self.max_budget_secs(completion.pending, run_times);
        let latency_ratio = self.worst_latency_ratio();
        self.integral_step(now, latency_ratio, run_times);
        self.budget_secs = self.budget_secs.clamp(min_budget, max_budget);
        let relative_budget = self.budget_secs / min_budget;
        if let Some(optimum) = self.lq_reset.on_completion(latency_ratio, relative_budget) {
            self.budget_secs = (optimum * min_budget).clamp(min_budget, max_budget);
        }
    }

    /// Moves the budget against the control error. Completions at the same instant, as after a pause, make only one
    /// step, because more steps would leave a lasting cut.
    fn integral_step(&mut self, now: Timestamp, latency_ratio: f64, run_times: &RunTimes) {
        if now <= self.last_step {
            return;
        }
        self.last_step = now;
        let error = (1.0 - latency_ratio).max(-MAX_CONTROL_ERROR);
        self.budget_secs += INTEGRAL_GAIN * error * run_times.mean_secs();
    }

    /// Moves an idle handler's MRT one tick closer to its mean run time. Otherwise, a handler whose requests are all
    /// rejected would never recover from a cut.
    pub(super) fn relax_idle(&mut self, handler: HandlerId, run_times: &RunTimes) {
        let latency = &mut self.handlers[handler.index()];
        let max_rest = latency.setpoint_secs * MAX_IDLE_MRT_IN_SETPOINTS;
        let rest = run_times.mean_secs_of(handler).min(max_rest);
        latency.mrt.relax_towards(rest, IDLE_MRT_DECAY_FACTOR);
    }

    /// Returns the latency objective of a handler in this tier, in seconds.
    pub(super) fn objective_secs(&self, handler: HandlerId) -> f64 {
        self.handlers[handler.index()].setpoint_secs / SETPOINT_IN_OBJECTIVES
    }

    /// Returns the EqResv allowance of the first of the queued requests: an equal share of the budget for each, or, if
    /// larger, all that the others leave when each of them takes a mean run time.
    pub(super) fn allowance(&self, queued: usize, run_times: &RunTimes) -> Duration {
        let queued_per_core = (queued as f64 / self.cores).max(1.0);
        let equal_share = self.budget_secs / queued_per_core;
        let reserved_for_others = (queued_per_core - 1.0) * run_times.mean_secs();
        Duration::from_secs_f64(equal_share.max(self.budget_secs - reserved_for_others))
    }
}
