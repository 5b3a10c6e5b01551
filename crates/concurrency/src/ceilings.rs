//! Computes the ceilings that the decision module applies.
//!
//! [`CeilingInputs`] borrows the state of the limiter and divides calls and runs among the pools,
//! without changing any limit or counter.

use crate::UNLIMITED;
use crate::fair_share::{self, Demand};
use crate::handlers::{HandlerLoad, HandlerTable};
use crate::pool::Pool;
use crate::reserve::ReserveState;
use crate::upstream::UpstreamLimits;
use madderbay::interface::{CallRequirement, Ceiling, HandlerId};
use madderbay::time::{Duration, Timestamp};

/// Time for which a skipped call counts as demand, so that its pool is allocated calls.
const SKIPPED_CALL_DEMAND_PERIOD: Duration = Duration::from_millis(500);
/// Upper bound on the reported interval between two starts of a pool; a bottleneck that is slower
/// than this may have cleared by then.
const MAX_START_INTERVAL: Duration = Duration::from_millis(2_000);
/// Lower bound on the sum of weights; avoids a division by zero.
const MIN_WEIGHT_SUM: f64 = 1e-9;

/// The handlers that call one upstream, and the number of calls that they may have in flight.
struct UpstreamCapacity<'a> {
    handlers: &'a [HandlerId],
    allowed: usize,
}

/// State of the limiter from which ceilings are computed.
pub(crate) struct CeilingInputs<'a> {
    pub(crate) now: Timestamp,
    /// Number of concurrent runs that the decision module allows; at least 1.
    pub(crate) workers: usize,
    pub(crate) cores: usize,
    pub(crate) handlers: &'a HandlerTable,
    pub(crate) pools: &'a [Pool],
    pub(crate) upstreams: &'a UpstreamLimits,
    pub(crate) reserve: Option<&'a ReserveState>,
}

