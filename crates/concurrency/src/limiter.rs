//! [`ConcurrencyLimiter`], the entry point of the crate: receives the events of requests and hands
//! out ceilings.

use crate::ceilings::CeilingInputs;
use crate::config::ConcurrencyConfig;
use crate::handlers::HandlerLoad;
use crate::limit::{Completion, LimitChanges};
use crate::pool::{Pool, pools_with_default};
use crate::request_stage::RequestStage;
use crate::requests::RequestTable;
use crate::reserve::ReserveState;
use crate::upstream::{UpstreamLimit, UpstreamLimits};
use crate::usage::{CallUsage, PoolUsage, UpstreamUsage};
use madderbay::interface::{CallRequirement, Ceiling, HandlerId};
use madderbay::time::{Duration, Timestamp};

/// Time after which ceilings are recomputed even if nothing changed.
const CEILING_REFRESH_INTERVAL: Duration = Duration::from_millis(20);

/// Concurrency limits by pool of handlers and by upstream.
///
/// The limiter is given each event of each request and hands out [`Ceiling`]s, which the caller
/// passes to the decision module. It never starts, rejects or ends a request itself.
pub struct ConcurrencyLimiter {
    cores: usize,
    requests: RequestTable,
    pools: Vec<Pool>,
    runs_recorded_at: Timestamp,
    upstreams: UpstreamLimits,
    reserve: Option<ReserveState>,
    ceilings: Vec<Ceiling>,
    ceilings_computed_at: Timestamp,
    /// Whether an event since the last computation may have changed the ceilings.
    changed: bool,
}

impl ConcurrencyLimiter {
    /// Creates a limiter. `call_requirements` lists the call requirement of each handler, in the
    /// order of the settings; `seed` determines the jitter of backoffs.
    ///
    /// # Panics
    ///
    /// [`ConcurrencyLimiter::ceilings`] panics if `config` names a handler beyond
    /// `call_requirements`.
    pub fn new(
        now: Timestamp,
        seed: u64,
        config: ConcurrencyConfig,
        call_requirements: &[CallRequirement],
    ) -> ConcurrencyLimiter {
        ConcurrencyLimiter {
            cores: config.cores,
            requests: RequestTable::new(call_requirements),
            upstreams: UpstreamLimits::new(now, seed, &config, call_requirements),
            reserve: config.reserve.as_ref().map(|r| ReserveState::new(now, r)),
            pools: pools_with_default(config.pools, call_requirements),
            runs_recorded_at: now,
            ceilings: vec![],
            ceilings_computed_at: now,
            changed: true,
        }
    }

    /// Moves a request to another stage; adds the request if it is new. Ignored for a handler that
    /// is not in the settings.
    pub fn set_stage(&mut self, now: Timestamp, id: u64, handler: HandlerId, stage: RequestStage) {
        if !self.requests.handlers().contains(handler) {
            return;
        }
        self.changed = true;
        let request = self.requests.set_stage(now, id, handler, stage);
        let Some(limit) = self.upstreams.limit_of(request.handler()) else {
            return;
        };
        // A call in flight whose outcome was not reported was ended by this server.
        if let Some(permit) = request.take_permit() {
            limit.release(now, permit, Completion::Cancelled, false);
        }
        match stage {
            RequestStage::Calling => request.set_permit(limit.acquire(now)),
            RequestStage::AwaitingCall if limit.in_flight() >= limit.allowed_in_flight() => {
                limit.record_saturation();
            }
            RequestStage::AwaitingCall | RequestStage::Queued | RequestStage::Running => {}
        }
    }

    /// Sets this server's quota of concurrent calls.
    pub fn set_call_quota(&mut self, quota: f64) {
        self.changed |= self.upstreams.set_quota(quota);
    }

    /// Registers that this process was stalled until now. The latency of the calls in flight is
    /// then no evidence about the upstream.
    pub fn process_stalled(&mut self, now: Timestamp) {
        self.upstreams.record_stall(now);
    }

    /// Registers the end of a request's call. After a success the run continues; otherwise it waits
    /// for another call. Ignored for a request without a call in flight.
    pub fn call_finished(&mut self, now: Timestamp, id: u64, completion: Completion) {
        let next = if completion == Completion::Success {
            RequestStage::Running
        } else {
            RequestStage::AwaitingCall
        };
        let Some(request) = self.requests.end_call(id, next) else {
            return;
        };
        self.changed = true;
        let handler = request.handler();
        if let Some(permit) = request.take_permit() {
            self.upstreams.release(now, handler, permit, completion);
        }
    }

