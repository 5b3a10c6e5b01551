//! The limits that the operator sets beside the decision module's own: concurrency limits by pool, and quotas
//! that the whole fleet shares.
//!
//! Owns: the concurrency limiter and the quota gate, where there are any. Is given: each stage of each request.
//! Hands ceilings to the decision module. Never rejects or ends a request.

use super::concurrency_limits;
use super::quota_gate::QuotaGate;
use super::request_observer::RequestObserver;
use madderbay::decide::Decider;
use madderbay::interface::{HandlerId, TenantId};
use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::ConcurrencyLimiter;

/// The operator's limits; without any, nothing binds but the decision module's own.
#[derive(Default)]
pub(super) struct RequestLimits {
    concurrency: Option<ConcurrencyLimiter>,
    quota_gate: Option<QuotaGate>,
}

impl RequestLimits {
    /// Sets the concurrency limits by pool.
    pub(super) fn set_concurrency(&mut self, limiter: ConcurrencyLimiter) {
        self.concurrency = Some(limiter);
    }

    /// Sets the quotas that the fleet shares.
    pub(super) fn set_quota_gate(&mut self, gate: QuotaGate) {
        self.quota_gate = Some(gate);
    }

    /// Whether calls are under a quota of the fleet.
    pub(super) fn has_quotas(&self) -> bool {
        self.quota_gate.is_some()
    }

    /// Notifies whoever follows requests: the limiter first, then the gate.
    pub(super) fn observe(&mut self, notify: impl Fn(&mut dyn RequestObserver)) {
        if let Some(limiter) = &mut self.concurrency {
            notify(limiter);
        }
        if let Some(gate) = &mut self.quota_gate {
            notify(gate);
        }
    }

    /// A request of a tenant was read.
    pub(super) fn count_request(&self, handler: HandlerId, tenant: TenantId) {
        if let Some(gate) = &self.quota_gate {
            gate.count_request(handler, tenant);
        }
    }

    /// Takes quota for one more call of a handler; false if none is available.
    pub(super) fn acquire_call(&mut self, handler: HandlerId) -> bool {
        match &mut self.quota_gate {
            Some(gate) => gate.try_start_call(handler),
            None => true,
        }
    }

    /// The timeout of a call, shortened to that of the handler's quota.
    pub(super) fn call_timeout(&self, handler: HandlerId, timeout: Duration) -> Duration {
        match &self.quota_gate {
            Some(gate) => gate.max_call_wait(handler, timeout),
            None => timeout,
        }
    }

    /// Hands quotas, tenants' rates and ceilings to the decision module, those that may have changed.
    pub(super) fn update_decider(&mut self, now: Timestamp, decider: &mut Decider) {
        let quota_changed = self.update_quotas(now, decider);
        let limiter = self.concurrency.as_ref();
        let limiter_stale = limiter.is_some_and(|limiter| limiter.is_stale(now));
        if quota_changed || limiter_stale {
            self.update_ceilings(now, decider);
        }
    }

    /// Hands over what the fleet's quotas allow; gives whether that changed.
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

    /// Hands over the ceilings of all pools and quotas.
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

    /// Logs how the limit on calls has changed since the last time.
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

    /// The counters of the pools, a line each.
    pub(super) fn counters(&self) -> String {
        self.concurrency
            .as_ref()
            .map_or(String::new(), concurrency_limits::counters)
    }
}