impl CeilingInputs<'_> {
    /// Returns the ceiling of all handlers, one for each pool, one for the handlers outside the
    /// reserve (if there is a reserve), and one for each upstream (if there are several).
    pub(crate) fn compute(&self) -> Vec<Ceiling> {
        let upstreams = self.upstream_capacities();
        let total_calls = upstreams.iter().map(|u| u.allowed).reduce(|a, b| a + b);
        let total_calls = total_calls.unwrap_or(UNLIMITED);
        let all: Vec<HandlerId> = self.handlers.ids().collect();
        let mut ceilings = vec![calls_only(&all, total_calls)];
        ceilings.extend(self.pool_ceilings(&upstreams));
        if let Some(reserve) = self.reserve {
            ceilings.push(reserve.ceiling_outside_reserve(
                self.handlers,
                self.workers,
                total_calls,
            ));
        }
        if upstreams.len() > 1 {
            let each = upstreams.iter();
            ceilings.extend(each.map(|u| calls_only(u.handlers, u.allowed)));
        }
        ceilings
    }

    fn upstream_capacities(&self) -> Vec<UpstreamCapacity<'_>> {
        let upstreams = self.upstreams.iter();
        let capacities = upstreams.map(|upstream| UpstreamCapacity {
            handlers: upstream.handlers(),
            allowed: upstream.limit().allowed_in_flight(),
        });
        capacities.collect()
    }

    fn pool_ceilings(&self, upstreams: &[UpstreamCapacity<'_>]) -> Vec<Ceiling> {
        let calls = self.call_ceilings(upstreams);
        let runs = self.run_ceilings(&calls);
        let ceiling = |(index, pool): (usize, &Pool)| Ceiling {
            handlers: pool.handlers.clone(),
            runs: runs[index],
            calls: calls[index],
            start_interval: self.start_interval(pool),
        };
        self.pools.iter().enumerate().map(ceiling).collect()
    }

    /// Returns the number of calls that each pool may have in flight, summed over the upstreams.
    fn call_ceilings(&self, upstreams: &[UpstreamCapacity<'_>]) -> Vec<usize> {
        if upstreams.is_empty() {
            let demand = |pool| self.call_demand(pool, |_| true).max;
            return self.pools.iter().map(demand).collect();
        }
        let mut ceilings = vec![0usize; self.pools.len()];
        for upstream in upstreams {
            let demand = |pool| self.call_demand(pool, |h| upstream.handlers.contains(h));
            let demands: Vec<Demand> = self.pools.iter().map(demand).collect();
            let shares = fair_share::ceilings(upstream.allowed, &demands);
            for (sum, calls) in ceilings.iter_mut().zip(shares) {
                *sum = sum.saturating_add(calls);
            }
        }
        for (calls, pool) in ceilings.iter_mut().zip(self.pools) {
            *calls = (*calls).min(pool.max_calls.unwrap_or(UNLIMITED));
        }
        ceilings
    }

    /// Returns the demand of a pool for calls, counting only the handlers for which `includes` is
    /// true.
    fn call_demand(&self, pool: &Pool, includes: impl Fn(&HandlerId) -> bool) -> Demand {
        let included = || pool.handlers.iter().filter(|h| includes(h));
        let wanted = included().map(|h| self.wanted_calls(self.handlers.get(*h)));
        let makes_calls = included().any(|h| self.handlers.get(*h).makes_calls());
        Demand {
            weight: pool.call_weight,
            wanted: wanted.sum(),
            max: if makes_calls {
                pool.max_calls.unwrap_or(UNLIMITED)
            } else {
                0
            },
        }
    }

    /// Returns the number of calls that a handler has in flight, waits for, or is expected to make.
    /// Each run that requires a call will make one, and so will each queued request. Runs with an
    /// optional call are counted only if a run of the handler just skipped its call: then every run
    /// that executes is counted, and one more call.
    fn wanted_calls(&self, load: &HandlerLoad) -> usize {
        let just_skipped = load
            .call_skipped_at
            .is_some_and(|at| self.now < at + SKIPPED_CALL_DEMAND_PERIOD && self.now >= at);
        let following = match load.call_requirement {
            CallRequirement::Required => load.running + load.queued,
            CallRequirement::Optional if just_skipped => load.running + 1,
            CallRequirement::Optional | CallRequirement::Never => 0,
        };
        load.calling + load.awaiting_call + following
    }

    /// Returns the number of runs that each pool may have: its runs that wait for a call, which are
    /// bounded by the ceilings on calls, plus its part by weight of the remaining workers, whose
    /// runs the cores execute.
    fn run_ceilings(&self, calls: &[usize]) -> Vec<usize> {
        let weight_sum: f64 = self.pools.iter().map(|p| p.weight).sum();
        let blocked_runs: Vec<usize> = self
            .pools
            .iter()
            .map(|p| self.runs_blocked_on_calls(p))
            .collect();
        let remaining = self
            .workers
            .saturating_sub(blocked_runs.iter().sum())
            .max(1);
        let demand = |(pool, calls): (&Pool, &usize)| self.run_demand(pool, *calls, weight_sum);
        let demands: Vec<Demand> = self.pools.iter().zip(calls).map(demand).collect();
        let shares = fair_share::ceilings(remaining, &demands);
        blocked_runs
            .iter()
            .zip(shares)
            .map(|(blocked, runs)| blocked + runs)
            .collect()
    }

    /// Returns the demand of a pool for the workers whose runs the cores execute. If every run of
    /// the pool requires a call, the demand is bounded by the number of allowed calls plus the runs
    /// that its part of the cores executes meanwhile: further runs would only wait for a call.
    fn run_demand(&self, pool: &Pool, calls: usize, weight_sum: f64) -> Demand {
        let required =
            |h: &HandlerId| self.handlers.get(*h).call_requirement == CallRequirement::Required;
        let bound = if pool.handlers.iter().all(required) {
            let weight_sum = weight_sum.max(MIN_WEIGHT_SUM);
            let cores = (self.cores as f64 * pool.weight / weight_sum).ceil();
            calls.saturating_add(cores.max(1.0) as usize)
        } else {
            UNLIMITED
        };
        let max_runs = pool.max_runs.unwrap_or(UNLIMITED).min(bound).max(1);
        Demand {
            weight: pool.weight,
            wanted: self.handlers.sum(&pool.handlers, |l| l.queued + l.running),
            max: max_runs.saturating_sub(self.runs_blocked_on_calls(pool)),
        }
    }

    fn runs_blocked_on_calls(&self, pool: &Pool) -> usize {
        self.handlers
            .sum(&pool.handlers, HandlerLoad::runs_blocked_on_calls)
    }

    /// Returns the expected interval between two starts of a pool whose requests are queued
    /// although workers are free. A start becomes possible whenever one of its recent runs ends,
    /// and each run ends after the mean run duration. Returns zero if the ceilings are not what
    /// delays the pool.
    fn start_interval(&self, pool: &Pool) -> Duration {
        let runs = self.handlers.sum(&pool.handlers, HandlerLoad::runs);
        let queued = self.handlers.sum(&pool.handlers, |l| l.queued);
        let workers_are_busy = self.handlers.total(HandlerLoad::runs) + 1 > self.workers;
        if queued == 0 || workers_are_busy || runs == 0 {
            return Duration::ZERO;
        }
        let loads = pool.handlers.iter().map(|h| self.handlers.get(*h));
        let run_secs = loads.map(|l| l.mean_run_secs.unwrap_or(0.0) * l.runs() as f64);
        let mean_secs = run_secs.sum::<f64>() / runs as f64;
        Duration::from_secs_f64(mean_secs / pool.recent_runs().max(1.0)).min(MAX_START_INTERVAL)
    }
}

/// Returns a ceiling on calls that leaves runs unlimited.
fn calls_only(handlers: &[HandlerId], calls: usize) -> Ceiling {
    Ceiling {
        handlers: handlers.to_vec(),
        runs: UNLIMITED,
        calls,
        start_interval: Duration::ZERO,
    }
}