    /// Registers that a run continues without its call, because no call was allowed or time was
    /// short.
    pub fn call_skipped(&mut self, now: Timestamp, id: u64) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let handler = request.handler();
        self.requests.record_skipped_call(now, handler);
        self.set_stage(now, id, handler, RequestStage::Running);
    }

    /// Removes a request whose run ended, or that was answered or abandoned before it started.
    pub fn request_finished(&mut self, now: Timestamp, id: u64) {
        self.call_finished(now, id, Completion::Cancelled);
        self.changed |= self.requests.remove(now, id);
    }

    /// Registers that a request was answered while its run continues. If the run waits for a call,
    /// the engine is expected to end it.
    pub fn request_answered(&mut self, now: Timestamp, id: u64) {
        self.requests.record_answered(now, id);
    }

    /// Returns the number of hung runs: the engine does not end them, and they no longer occupy a
    /// permit.
    pub fn hung(&self) -> usize {
        self.requests.handlers().total(|l| l.hung)
    }

    /// Returns the number of requests in flight, queued ones included.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Reports whether no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.requests.len() == 0
    }

    /// Returns the limit on calls and the number of calls in flight, summed over the upstreams;
    /// `None` if calls are not limited.
    pub fn call_usage(&self) -> Option<CallUsage> {
        let each = self.upstreams.iter().map(call_usage_of);
        each.reduce(|sum, next| CallUsage {
            limit: sum.limit + next.limit,
            in_flight: sum.in_flight + next.in_flight,
        })
    }

    /// Returns the handlers, the limit and the number of calls in flight of each upstream.
    pub fn upstream_usage(&self) -> impl Iterator<Item = UpstreamUsage> {
        self.upstreams.iter().map(|upstream| UpstreamUsage {
            handlers: upstream.handlers().to_vec(),
            calls: call_usage_of(upstream),
        })
    }

    /// Returns the use of each pool, with the ceilings handed out last; empty before the first
    /// ceilings are computed.
    pub fn pool_usage(&self) -> impl Iterator<Item = PoolUsage<'_>> {
        let handlers = self.requests.handlers();
        let pool_ceilings = self.ceilings.get(1..).unwrap_or_default();
        let pools = self.pools.iter().zip(pool_ceilings);
        pools.map(|(pool, ceiling)| PoolUsage {
            name: &pool.name,
            queued: handlers.sum(&pool.handlers, |l| l.queued),
            runs: handlers.sum(&pool.handlers, HandlerLoad::runs),
            calls: handlers.sum(&pool.handlers, |l| l.calling),
            max_runs: ceiling.runs,
            max_calls: ceiling.calls,
        })
    }

    /// Returns how many times a limit on calls changed.
    pub fn change_count(&self) -> u64 {
        self.upstreams.change_count()
    }

    /// Removes and returns the limit changes recorded since the previous call.
    pub fn take_limit_changes(&mut self) -> LimitChanges {
        self.upstreams.take_changes()
    }

    /// Returns the handlers that currently own the reserve.
    pub fn reserved(&self) -> Vec<HandlerId> {
        let reserve = self.reserve.as_ref();
        reserve.map_or(vec![], |r| r.owners().to_vec())
    }

    /// Reports whether the ceilings handed out last may be out of date.
    pub fn is_stale(&self, now: Timestamp) -> bool {
        let expires_at = self.ceilings_computed_at + CEILING_REFRESH_INTERVAL;
        self.changed || now >= expires_at || now < self.ceilings_computed_at
    }

    /// Computes the current ceilings, given that the decision module allows `workers` concurrent
    /// runs.
    ///
    /// Returns the ceiling of all handlers, one for each pool, one for the handlers outside the
    /// reserve (if there is a reserve), and one for each upstream (if there are several).
    pub fn ceilings(&mut self, now: Timestamp, workers: f64) -> &[Ceiling] {
        self.requests.release_hung_runs(now);
        self.changed = false;
        self.ceilings_computed_at = now;
        self.record_pool_runs(now);
        self.upstreams.tick(now);
        if let Some(reserve) = &mut self.reserve {
            reserve.choose_owner(now, self.requests.handlers());
        }
        let inputs = CeilingInputs {
            now,
            workers: (workers as usize).max(1),
            cores: self.cores,
            handlers: self.requests.handlers(),
            pools: &self.pools,
            upstreams: &self.upstreams,
            reserve: self.reserve.as_ref(),
        };
        self.ceilings = inputs.compute();
        &self.ceilings
    }

    fn record_pool_runs(&mut self, now: Timestamp) {
        let elapsed = now - self.runs_recorded_at;
        self.runs_recorded_at = now;
        let handlers = self.requests.handlers();
        for pool in &mut self.pools {
            pool.record_runs(elapsed, handlers.sum(&pool.handlers, HandlerLoad::runs));
        }
    }
}

fn call_usage_of(upstream: &UpstreamLimit) -> CallUsage {
    let limit = upstream.limit();
    CallUsage {
        limit: limit.limit(),
        in_flight: limit.in_flight(),
    }
}
