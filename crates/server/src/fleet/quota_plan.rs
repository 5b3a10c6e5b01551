//! Derives the fleet's quotas and counters from the operator file and from the platform's handlers and tenants.
//!
//! The module keeps no state. It reads the clock once, for the number of this incarnation.

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

/// Calls are not started on a lease that ends within this time, because ceilings are handed over only periodically
/// and starting a call takes time.
const LEASE_GUARD: Duration = Duration::from_millis(50);

/// Quotas and counters of the fleet, ready to be given to the state machines and to the core.
pub struct QuotaPlan {
    /// Settings of the state machine for quotas and counters.
    pub settings: madderbay_quota::Settings,
    /// Groups of handlers for the core: one for each budget, in the same order.
    pub groups: Vec<QuotaGroup>,
    /// Names of the handlers and tenants that the counters count.
    pub counter_names: CounterNames,
}

/// Creates the plan from the section `[shared]` of the operator file.
///
/// # Errors
/// Returns the unknown names if a budget names a handler that the platform does not have.
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

/// Returns the sizes and lease terms of all budgets.
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
            // An abandoned call may still run upstream.
            max_call: Duration::from_millis(budget.max_call_ms) + abandoned_call_lifetime,
            guard: LEASE_GUARD,
        },
    };
    section.budgets.iter().map(plan).collect()
}

/// Returns the windows and maximum rates of all counters.
fn counters(section: &operator::QuotaConfig) -> Vec<CounterSettings> {
    let plan = |count: &operator::Counter| CounterSettings {
        name: count.name.as_str().into(),
        window: Duration::from_millis(count.window_s * 1_000),
        max_per_second: count.max_per_second,
    };
    section.counters.iter().map(plan).collect()
}

/// Returns the names from which the counters' keys are derived.
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

/// Returns a number that identifies this incarnation, derived from the system's random source, the time and the
/// process id so that no other incarnation has the same one.
fn random_incarnation() -> u64 {
    RandomState::new().hash_one((unix_micros(), std::process::id()))
}
