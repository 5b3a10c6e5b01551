//! Implements the core's `QuotaSource` with the fleet's quotas and counters.
//!
//! `FleetQuotaSource` shares the fleet's state machines with their driver and borrows them for one call at a time.
//! It does no I/O and works with any clock, so that a simulation can run the same code.

use super::counter_names::{CountedSubject, CounterKey, CounterNames};
use crate::core::quota_gate::{QuotaSource, TenantRate};
use crate::support::clock::MonotonicClock;
use madderbay::interface::{HandlerId, TenantId};
use madderbay::time::Duration;
use madderbay_quota::{BudgetId, FleetQuotas};
use madderbay_upstream::FleetStack;
use std::cell::{Ref, RefCell, RefMut};
use std::rc::Rc;

/// Maximum number of tenants whose rates are reported at a time: those with the most requests.
const MAX_REPORTED_TENANTS: usize = 256;

/// Gives the core access to the fleet's quotas. If the fleet shares none, no call may be started.
pub struct FleetQuotaSource {
    stack: Rc<RefCell<FleetStack>>,
    counter_names: CounterNames,
    clock: MonotonicClock,
    notify_urgent: Box<dyn Fn()>,
}

impl FleetQuotaSource {
    /// Creates a source over the fleet's state machines. `notify_urgent` is called when datagrams have to be sent
    /// before the driver's next timer is due; it must not borrow `stack`.
    pub fn new(
        stack: Rc<RefCell<FleetStack>>,
        counter_names: CounterNames,
        clock: MonotonicClock,
        notify_urgent: Box<dyn Fn()>,
    ) -> FleetQuotaSource {
        FleetQuotaSource {
            stack,
            counter_names,
            clock,
            notify_urgent,
        }
    }

    /// Returns the names of the handlers and tenants that the counters count.
    pub fn counter_names(&self) -> &CounterNames {
        &self.counter_names
    }

    /// Borrows the quotas, if the fleet shares any.
    fn quotas(&self) -> Option<Ref<'_, FleetQuotas>> {
        Ref::filter_map(self.stack.borrow(), FleetStack::quotas).ok()
    }

    /// Borrows the quotas mutably, if the fleet shares any.
    fn quotas_mut(&self) -> Option<RefMut<'_, FleetQuotas>> {
        RefMut::filter_map(self.stack.borrow_mut(), FleetStack::quotas_mut).ok()
    }

    /// Wakes the driver if datagrams have to be sent at once.
    fn notify_if_urgent(&self, quotas: &FleetQuotas) {
        if quotas.is_urgent() {
            (self.notify_urgent)();
        }
    }
}

impl QuotaSource for FleetQuotaSource {
    fn usable_calls(&self, budget: BudgetId) -> usize {
        let now = (self.clock)();
        let quotas = self.quotas();
        quotas.map_or(0, |q| q.budget(budget).usable(now) as usize)
    }

    fn try_start_call(&self, budget: BudgetId) -> bool {
        let now = (self.clock)();
        let Some(mut quotas) = self.quotas_mut() else {
            return false;
        };
        let budget = quotas.budget_mut(budget);
        let may_start = budget.may_start(now);
        if may_start {
            budget.call_started(now);
        }
        may_start
    }

    fn call_ended(&self, budget: BudgetId) {
        let now = (self.clock)();
        if let Some(mut quotas) = self.quotas_mut() {
            quotas.budget_mut(budget).call_ended(now);
            self.notify_if_urgent(&quotas);
        }
    }

    fn set_waiting_calls(&self, budget: BudgetId, calls: usize) {
        let now = (self.clock)();
        let calls = u32::try_from(calls).unwrap_or(u32::MAX);
        if let Some(mut quotas) = self.quotas_mut() {
            quotas.budget_mut(budget).set_waiting(now, calls);
            self.notify_if_urgent(&quotas);
        }
    }

    fn time_until_capacity(&self, budget: BudgetId) -> Duration {
        let now = (self.clock)();
        let quotas = self.quotas();
        quotas.map_or(Duration::ZERO, |q| q.budget(budget).until_capacity(now))
    }

    fn count_request(&self, handler: HandlerId, tenant: TenantId) {
        let now = (self.clock)();
        let Some(mut quotas) = self.quotas_mut() else {
            return;
        };
        let hashes = self.counter_names.hashes_of_request(handler, tenant);
        for (counter, hash) in quotas.counters_mut().iter_mut().zip(hashes) {
            if let Some(hash) = hash {
                counter.add(now, hash, 1);
            }
        }
    }

    fn tenant_rates(&self) -> Vec<TenantRate> {
        let now = (self.clock)();
        let names = &self.counter_names;
        let (Some(quotas), Some(counter)) = (self.quotas(), names.tenant_counter()) else {
            return vec![];
        };
        let active = quotas.counter(counter).heaviest_keys(MAX_REPORTED_TENANTS);
        let keys = names.keys(counter).filter(|k| active.contains(&k.hash));
        let rate = |key: CounterKey<'_>| {
            let CountedSubject::Tenant(tenant) = key.subject else {
                return None;
            };
            let quota = names.tenant_quota(tenant);
            Some(TenantRate {
                tenant,
                per_second: quotas.allowance(now, counter, key.hash, quota, names.servers()),
            })
        };
        keys.filter_map(rate).collect()
    }
}
