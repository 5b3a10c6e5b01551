//! Tenants' quotas, and the priority weight of a request.
//!
//! [`TenantQuotas`] keeps the quota and the measured rate of each tenant on this server, in requests per second.
//! Requests over their tenant's quota are not rejected here, but lose weight.

use crate::estimators::EventRate;
use crate::interface::{FleetPosition, Tenant, TenantId};
use crate::time::Timestamp;

/// Time over which a tenant's rate is averaged, in seconds; covers a handful of requests of the smallest tenant.
const RATE_WINDOW_SECS: f64 = 5.0;
/// Lower bound of the work of a request, in mean run times; avoids a division by zero.
const MIN_RELATIVE_WORK: f64 = 1e-3;

/// The quota and the measured rate of one tenant on this server.
struct TenantRate {
    quota_per_second: f64,
    measured: EventRate,
}

/// The tenants' quotas on this server.
pub(super) struct TenantQuotas {
    tenants: Vec<TenantRate>,
    over_quota_factor: f64,
    /// Whether the weights of handlers are already given per unit of work.
    weight_is_per_work: bool,
}

impl TenantQuotas {
    /// Starts with an equal part of each tenant's quota for each server of the fleet.
    pub(super) fn new(
        now: Timestamp,
        tenants: &[Tenant],
        position: &FleetPosition,
    ) -> TenantQuotas {
        let servers = f64::from(position.servers.max(1));
        let rate = |tenant: &Tenant| TenantRate {
            quota_per_second: tenant.requests_per_second / servers,
            measured: EventRate::new(now),
        };
        TenantQuotas {
            tenants: tenants.iter().map(rate).collect(),
            over_quota_factor: position.over_quota_weight,
            weight_is_per_work: position.weight_by_work,
        }
    }

    /// Sets the part of a tenant's quota that this server may use, in requests per second.
    pub(super) fn set_quota(&mut self, tenant: TenantId, requests_per_second: f64) {
        if let Some(rate) = self.tenants.get_mut(tenant.index()) {
            rate.quota_per_second = requests_per_second;
        }
    }

    /// Counts a request and returns its weight: the weight of its handler, reduced if its tenant is over its quota, per
    /// unit of expected work. `relative_work` is the mean run time of the handler, relative to that of all handlers.
    pub(super) fn weigh(
        &mut self,
        now: Timestamp,
        tenant: TenantId,
        handler_weight: f64,
        relative_work: f64,
    ) -> f64 {
        let weight = handler_weight * self.quota_factor(now, tenant);
        let work = if self.weight_is_per_work {
            1.0
        } else {
            relative_work
        };
        weight / work.max(MIN_RELATIVE_WORK)
    }

    /// Counts a request and returns the factor on its weight: 1 within the tenant's quota, less beyond it.
    fn quota_factor(&mut self, now: Timestamp, tenant: TenantId) -> f64 {
        let Some(rate) = self.tenants.get_mut(tenant.index()) else {
            return 1.0;
        };
        let measured = rate.measured.record(now, RATE_WINDOW_SECS);
        let fraction_within = (rate.quota_per_second / measured).min(1.0);
        fraction_within + (1.0 - fraction_within) * self.over_quota_factor
    }
}
