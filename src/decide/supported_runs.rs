//! The runs that the machine supports, fewer while it warms up.
//!
//! Owns the start and the warm-up of this incarnation. Decides nothing; others keep starts and load reports within it.

use crate::interface::Machine;
use crate::time::{Duration, Timestamp};

/// Fraction of the supported runs that may be used: a stall can put all of them on the cores at once.
const USABLE_FRACTION: f64 = 0.85;
/// Shortest warm-up counted, in seconds; avoids a division by zero.
const MIN_WARM_UP_SECS: f64 = 1e-3;

/// The concurrency at which the machine does not collapse.
pub(super) struct SupportedRuns {
    cores: f64,
    max_per_core: f64,
    started: Timestamp,
    /// Zero where the incarnation starts with warm caches.
    warm_up: Duration,
    /// Speed at the start as a fraction of the full speed; 1 where the caches are warm.
    cold_speed: f64,
}

impl SupportedRuns {
    /// The incarnation starts now.
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

    /// Most runs that the machine supports now, rising during the warm-up; at least 1.
    pub(super) fn max_runs(&self, now: Timestamp) -> f64 {
        let elapsed_secs = (now - self.started).as_secs_f64();
        let warmed_fraction = elapsed_secs / self.warm_up.as_secs_f64().max(MIN_WARM_UP_SECS);
        let speed = (self.cold_speed + (1.0 - self.cold_speed) * warmed_fraction).min(1.0);
        let supported = self.cores * (1.0 + (self.max_per_core - 1.0) * speed);
        (supported * USABLE_FRACTION).max(1.0)
    }

    /// Whether the caches are still cold.
    pub(super) fn is_warming_up(&self, now: Timestamp) -> bool {
        now - self.started < self.warm_up
    }
}
