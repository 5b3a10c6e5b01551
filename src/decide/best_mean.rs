//! The lowest value that a mean has had recently.

/// Factor on the best value per sample, so that after a lasting change the new mean becomes the best in time.
const DRIFT_PER_SAMPLE: f64 = 1.0005;

/// The lowest recent value of a mean of durations, in seconds.
#[derive(Debug)]
pub(super) struct BestMean(f64);

impl BestMean {
    /// Starts with an initial estimate, in seconds.
    pub(super) fn new(initial_estimate_secs: f64) -> BestMean {
        BestMean(initial_estimate_secs)
    }

    /// Returns the best value, in seconds.
    pub(super) fn secs(&self) -> f64 {
        self.0
    }

    /// Records that the mean has received one more sample and is now `mean_secs`.
    pub(super) fn record(&mut self, mean_secs: f64) {
        self.0 = (self.0 * DRIFT_PER_SAMPLE).min(mean_secs);
    }
}
