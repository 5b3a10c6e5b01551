//! Pools as the operator file sets them, over the settings' handlers; and what is told of them.

use crate::support::metrics::Lines;
use madderbay::interface::{Outcome, UpstreamKind};
use madderbay_concurrency::limit::Completion;
use madderbay_concurrency::{
    CallRequirement, ConcurrencyConfig, ConcurrencyLimiter, HandlerProfile, PoolConfig, Reserve,
};
use madderbay_operator_config::pools as operator;
use madderbay_settings::Settings;

/// Names become numbers; each that is no handler is told in a line.
pub fn plan(set: &operator::Pools, s: &Settings) -> Result<ConcurrencyConfig, Vec<String>> {
    let mut wrong = vec![];
    let mut among = |names: &madderbay_operator_config::Names| {
        names
            .among(&s.handler_names, "handler")
            .unwrap_or_else(|what| {
                wrong.push(what);
                vec![]
            })
    };
    let pools: Vec<PoolConfig> = set
        .pools
        .iter()
        .map(|p| PoolConfig {
            name: p.name.clone(),
            handlers: among(&p.handlers),
            weight: p.weight,
            call_weight: p.calls_weight,
            max_runs: p.runs,
            max_calls: p.calls,
        })
        .collect();
    let reserve = set.reserve.as_ref().map(|r| Reserve {
        handlers: among(&r.handlers),
        fraction: r.part,
    });
    let share = (s.below.kind == UpstreamKind::Shared).then_some(s.below.quota);
    let cores = s.machine.cores as usize;
    let groups = vec![];
    let plan = ConcurrencyConfig {
        pools,
        reserve,
        adaptive: set.adapts,
        call_quota: share,
        abandoned_call_lifetime: s.below.abandoned_call_lifetime,
        cores,
        upstream_groups: groups,
    };
    if wrong.is_empty() {
        Ok(plan)
    } else {
        Err(wrong)
    }
}

/// What each handler's runs do about calls.
pub fn kinds(s: &Settings) -> Vec<HandlerProfile> {
    let calls = |h: &madderbay::interface::Handler| match (h.makes_calls, h.partial_weight > 0.0) {
        (false, _) => CallRequirement::Never,
        (true, true) => CallRequirement::Optional,
        (true, false) => CallRequirement::Required,
    };
    s.handlers
        .iter()
        .map(|h| HandlerProfile { calls: calls(h) })
        .collect()
}

/// What the end of a call tells of what lies below.
pub fn end(how: Outcome) -> Completion {
    match how {
        Outcome::Completed => Completion::Success,
        Outcome::TimedOut => Completion::TimedOut,
        Outcome::Rejected | Outcome::Failed | Outcome::Unreachable | Outcome::Disconnected => {
            Completion::Failure
        }
        Outcome::Cancelled | Outcome::AlreadyEnded => Completion::Cancelled,
    }
}

/// What each pool has and may have, a line a figure.
pub fn counters(pools: &ConcurrencyLimiter) -> String {
    let mut lines = Lines::of("pools");
    // No ceiling at all is told as 0.
    let mut line = |name: &str, value: usize| {
        lines.add(name, if value == usize::MAX { 0 } else { value as u64 });
    };
    for pool in pools.pool_usage() {
        let counters = [
            ("held", pool.queued),
            ("runs", pool.runs),
            ("calls", pool.calls),
            ("runs_most", pool.max_runs),
            ("calls_most", pool.max_calls),
        ];
        for (name, value) in counters {
            line(&format!("{}.{name}", pool.name), value);
        }
    }
    if let Some(calls) = pools.call_usage() {
        line("calls.limit", calls.limit as usize);
        line("calls.out", calls.in_flight);
    }
    line("calls.limit_changes", pools.change_count() as usize);
    line("hung", pools.hung());
    lines.text
}
