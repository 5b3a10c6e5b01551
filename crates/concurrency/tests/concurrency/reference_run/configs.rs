//! Configurations of the limiter in the recorded runs.

use crate::support::{BOOK, QUOTE, SEARCH, reserve};
use madderbay::interface::HandlerId;
use madderbay::time::Duration;
use madderbay_concurrency::{ConcurrencyConfig, PoolConfig, UpstreamGroup};

fn pool(name: &str, handlers: &[HandlerId], weight: f64, call_weight: f64) -> PoolConfig {
    let handlers = handlers.to_vec();
    PoolConfig {
        name: name.into(),
        handlers,
        weight,
        call_weight,
        ..PoolConfig::default()
    }
}

fn three_pools() -> Vec<PoolConfig> {
    vec![
        pool("a", &[SEARCH], 1.0, 0.0),
        pool("b", &[QUOTE], 2.0, 1.0),
        pool("c", &[BOOK], 3.0, 2.0),
    ]
}

fn bounded_pools() -> Vec<PoolConfig> {
    let mut pools = three_pools();
    pools[1].max_runs = Some(2);
    pools[2].max_calls = Some(3);
    pools
}

fn base_config() -> ConcurrencyConfig {
    ConcurrencyConfig {
        pools: three_pools(),
        call_quota: Some(8.0),
        abandoned_call_lifetime: Duration::from_millis(200),
        cores: 4,
        ..ConcurrencyConfig::default()
    }
}

fn base_config_with(change: impl FnOnce(&mut ConcurrencyConfig)) -> ConcurrencyConfig {
    let mut config = base_config();
    change(&mut config);
    config
}

/// Returns the recorded configurations, by name.
pub(super) fn configs() -> Vec<(&'static str, ConcurrencyConfig)> {
    let default_pool = base_config_with(|c| {
        c.pools = vec![pool("c", &[BOOK], 0.5, 1.0)];
        c.reserve = reserve(&[QUOTE], 0.2);
    });
    let fixed_limits = base_config_with(|c| (c.adaptive, c.pools) = (false, bounded_pools()));
    let no_call_quota = base_config_with(|c| {
        (c.call_quota, c.pools) = (None, bounded_pools());
        c.reserve = reserve(&[SEARCH, QUOTE], 0.1);
    });
    let groups = base_config_with(|c| {
        c.upstream_groups = vec![upstream_group(SEARCH, 0.4), upstream_group(BOOK, 0.6)];
        c.call_quota = Some(20.0);
    });
    let group_and_others = base_config_with(|c| {
        c.upstream_groups = vec![upstream_group(BOOK, 1.0)];
        c.reserve = reserve(&[BOOK], 0.2);
    });
    vec![
        ("plain", base_config()),
        ("rest", default_pool),
        (
            "cheapest",
            base_config_with(|c| c.reserve = reserve(&[], 0.3)),
        ),
        ("fixed", fixed_limits),
        ("free", no_call_quota),
        ("groups", groups),
        ("group-and-others", group_and_others),
    ]
}

fn upstream_group(handler: HandlerId, quota_fraction: f64) -> UpstreamGroup {
    UpstreamGroup {
        handlers: vec![handler],
        quota_fraction,
    }
}
