//! One pool of handlers: its settings and the moving average of its runs in flight.
//!
//! The caller counts the runs; the pool only averages the reported numbers.

use crate::config::PoolConfig;
use madderbay::interface::{CallRequirement, HandlerId};
use madderbay::time::Duration;

/// Name of the default pool, which holds all handlers that belong to no configured pool.
const DEFAULT_POOL_NAME: &str = "rest";
/// Time constant of the moving average of a pool's runs: longer than several runs, shorter than any
/// outage.
const RECENT_RUNS_TIME_CONSTANT: Duration = Duration::from_millis(300);

/// A pool as configured, with the moving average of its runs in flight.
pub(crate) struct Pool {
    pub(crate) name: String,
    pub(crate) handlers: Vec<HandlerId>,
    pub(crate) weight: f64,
    pub(crate) call_weight: f64,
    pub(crate) max_runs: Option<usize>,
    pub(crate) max_calls: Option<usize>,
    recent_runs: f64,
}

impl Pool {
    fn new(config: PoolConfig) -> Pool {
        Pool {
            handlers: config.handlers.clone(),
            name: config.name,
            weight: config.weight,
            call_weight: config.call_weight,
            max_runs: config.max_runs,
            max_calls: config.max_calls,
            recent_runs: 1.0,
        }
    }

    /// Returns the moving average of the pool's runs in flight.
    pub(crate) fn recent_runs(&self) -> f64 {
        self.recent_runs
    }

    /// Adds the current number of runs to the moving average; `elapsed` is the time since the
    /// previous update.
    pub(crate) fn record_runs(&mut self, elapsed: Duration, runs: usize) {
        let decay = (-(elapsed.as_secs_f64() / RECENT_RUNS_TIME_CONSTANT.as_secs_f64())).exp();
        self.recent_runs = runs as f64 + decay * (self.recent_runs - runs as f64);
    }
}

/// Returns the configured pools and, if any handler belongs to none of them, the default pool.
pub(crate) fn pools_with_default(
    mut configs: Vec<PoolConfig>,
    call_requirements: &[CallRequirement],
) -> Vec<Pool> {
    let is_pooled = |handler: &HandlerId| configs.iter().any(|p| p.handlers.contains(handler));
    let others: Vec<HandlerId> = HandlerId::first(call_requirements.len())
        .filter(|h| !is_pooled(h))
        .collect();
    if !others.is_empty() {
        configs.push(PoolConfig {
            name: DEFAULT_POOL_NAME.into(),
            handlers: others,
            ..PoolConfig::default()
        });
    }
    configs.into_iter().map(Pool::new).collect()
}
