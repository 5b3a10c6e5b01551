//! Tenants' quotas: requests past a tenant's rate on this server lose weight. Owns the measured rates.

use super::*;

const RATE_WINDOW: f64 = 5.0; // Seconds of averaging: a handful of the smallest tenant's requests (ours).

/// One tenant's quota in requests per second, and its measured rate.
struct TenantRate {
    quota: f64,
    measured: EventRate,
}

pub(super) struct TenantQuotas {
    tenants: Vec<TenantRate>,
    over_quota_weight: f64,
}

impl TenantQuotas {
    pub(super) fn new(
        now: Timestamp,
        tenants: &[Tenant],
        position: &FleetPosition,
    ) -> TenantQuotas {
        let quota = |t: &Tenant| t.requests_per_second / f64::from(position.servers.max(1));
        let rate = |t: &Tenant| TenantRate {
            quota: quota(t),
            measured: EventRate::new(now),
        };
        let tenants = tenants.iter().map(rate).collect();
        TenantQuotas {
            tenants,
            over_quota_weight: position.over_quota_weight,
        }
    }
}

impl Decider {
    /// Sets the rate that this server may take of a tenant's fleet-wide quota.
    pub fn set_tenant_rate(&mut self, tenant: TenantId, requests_per_second: f64) {
        if let Some(tenant) = self.tenants.tenants.get_mut(tenant.index()) {
            tenant.quota = requests_per_second;
        }
    }

    /// Weighs a request: its handler's weight, less what its tenant sends past its quota, per expected work.
    pub(super) fn weigh(
        &mut self,
        now: Timestamp,
        r: RequestSlot,
        _: &mut dyn Actions,
    ) -> ControlFlow<()> {
        let Request {
            handler, tenant, ..
        } = self.requests[r];
        let mut weight = self.handlers[handler.index()].weight;
        if let Some(tenant) = self.tenants.tenants.get_mut(tenant.index()) {
            let within = (tenant.quota / tenant.measured.record(now, RATE_WINDOW)).min(1.0);
            weight *= within + (1.0 - within) * self.tenants.over_quota_weight;
        }
        let relative_work = self.budget.handlers[handler.index()].mean_run / self.budget.mean_run;
        let work = if self.weight_by_work {
            1.0
        } else {
            relative_work
        };
        self.requests[r].weight = weight / work.max(1e-3);
        Continue(())
    }
}
