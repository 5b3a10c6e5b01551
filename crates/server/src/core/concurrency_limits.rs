//! Concurrency limits of pools: how they are planned from the operator file and the platform's
//! settings, and their counters.
//!
//! This module has no state; the limits are in a `ConcurrencyLimiter`, which the core owns.

use crate::core::handler_names::{HandlerResolver, UnknownHandlers};
use crate::support::metrics::Lines;
use madderbay::interface::{CallRequirement, Handler, Outcome, UpstreamKind};
use madderbay_concurrency::limit::Completion;
use madderbay_concurrency::{
    ConcurrencyConfig, ConcurrencyLimiter, PoolConfig, PoolUsage, Reserve,
};
use madderbay_operator_config::concurrency as operator;
use madderbay_settings::Settings;

/// Plans the pools and the reserve of the operator file. The groups of upstream servers are left
/// empty, since they follow from the backends.
///
/// # Errors
/// If a pool or the reserve names an unknown handler.
pub fn plan(
    section: &operator::PoolsConfig,
    settings: &Settings,
) -> Result<ConcurrencyConfig, UnknownHandlers> {
    let mut handlers = HandlerResolver::new(&settings.handler_names);
    let pools = section.pools.iter().map(|pool| PoolConfig {
        name: pool.name.clone(),
        handlers: handlers.resolve(&pool.handlers),
        weight: pool.weight,
        call_weight: pool.call_weight,
        max_runs: pool.max_runs,
        max_calls: pool.max_calls,
    });
    let pools = pools.collect();
    let reserve = section.reserve.as_ref().map(|reserve| Reserve {
        handlers: handlers.resolve(&reserve.handlers),
        fraction: reserve.fraction,
    });
    let upstream = &settings.upstream;
    let plan = ConcurrencyConfig {
        pools,
        reserve,
        adaptive: section.adaptive,
        call_quota: (upstream.kind == UpstreamKind::Shared).then_some(upstream.quota),
        abandoned_call_lifetime: upstream.abandoned_call_lifetime,
        cores: settings.machine.cores as usize,
        upstream_groups: vec![],
    };
    handlers.finish(plan)
}

/// Returns the call requirement of each handler, in the order of handlers.
pub fn call_requirements(settings: &Settings) -> Vec<CallRequirement> {
    let handlers = settings.handlers.iter();
    handlers.map(Handler::call_requirement).collect()
}

/// Returns what the outcome of a call says about the upstream servers.
pub fn completion(outcome: Outcome) -> Completion {
    match outcome {
        Outcome::Completed => Completion::Success,
        Outcome::TimedOut => Completion::TimedOut,
        Outcome::Rejected | Outcome::Failed | Outcome::Unreachable | Outcome::Disconnected => {
            Completion::Failure
        }
        Outcome::Cancelled | Outcome::AlreadyEnded => Completion::Cancelled,
    }
}

/// Returns the counters, one line each. A limit that is unbounded is reported as 0.
pub fn counters(limiter: &ConcurrencyLimiter) -> String {
    let mut lines = Lines::of("pools");
    for pool in limiter.pool_usage() {
        add_pool(&mut lines, &pool);
    }
    if let Some(calls) = limiter.call_usage() {
        lines.add("calls.limit", zero_if_unbounded(calls.limit as usize));
        lines.add("calls.out", zero_if_unbounded(calls.in_flight));
    }
    lines.add(
        "calls.limit_changes",
        zero_if_unbounded(limiter.change_count() as usize),
    );
    lines.add("hung", zero_if_unbounded(limiter.hung()));
    lines.text
}

/// Adds the lines with the usage and the limits of a pool.
fn add_pool(lines: &mut Lines, pool: &PoolUsage) {
    for (name, value) in [
        ("held", pool.queued),
        ("runs", pool.runs),
        ("calls", pool.calls),
        ("runs_most", pool.max_runs),
        ("calls_most", pool.max_calls),
    ] {
        lines.add(&format!("{}.{name}", pool.name), zero_if_unbounded(value));
    }
}

/// Returns 0 for `usize::MAX`, which stands for no limit, and any other value unchanged.
fn zero_if_unbounded(value: usize) -> u64 {
    if value == usize::MAX { 0 } else { value as u64 }
}
