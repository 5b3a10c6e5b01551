//! Quotas and counters of the fleet, planned from the operator file over the platform's handlers and tenants.
//!
//! It owns no state. It is given the file's section and the configuration, and reads the clock once, for the
//! incarnation's number.

use crate::core::handler_names::{HandlerResolver, UnknownHandlers};
use crate::core::quota_gate::QuotaGroup;
use crate::fleet::counter_names::CounterNames;
use crate::support::clock::unix_micros;
use crate::support::config::Config;
use madderbay::time::Duration;
use madderbay_operator_config::quota as operator;
use madderbay_quota::{BudgetSettings, CounterSettings, LeaseTerms};
use madderbay_settings::Settings;
use std::hash::{BuildHasher, RandomState};

/// No call is started on a lease that ends within this time. Ceilings are handed over now and then, and a start
/// takes its time.
const LEASE_GUARD: Duration = Duration::from_millis(50);

/// What follows from the section.
pub struct QuotaPlan {
    /// For the state machine of quotas and counters.
    pub settings: madderbay_quota::Settings,
    /// For the core: one group for each budget, in the same order.
    pub groups: Vec<QuotaGroup>,
    /// The names of what is counted.
    pub counter_names: CounterNames,
}

/// Plans the section.
///
/// # Errors
/// Where a budget names an unknown handler.
pub fn plan(
    section: &operator::QuotaConfig,
    config: &Config,
) -> Result<QuotaPlan, UnknownHandlers> {
    let settings = &config.settings;
    let mut handlers = HandlerResolver::new(&settings.handler_names);
    let groups = section.budgets.iter().map(|budget| QuotaGroup {
        handlers: handlers.resolve(&budget.handlers),
        max_call_wait: Duration::from_millis(budget.max_call_ms),
    });
    let groups = groups.collect();
    let plan = QuotaPlan {
        settings: madderbay_quota::Settings {
            name: config.name.as_str().into(),
            incarnation: random_incarnation(),
            budgets: budgets(section, settings),
            counters: counters(section),
        },
        groups,
        counter_names: counter_names(section, settings),
    };
    handlers.finish(plan)
}

/// Terms and sizes of all budgets.
fn budgets(section: &operator::QuotaConfig, settings: &Settings) -> Vec<BudgetSettings> {
    let abandoned_call_lifetime = settings.upstream.abandoned_call_lifetime;
    let plan = |budget: &operator::Budget| BudgetSettings {
        name: budget.name.as_str().into(),
        capacity: budget.capacity,
        max_servers: budget.max_servers,
        slot: section.slot,
        weight: section.weight,
        terms: LeaseTerms {
            lease: Duration::from_millis(budget.lease_ms),
            // A call that is given up may go on upstream.
            max_call: Duration::from_millis(budget.max_call_ms) + abandoned_call_lifetime,
            guard: LEASE_GUARD,
        },
    };
    section.budgets.iter().map(plan).collect()
}

/// Windows and rates of all counters.
fn counters(section: &operator::QuotaConfig) -> Vec<CounterSettings> {
    let plan = |count: &operator::Counter| CounterSettings {
        name: count.name.as_str().into(),
        window: Duration::from_millis(count.window_s * 1_000),
        max_per_second: count.max_per_second,
    };
    section.counters.iter().map(plan).collect()
}

/// The names that the counters' keys are made from.
fn counter_names(section: &operator::QuotaConfig, settings: &Settings) -> CounterNames {
    let is_by_tenant = |count: &operator::Counter| count.by == operator::CounterKind::Tenant;
    let tenants = settings.tenants.iter();
    CounterNames::new(
        &settings.handler_names,
        &settings.tenant_names,
        tenants.map(|tenant| tenant.requests_per_second).collect(),
        settings.fleet_position.servers,
        section.counters.iter().map(is_by_tenant).collect(),
    )
}

/// A number that no other incarnation has: it is drawn from the system's randomness, the time and the process.
fn random_incarnation() -> u64 {
    RandomState::new().hash_one((unix_micros(), std::process::id()))
}
