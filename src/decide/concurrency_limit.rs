//! The limit on concurrent runs.
//!
//! Owns the limit, which the length of the run queue steers, and the mean of that length. A machine with cold caches
//! supports fewer runs; [`SupportedRuns`] bounds the limit by what it supports now (slow start). Starts nothing.

use super::supported_runs::SupportedRuns;
use crate::estimators::Average;
use crate::interface::Machine;
use crate::time::Timestamp;

/// Run queue per core below which the limit grows.
const GROW_BELOW_PER_CORE: f64 = 1.1;
/// Run queue per core above which the limit shrinks. Crowded cores do less work.
const SHRINK_ABOVE_PER_CORE: f64 = 1.4;
/// Change of the limit per tick, in runs: 25 runs a second.
const STEP_PER_TICK: f64 = 0.25;
/// Weight of the newest sample in the mean run queue: about the last 50 ms count.
const RUN_QUEUE_WEIGHT: f64 = 0.2;

/// How many runs may be in flight.
pub(super) struct ConcurrencyLimit {
    limit: f64,
    run_queue: Average,
    cores: f64,
    supported: SupportedRuns,
}

impl ConcurrencyLimit {
    /// Begins at the cores.
    pub(super) fn new(now: Timestamp, machine: &Machine) -> ConcurrencyLimit {
        let cores = f64::from(machine.cores);
        ConcurrencyLimit {
            limit: cores,
            run_queue: Average::new(0.0, RUN_QUEUE_WEIGHT),
            cores,
            supported: SupportedRuns::new(now, machine),
        }
    }

    /// The limit on concurrent runs.
    pub(super) fn limit(&self) -> f64 {
        self.limit
    }

    /// Most runs that may be in flight now, at least 1: the limit, or what the machine supports.
    pub(super) fn max_runs(&self, now: Timestamp) -> f64 {
        self.limit.min(self.supported.max_runs(now)).max(1.0)
    }

    /// What the machine supports.
    pub(super) fn supported(&self) -> &SupportedRuns {
        &self.supported
    }

    /// Whether the limit keeps one more run from starting.
    pub(super) fn is_reached(&self, running: usize) -> bool {
        running as f64 + 1.0 > self.limit
    }

    /// Whether runs wait for the cores. Where they do not, latency has another cause, most often upstream.
    pub(super) fn are_cores_busy(&self) -> bool {
        self.run_queue.value() > self.cores
    }

    /// Runs on the cores or waiting for one, per core, at least 1.
    pub(super) fn run_queue_per_core(&self) -> f64 {
        (self.run_queue.value() / self.cores).max(1.0)
    }

    /// One tick: grows while the run queue is short and the limit holds requests up, shrinks towards the cores while
    /// it is long. `run_queue` is the number of runs that have a core or wait for one.
    pub(super) fn on_tick(&mut self, now: Timestamp, run_queue: f64, delays_requests: bool) {
        self.run_queue.record(run_queue);
        let mean_run_queue = self.run_queue.value();
        if delays_requests && mean_run_queue < GROW_BELOW_PER_CORE * self.cores {
            self.limit += STEP_PER_TICK;
        } else if mean_run_queue > SHRINK_ABOVE_PER_CORE * self.cores {
            self.limit -= STEP_PER_TICK;
        }
        let max = self.supported.max_runs(now);
        self.limit = self.limit.min(max).max(self.cores.min(max));
    }
}
