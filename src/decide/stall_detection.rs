//! Detection of stalls from the ages of unfinished runs.
//!
//! [`StallDetector`] keeps the slowdown that it measures at each tick from the ages of the runs on the cores, and the
//! time of the last completion. It cancels no runs.

use crate::request::RunAges;
use crate::time::{Duration, Timestamp};

/// Time without a completion after which the age of the oldest run is counted as one.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Usual mean age of the runs on the cores, in mean run times. Above it, longer run times are expected.
const USUAL_AGE_IN_RUNS: f64 = 1.5;
/// Number of runs of the usual age that are added to those measured, because a few runs are weak evidence.
const PRIOR_AGES: f64 = 3.0;
/// Slowdown from which a server counts as hung.
const HUNG_SLOWDOWN: f64 = 4.0;

/// Compares the mean age of the runs on the cores with the usual age; the ratios are at least 1.
pub(super) struct StallDetector {
    run_time_factor: f64,
    /// The ratio damped by the prior ages.
    slowdown: f64,
    last_completion: Timestamp,
}

impl StallDetector {
    /// Starts at the usual speed.
    pub(super) fn new(now: Timestamp) -> StallDetector {
        StallDetector {
            run_time_factor: 1.0,
            slowdown: 1.0,
            last_completion: now,
        }
    }

    /// Returns the factor on expected run times at the present speed, at least 1.
    pub(super) fn run_time_factor(&self) -> f64 {
        self.run_time_factor
    }

    /// Returns how much slower than usual the server judges itself to be, at least 1.
    pub(super) fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Reports whether the server is so slow that load balancers should avoid it.
    pub(super) fn is_hung(&self) -> bool {
        self.slowdown >= HUNG_SLOWDOWN
    }

    /// Records that a run has completed or failed.
    pub(super) fn on_completion(&mut self, now: Timestamp) {
        self.last_completion = now;
    }

    /// Reports whether nothing has completed for so long that the oldest run is counted as a completion.
    pub(super) fn is_stalled(&self, now: Timestamp) -> bool {
        now - self.last_completion > STALL_TIMEOUT
    }

    /// Measures the slowdown from the ages of the runs on the cores.
    pub(super) fn measure(&mut self, ages: RunAges, mean_run_secs: f64) {
        let usual_age = USUAL_AGE_IN_RUNS * mean_run_secs;
        let prior_secs = PRIOR_AGES * usual_age;
        let damped = (ages.seconds + prior_secs) / (usual_age * (ages.runs + PRIOR_AGES));
        self.slowdown = damped.max(1.0);
        let undamped = ages.seconds / (usual_age * ages.runs.max(1.0));
        self.run_time_factor = undamped.max(1.0);
    }
}
