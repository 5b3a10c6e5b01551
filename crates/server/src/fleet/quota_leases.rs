//! What the core asks of what the fleet shares: budgets, counts and allowances. On any clock, so that a simulation
//! has the very same.

use crate::core::quota_gate::QuotaSource;
use crate::support::clock::MonotonicClock;
use madderbay::time::Duration;
use madderbay_quota::FleetQuotas;
use madderbay_upstream::FleetStack;
use std::cell::RefCell;
use std::rc::Rc;

pub struct FleetQuotaSource {
    pub together: Rc<RefCell<FleetStack>>,
    /// How what is counted is named, and which of the counts go by tenants.
    pub counted: CounterNames,
    pub ticks: MonotonicClock,
    /// Called where something is to be said sooner than the driver was told.
    pub hurry: Box<dyn Fn()>,
}

impl FleetQuotaSource {
    fn hurries(&self, shared: &FleetQuotas) {
        if shared.is_urgent() {
            (self.hurry)();
        }
    }
}

/// What the counts go by: the names of handlers and tenants, with the allowance of each tenant over the fleet.
#[derive(Clone, Debug, Default)]
pub struct CounterNames {
    pub handlers: Vec<String>,
    pub tenants: Vec<String>,
    pub per_second: Vec<f64>,
    /// Servers there are, for a fair part of an allowance.
    pub servers: u32,
    pub by_tenant: Vec<bool>,
    handler_marks: Vec<u32>,
    tenant_marks: Vec<u32>,
}

impl CounterNames {
    pub fn new(
        handlers: &[String],
        tenants: &[String],
        per_second: Vec<f64>,
        servers: u32,
        by_tenant: Vec<bool>,
    ) -> CounterNames {
        let marks = |names: &[String]| {
            names
                .iter()
                .map(|n| madderbay_quota::name_hash(n))
                .collect()
        };
        CounterNames {
            handler_marks: marks(handlers),
            tenant_marks: marks(tenants),
            handlers: handlers.to_vec(),
            tenants: tenants.to_vec(),
            per_second,
            servers,
            by_tenant,
        }
    }

    /// The names that a count is by, with their marks and what a server is taken to count in the long run.
    pub fn keys(&self, count: usize) -> impl Iterator<Item = (usize, &str, u32, f64)> {
        let tenants = self.by_tenant[count];
        let (names, marks) = if tenants {
            (&self.tenants, &self.tenant_marks)
        } else {
            (&self.handlers, &self.handler_marks)
        };
        let fair = move |at: usize| {
            let all = if tenants {
                self.per_second.get(at).copied().unwrap_or(0.0)
            } else {
                0.0
            };
            all / f64::from(self.servers.max(1))
        };
        names
            .iter()
            .zip(marks)
            .enumerate()
            .map(move |(at, (n, m))| (at, n.as_str(), *m, fair(at)))
    }
}

/// Tenants whose allowances are looked at a second, those that came most.
const TENANTS_MOST: usize = 256;

impl QuotaSource for FleetQuotaSource {
    fn usable(&self, budget: usize) -> usize {
        let together = self.together.borrow();
        let usable = together
            .shared
            .as_ref()
            .map_or(0, |s| s.budgets()[budget].usable((self.ticks)()));
        usable as usize
    }

    fn start(&self, budget: usize) -> bool {
        let (now, mut together) = ((self.ticks)(), self.together.borrow_mut());
        let Some(budget) = together
            .shared
            .as_mut()
            .map(|s| &mut s.budgets_mut()[budget])
        else {
            return false;
        };
        let may = budget.may_start(now);
        if may {
            budget.call_started(now);
        }
        may
    }

    fn ended(&self, budget: usize) {
        let now = (self.ticks)();
        if let Some(shared) = &mut self.together.borrow_mut().shared {
            shared.budgets_mut()[budget].call_ended(now);
            self.hurries(shared);
        }
    }

    fn waits(&self, budget: usize, calls: usize) {
        let now = (self.ticks)();
        if let Some(shared) = &mut self.together.borrow_mut().shared {
            shared.budgets_mut()[budget].set_waiting(now, calls.min(u32::MAX as usize) as u32);
            self.hurries(shared);
        }
    }

    fn until_room(&self, budget: usize) -> Duration {
        let together = self.together.borrow();
        together.shared.as_ref().map_or(Duration::ZERO, |s| {
            s.budgets()[budget].until_capacity((self.ticks)())
        })
    }

    fn counted(&self, handler: usize, tenant: usize) {
        let (now, c) = ((self.ticks)(), &self.counted);
        let Some(shared) = &mut self.together.borrow_mut().shared else {
            return;
        };
        for (count, by_tenant) in shared.counters_mut().iter_mut().zip(&c.by_tenant) {
            let mark = if *by_tenant {
                c.tenant_marks.get(tenant)
            } else {
                c.handler_marks.get(handler)
            };
            mark.into_iter().for_each(|m| count.add(now, *m, 1));
        }
    }

    fn allowances(&self) -> Vec<(usize, f64)> {
        let (now, c) = ((self.ticks)(), &self.counted);
        let together = self.together.borrow();
        let Some(shared) = &together.shared else {
            return vec![];
        };
        let Some(count) = c.by_tenant.iter().position(|t| *t) else {
            return vec![];
        };
        let active = shared.counters()[count].heaviest_keys(TENANTS_MOST);
        let part =
            |at: usize, mark: u32| shared.allowance(now, count, mark, c.per_second[at], c.servers);
        c.keys(count)
            .filter(|k| active.contains(&k.2))
            .map(|k| (k.0, part(k.0, k.2)))
            .collect()
    }
}
