//! One pool of handlers: its settings, with the runs that it had recently.
//!
//! Owns the moving average of its runs. Given the current number of runs; never counts them itself.

use crate::config::PoolConfig;
use madderbay::interface::{CallRequirement, HandlerId};
use madderbay::time::Duration;

/// Name of the pool of all handlers that belong to no configured pool.
const DEFAULT_POOL_NAME: &str = "rest";
/// Time constant of the moving average of a pool's runs: longer than several runs, shorter than any
/// outage.
const RECENT_RUNS_TIME_CONSTANT: Duration = Duration::from_millis(300);

/// A pool as configured, with its moving average.
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

    /// Moving average of the pool's runs.
    pub(crate) fn recent_runs(&self) -> f64 {
        self.recent_runs
    }

    /// Adds the current number of runs, `elapsed` after the last, to the moving average.
    pub(crate) fn record_runs(&mut self, elapsed: Duration, runs: usize) {
        let decay = (-(elapsed.as_secs_f64() / RECENT_RUNS_TIME_CONSTANT.as_secs_f64())).exp();
        self.recent_runs = runs as f64 + decay * (self.recent_runs - runs as f64);
    }
}

/// The configured pools and, where a handler belongs to none, the remaining pool.
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
