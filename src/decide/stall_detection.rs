//! Stalls: what the ages of unfinished runs say of the server.
//!
//! Owns the measured pace and the time of the last completion. Is given the ages of the runs on the cores at each
//! tick. Cancels nothing.

use crate::request::RunAges;
use crate::time::{Duration, Timestamp};

/// Time without a completion after which the oldest run stands for one.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Usual mean age of the runs on the cores, in mean run times. Past it, longer runs are expected.
const USUAL_AGE_IN_RUNS: f64 = 1.5;
/// Usual ages that count beside those seen: few runs say little.
const PRIOR_AGES: f64 = 3.0;
/// Slowdown from which a server counts as hung.
const HUNG_SLOWDOWN: f64 = 4.0;

/// Mean ages of the runs on the cores, as ratios to the usual age, at least 1.
pub(super) struct StallDetector {
    run_time_factor: f64,
    /// Damped by prior ages.
    slowdown: f64,
    last_completion: Timestamp,
}

impl StallDetector {
    /// A server at its usual pace.
    pub(super) fn new(now: Timestamp) -> StallDetector {
        StallDetector {
            run_time_factor: 1.0,
            slowdown: 1.0,
            last_completion: now,
        }
    }

    /// Factor on expected run times at the present pace, at least 1.
    pub(super) fn run_time_factor(&self) -> f64 {
        self.run_time_factor
    }

    /// How much slower than usual the server judges itself, at least 1.
    pub(super) fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Whether the server is so slow that load balancers should turn away from it.
    pub(super) fn is_hung(&self) -> bool {
        self.slowdown >= HUNG_SLOWDOWN
    }

    /// A run has completed or failed.
    pub(super) fn on_completion(&mut self, now: Timestamp) {
        self.last_completion = now;
    }

    /// Whether nothing has completed for so long that the oldest run stands for a completion.
    pub(super) fn is_stalled(&self, now: Timestamp) -> bool {
        now - self.last_completion > STALL_TIMEOUT
    }

    /// Measures the pace by the ages of the runs on the cores.
    pub(super) fn measure(&mut self, ages: RunAges, mean_run_secs: f64) {
        let usual_age = USUAL_AGE_IN_RUNS * mean_run_secs;
        let prior_secs = PRIOR_AGES * usual_age;
        let damped = (ages.seconds + prior_secs) / (usual_age * (ages.runs + PRIOR_AGES));
        self.slowdown = damped.max(1.0);
        let undamped = ages.seconds / (usual_age * ages.runs.max(1.0));
        self.run_time_factor = undamped.max(1.0);
    }
}
