//! The best value that a mean has had of late.

/// Factor on the best per sample, so that a lasting change of the mean becomes the best in time.
const DRIFT_PER_SAMPLE: f64 = 1.0005;

/// The lowest recent value of a mean of times, in seconds.
#[derive(Debug)]
pub(super) struct BestMean(f64);

impl BestMean {
    /// Begins at a first guess, in seconds.
    pub(super) fn new(initial_estimate_secs: f64) -> BestMean {
        BestMean(initial_estimate_secs)
    }

    /// The best, in seconds.
    pub(super) fn secs(&self) -> f64 {
        self.0
    }

    /// The mean has had one more sample, and is now `mean_secs`.
    pub(super) fn record(&mut self, mean_secs: f64) {
        self.0 = (self.0 * DRIFT_PER_SAMPLE).min(mean_secs);
    }
}
