//! The limits that the operator sets in addition to the decision module's own: concurrency limits
//! of pools, and quotas that the whole fleet shares.
//!
//! [`RequestLimits`] owns the concurrency limiter and the quota gate, if there are any, notifies
//! them of each stage of each request, and passes their ceilings to the decision module. It never
//! rejects or ends a request.

use super::concurrency_limits;
use super::quota_gate::QuotaGate;
use super::request_observer::RequestObserver;
use madderbay::decide::Decider;
use madderbay::interface::{HandlerId, TenantId};
use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::ConcurrencyLimiter;

/// The operator's limits. Without any, only the decision module's own limits apply.
#[derive(Default)]
pub(super) struct RequestLimits {
    concurrency: Option<ConcurrencyLimiter>,
    quota_gate: Option<QuotaGate>,
}

impl RequestLimits {
    /// Sets the concurrency limits of pools.
    pub(super) fn set_concurrency(&mut self, limiter: ConcurrencyLimiter) {
        self.concurrency = Some(limiter);
    }

    /// Sets the quotas that the fleet shares.
    pub(super) fn set_quota_gate(&mut self, gate: QuotaGate) {
        self.quota_gate = Some(gate);
    }

    /// Reports whether calls are under a quota of the fleet.
    pub(super) fn has_quotas(&self) -> bool {
        self.quota_gate.is_some()
    }

    /// Notifies the observers of requests: first the limiter, then the gate.
    pub(super) fn observe(&mut self, notify: impl Fn(&mut dyn RequestObserver)) {
        if let Some(limiter) = &mut self.concurrency {
            notify(limiter);
        }
        if let Some(gate) = &mut self.quota_gate {
            notify(gate);
        }
    }

    /// Counts a request of a tenant that was read.
    pub(super) fn count_request(&self, handler: HandlerId, tenant: TenantId) {
        if let Some(gate) = &self.quota_gate {
            gate.count_request(handler, tenant);
        }
    }

    /// Acquires quota for one more call of a handler. Returns `false` if none is available.
    pub(super) fn acquire_call(&mut self, handler: HandlerId) -> bool {
        match &mut self.quota_gate {
            Some(gate) => gate.try_start_call(handler),
            None => true,
        }
    }

    /// Returns the timeout of a call, shortened to that of the handler's quota.
    pub(super) fn call_timeout(&self, handler: HandlerId, timeout: Duration) -> Duration {
        match &self.quota_gate {
            Some(gate) => gate.max_call_wait(handler, timeout),
            None => timeout,
        }
    }

    /// Passes quotas, tenants' rates and ceilings to the decision module if they may have changed.
    pub(super) fn update_decider(&mut self, now: Timestamp, decider: &mut Decider) {
        let quota_changed = self.update_quotas(now, decider);
        let limiter = self.concurrency.as_ref();
        let limiter_stale = limiter.is_some_and(|limiter| limiter.is_stale(now));
        if quota_changed || limiter_stale {
            self.update_ceilings(now, decider);
        }
    }

    /// Passes the fleet's quotas and the tenants' rates to the decision module. Returns whether the
    /// quotas have changed.
    fn update_quotas(&mut self, now: Timestamp, decider: &mut Decider) -> bool {
        let Some(gate) = &mut self.quota_gate else {
            return false;
        };
        let changed = gate.update(now);
        if changed {
            decider.set_upstream_quota(now, gate.total_quota());
            if let Some(limiter) = &mut self.concurrency {
                limiter.set_call_quota(gate.total_quota());
            }
        }
        for rate in gate.tenant_rates(now) {
            decider.set_tenant_rate(rate.tenant, rate.per_second);
        }
        changed
    }

    /// Passes the ceilings of all pools and quotas to the decision module.
    fn update_ceilings(&mut self, now: Timestamp, decider: &mut Decider) {
        let workers = decider.status().concurrency_limit;
        let mut ceilings = match &mut self.concurrency {
            Some(limiter) => limiter.ceilings(now, workers).to_vec(),
            None => vec![],
        };
        ceilings.extend(self.quota_gate.iter().flat_map(QuotaGate::ceilings));
        decider.set_ceilings(&ceilings);
        self.log_limit_changes();
    }

    /// Logs the changes of the limit on calls since the last time.
    fn log_limit_changes(&mut self) {
        let Some(limiter) = &mut self.concurrency else {
            return;
        };
        let limit_changes = limiter.take_limit_changes();
        for change in limit_changes.changes {
            log::info!("concurrency: {change}");
        }
        let dropped = limit_changes.dropped;
        if dropped > 0 {
            log::info!("concurrency: changes not logged, count={dropped}");
        }
    }

    /// Returns the counters of the pools, one line each.
    pub(super) fn counters(&self) -> String {
        self.concurrency
            .as_ref()
            .map_or(String::new(), concurrency_limits::counters)
    }
}
