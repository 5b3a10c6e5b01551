//! Settings of the concurrency limiter: pools, the reserve and the upstreams.
//!
//! Plain data, filled in from the operator file and the settings of the site. Handlers are
//! identified by their index in the settings.

use madderbay::interface::HandlerId;
use madderbay::time::Duration;

/// One pool of handlers (a bulkhead).
#[derive(Clone, Debug)]
pub struct PoolConfig {
    /// Name in counters; it has no effect on limits.
    pub name: String,
    /// Handlers of the pool; each handler belongs to at most one pool.
    pub handlers: Vec<HandlerId>,
    /// Relative weight among pools that want runs.
    pub weight: f64,
    /// Relative weight among pools that want calls.
    pub call_weight: f64,
    /// Upper bound on concurrent runs, if any.
    pub max_runs: Option<usize>,
    /// Upper bound on concurrent calls, if any.
    pub max_calls: Option<usize>,
}

impl Default for PoolConfig {
    fn default() -> PoolConfig {
        PoolConfig {
            name: String::new(),
            handlers: vec![],
            weight: 1.0,
            call_weight: 1.0,
            max_runs: None,
            max_calls: None,
        }
    }
}

/// Capacity reserved for some handlers.
#[derive(Clone, Debug)]
pub struct Reserve {
    /// Handlers that own the reserve; if empty, the handler with the shortest runs owns it.
    pub handlers: Vec<HandlerId>,
    /// Reserved fraction of all runs and calls, from 0 to 1.
    pub fraction: f64,
}

/// Settings of a [`ConcurrencyLimiter`](crate::ConcurrencyLimiter).
#[derive(Clone, Debug)]
pub struct ConcurrencyConfig {
    /// The pools. Handlers that belong to none of them form one more pool, named `rest`, of weight
    /// 1.
    pub pools: Vec<PoolConfig>,
    /// Reserved capacity, if any.
    pub reserve: Option<Reserve>,
    /// Whether the limits on calls adapt to the upstreams. Otherwise they stay at this server's
    /// quota of calls.
    pub adaptive: bool,
    /// This server's quota of concurrent calls; `None` if calls need no limit.
    pub call_quota: Option<f64>,
    /// Time for which an abandoned call may still run upstream.
    pub abandoned_call_lifetime: Duration,
    /// Number of cores that execute runs.
    pub cores: usize,
    /// Groups of handlers, one for each upstream, if there are several upstreams. Handlers that
    /// belong to no group share one more limit, with the full quota.
    pub upstream_groups: Vec<UpstreamGroup>,
}

/// The handlers that call one of several upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamGroup {
    /// Handlers that call the upstream.
    pub handlers: Vec<HandlerId>,
    /// Fraction of the call quota, from 0 to 1, at which the upstream's limit starts.
    pub quota_fraction: f64,
}

impl Default for ConcurrencyConfig {
    fn default() -> ConcurrencyConfig {
        ConcurrencyConfig {
            pools: vec![],
            reserve: None,
            adaptive: true,
            call_quota: None,
            abandoned_call_lifetime: Duration::ZERO,
            cores: 1,
            upstream_groups: vec![],
        }
    }
}
