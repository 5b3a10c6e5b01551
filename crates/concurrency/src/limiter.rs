//! [`ConcurrencyLimiter`]: receives the events of requests and hands out ceilings.

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

/// Time after which ceilings are computed again although nothing changed.
const CEILING_REFRESH_INTERVAL: Duration = Duration::from_millis(20);

/// Concurrency limits by pool of handlers and by upstream.
///
/// Given each event of each request. Hands out [`Ceiling`]s, which the caller passes to the
/// decision module; never starts, rejects or ends a request itself.
pub struct ConcurrencyLimiter {
    cores: usize,
    requests: RequestTable,
    pools: Vec<Pool>,
    runs_recorded_at: Timestamp,
    upstreams: UpstreamLimits,
    reserve: Option<ReserveState>,
    ceilings: Vec<Ceiling>,
    ceilings_computed_at: Timestamp,
    /// Something changed since the ceilings were computed.
    changed: bool,
}

impl ConcurrencyLimiter {
    /// Creates a limiter for handlers with these calls, in the order of the settings. `seed`
    /// determines the jitter of backoffs.
    ///
    /// # Panics
    ///
    /// [`ConcurrencyLimiter::ceilings`] panics if `config` names a handler beyond `call_requirements`.
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

    /// Moves a request to another stage; a new one is added. Ignored for a handler that is not in
    /// the settings.
    pub fn set_stage(&mut self, now: Timestamp, id: u64, handler: HandlerId, stage: RequestStage) {
        if !self.requests.handlers().contains(handler) {
            return;
        }
        self.changed = true;
        let request = self.requests.set_stage(now, id, handler, stage);
        let Some(limit) = self.upstreams.limit_of(request.handler()) else {
            return;
        };
        // A call that is still in flight without an outcome was ended by this server.
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

    /// Registers that this process was stalled until now: the latency of calls in flight is no
    /// evidence.
    pub fn process_stalled(&mut self, now: Timestamp) {
        self.upstreams.record_stall(now);
    }

    /// Registers the end of a request's call. After a success its run goes on, otherwise it waits
    /// for a call again. Ignored for a request without a call in flight.
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

    /// Registers that a run goes on without its call, for lack of calls or of time.
    pub fn call_skipped(&mut self, now: Timestamp, id: u64) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let handler = request.handler();
        self.requests.record_skipped_call(now, handler);
        self.set_stage(now, id, handler, RequestStage::Running);
    }

    /// Removes a request: its run ended, or it was answered or abandoned before it started.
    pub fn request_finished(&mut self, now: Timestamp, id: u64) {
        self.call_finished(now, id, Completion::Cancelled);
        self.changed |= self.requests.remove(now, id);
    }

    /// Registers that a request was answered while its run goes on. A run that waits for a call is
    /// expected to end.
    pub fn request_answered(&mut self, now: Timestamp, id: u64) {
        self.requests.record_answered(now, id);
    }

    /// Number of runs that the engine does not end and that occupy no permit any more.
    pub fn hung(&self) -> usize {
        self.requests.handlers().total(|l| l.hung)
    }

    /// Number of requests in flight.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.requests.len() == 0
    }

    /// The limit on calls and the calls in flight, summed over the upstreams; `None` where calls
    /// have no limit.
    pub fn call_usage(&self) -> Option<CallUsage> {
        let each = self.upstreams.iter().map(call_usage_of);
        each.reduce(|sum, next| CallUsage {
            limit: sum.limit + next.limit,
            in_flight: sum.in_flight + next.in_flight,
        })
    }

    /// The same for each upstream.
    pub fn upstream_usage(&self) -> impl Iterator<Item = UpstreamUsage> {
        self.upstreams.iter().map(|upstream| UpstreamUsage {
            handlers: upstream.handlers().to_vec(),
            calls: call_usage_of(upstream),
        })
    }

    /// Use of each pool, with the ceilings handed out last; empty before the first.
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

    /// Number of times that a limit changed.
    pub fn change_count(&self) -> u64 {
        self.upstreams.change_count()
    }

    /// Takes the changes of limits since the last time.
    pub fn take_limit_changes(&mut self) -> LimitChanges {
        self.upstreams.take_changes()
    }

    /// The handlers that own the reserve now.
    pub fn reserved(&self) -> Vec<HandlerId> {
        let reserve = self.reserve.as_ref();
        reserve.map_or(vec![], |r| r.owners().to_vec())
    }

    /// Whether the ceilings handed out last may have changed.
    pub fn is_stale(&self, now: Timestamp) -> bool {
        let expires_at = self.ceilings_computed_at + CEILING_REFRESH_INTERVAL;
        self.changed || now >= expires_at || now < self.ceilings_computed_at
    }

    /// Computes the current ceilings, where the decision module allows `workers` concurrent runs:
    /// that of all handlers, one for each pool, that of the handlers outside the reserve (if there
    /// is one), and one for each upstream (if there are several).
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
