//! The number of runs that the machine supports, which is smaller while it warms up.
//!
//! [`SupportedRuns`] keeps the start and the warm-up of this incarnation. Other rules keep starts and load reports
//! within the number that it returns.

use crate::interface::Machine;
use crate::time::{Duration, Timestamp};

/// Fraction of the supported runs that may be used, because a stall can put all of them on the cores at once.
const USABLE_FRACTION: f64 = 0.85;
/// Lower bound of the warm-up, in seconds; avoids a division by zero.
const MIN_WARM_UP_SECS: f64 = 1e-3;

/// Tracks how many concurrent runs the machine supports without collapsing.
pub(super) struct SupportedRuns {
    cores: f64,
    max_per_core: f64,
    started: Timestamp,
    /// Zero if the incarnation starts with warm caches.
    warm_up: Duration,
    /// Speed at the start as a fraction of the full speed; 1 if the caches are warm.
    cold_speed: f64,
}

impl SupportedRuns {
    /// Starts the warm-up of an incarnation that starts now.
    pub(super) fn new(now: Timestamp, machine: &Machine) -> SupportedRuns {
        let is_cold = machine.starts_cold;
        SupportedRuns {
            cores: f64::from(machine.cores),
            max_per_core: machine.max_concurrency_per_core,
            started: now,
            warm_up: if is_cold {
                machine.warm_up
            } else {
                Duration::ZERO
            },
            cold_speed: if is_cold { machine.cold_speed } else { 1.0 },
        }
    }

    /// Returns the largest number of runs that the machine supports now, at least 1. It rises during the warm-up.
    pub(super) fn max_runs(&self, now: Timestamp) -> f64 {
        let elapsed_secs = (now - self.started).as_secs_f64();
        let warmed_fraction = elapsed_secs / self.warm_up.as_secs_f64().max(MIN_WARM_UP_SECS);
        let speed = (self.cold_speed + (1.0 - self.cold_speed) * warmed_fraction).min(1.0);
        let supported = self.cores * (1.0 + (self.max_per_core - 1.0) * speed);
        (supported * USABLE_FRACTION).max(1.0)
    }

    /// Reports whether the caches are still cold.
    pub(super) fn is_warming_up(&self, now: Timestamp) -> bool {
        now - self.started < self.warm_up
    }
}
