//! The limit on concurrent runs.
//!
//! [`ConcurrencyLimit`] adjusts the limit by the mean length of the run queue. A machine with cold caches supports
//! fewer runs; [`SupportedRuns`] bounds the limit by what the machine supports at the moment (slow start). Starting
//! runs is left to the caller.

use super::supported_runs::SupportedRuns;
use crate::estimators::Average;
use crate::interface::Machine;
use crate::time::Timestamp;

/// Run queue length per core below which the limit grows.
const GROW_BELOW_PER_CORE: f64 = 1.1;
/// Run queue length per core above which the limit shrinks, because overloaded cores do less work.
const SHRINK_ABOVE_PER_CORE: f64 = 1.4;
/// Change of the limit per tick, in runs; equals 25 runs per second.
const STEP_PER_TICK: f64 = 0.25;
/// Weight of the newest sample in the mean run queue length, which covers about the last 50 ms.
const RUN_QUEUE_WEIGHT: f64 = 0.2;

/// Limits how many runs may be in flight.
pub(super) struct ConcurrencyLimit {
    limit: f64,
    run_queue: Average,
    cores: f64,
    supported: SupportedRuns,
}

impl ConcurrencyLimit {
    /// Starts with a limit of one run per core.
    pub(super) fn new(now: Timestamp, machine: &Machine) -> ConcurrencyLimit {
        let cores = f64::from(machine.cores);
        ConcurrencyLimit {
            limit: cores,
            run_queue: Average::new(0.0, RUN_QUEUE_WEIGHT),
            cores,
            supported: SupportedRuns::new(now, machine),
        }
    }

    /// Returns the limit on concurrent runs.
    pub(super) fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns the largest number of runs that may be in flight now: the smaller of the limit and what the machine
    /// supports, but at least 1.
    pub(super) fn max_runs(&self, now: Timestamp) -> f64 {
        self.limit.min(self.supported.max_runs(now)).max(1.0)
    }

    /// Returns what the machine supports.
    pub(super) fn supported(&self) -> &SupportedRuns {
        &self.supported
    }

    /// Reports whether the limit prevents one more run from starting.
    pub(super) fn is_reached(&self, running: usize) -> bool {
        running as f64 + 1.0 > self.limit
    }

    /// Reports whether runs wait for the cores. If they do not, latency has another cause, most often the upstream.
    pub(super) fn are_cores_busy(&self) -> bool {
        self.run_queue.value() > self.cores
    }

    /// Returns the mean number of runs that have a core or wait for one, per core, at least 1.
    pub(super) fn run_queue_per_core(&self) -> f64 {
        (self.run_queue.value() / self.cores).max(1.0)
    }

    /// Adjusts the limit at a tick: it grows while the run queue is short and the limit delays requests, and shrinks
    /// towards the number of cores while the run queue is long. `run_queue` is the number of runs that have a core or
    /// wait for one.
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
