//! What the operator file says of budgets and counts, over the settings' handlers and tenants.

use crate::core::quota_gate::QuotaGroup;
use crate::fleet::quota_leases::CounterNames;
use crate::support::clock::unix_micros;
use crate::support::config::Config;
use madderbay::time::Duration;
use madderbay_operator_config::shared as operator;
use madderbay_quota::{BudgetSettings, CounterSettings, LeaseTerms};
use std::hash::{BuildHasher, RandomState};

/// Ceilings are handed over now and then, and a start takes its time: so long before a lease ends no call is
/// started on it any more.
const GUARD: Duration = Duration::from_millis(50);

/// All that follows from it: for the machine, for the core, and for telling what was counted.
pub struct QuotaPlan {
    pub settings: madderbay_quota::Settings,
    pub groups: Vec<QuotaGroup>,
    pub counted: CounterNames,
}

/// A number that no other life has: the system's chance at the start, and when that was.
fn life() -> u64 {
    RandomState::new().hash_one((unix_micros(), std::process::id()))
}

/// Names become numbers; each that is no handler is told in a line.
pub fn of(set: &operator::Shared, config: &Config) -> Result<QuotaPlan, Vec<String>> {
    let s = &config.settings;
    let (mut wrong, mut groups, mut budgets) = (vec![], vec![], vec![]);
    for b in &set.budgets {
        let handlers = b
            .handlers
            .among(&s.handler_names, "handler")
            .unwrap_or_else(|what| {
                wrong.push(what);
                vec![]
            });
        let longest = Duration::from_millis(b.longest_ms);
        groups.push(QuotaGroup { handlers, longest });
        budgets.push(BudgetSettings {
            name: b.name.as_str().into(),
            capacity: b.calls,
            max_servers: b.servers,
            slot: set.seat,
            weight: set.weight,
            // What is given up on goes on below for a while.
            terms: LeaseTerms {
                lease: Duration::from_millis(b.lease_ms),
                max_call: longest + s.below.abandoned_call_lifetime,
                guard: GUARD,
            },
        });
    }
    let counts = set.counts.iter().map(|c| CounterSettings {
        name: c.name.as_str().into(),
        window: Duration::from_millis(c.window_s * 1_000),
        max_per_second: c.most,
    });
    let by_tenant = set
        .counts
        .iter()
        .map(|c| c.by == operator::By::Tenant)
        .collect();
    let per_second = s.tenants.iter().map(|t| t.requests_per_second).collect();
    let counted = CounterNames::new(
        &s.handler_names,
        &s.tenant_names,
        per_second,
        s.place.servers,
        by_tenant,
    );
    let name = config.name.as_str().into();
    let settings = madderbay_quota::Settings {
        name,
        incarnation: life(),
        budgets,
        counters: counts.collect(),
    };
    if wrong.is_empty() {
        Ok(QuotaPlan {
            settings,
            groups,
            counted,
        })
    } else {
        Err(wrong)
    }
}
