//! The minimum latency: the estimated latency of a call that does not wait for another call.
//!
//! The estimate is updated by the latency of each window, and by calls that were made at low
//! concurrency.

use super::window::LatencySummary;
use madderbay::time::{Duration, Timestamp};
use std::collections::VecDeque;

/// Number of consecutive low-concurrency calls that are needed to show that the upstream is slower.
const LOW_CONCURRENCY_SAMPLES: usize = 4;
/// Maximum age of the oldest of the low-concurrency calls.
const MAX_LOW_CONCURRENCY_AGE: Duration = Duration::from_millis(2_000);
/// Latency of the fastest low-concurrency call, as a multiple of the estimate, above which the
/// upstream counts as slower.
const MIN_SLOWDOWN_FACTOR: f64 = 1.5;
/// Weight of a faster window in the estimate.
const FASTER_WINDOW_WEIGHT: f64 = 0.2;
/// Fraction of the estimate below which the latency of a faster window replaces the estimate:
/// chance does not explain such a difference.
const REPLACE_FRACTION: f64 = 0.6;
/// Factor by which the estimate grows per window without a faster one, so that an estimate that is
/// too low by chance does not persist.
const DRIFT_PER_WINDOW: f64 = 1.002;

struct LowConcurrencySample {
    completed_at: Timestamp,
    latency_secs: f64,
}

#[derive(Default)]
pub(super) struct MinimumLatency {
    estimate_secs: Option<f64>,
    low_concurrency: VecDeque<LowConcurrencySample>,
}

impl MinimumLatency {
    pub(super) fn secs(&self) -> Option<f64> {
        self.estimate_secs
    }

    pub(super) fn set(&mut self, secs: f64) {
        self.estimate_secs = Some(secs);
    }

    /// Adds a call made at low concurrency. Raises the estimate if the last
    /// [`LOW_CONCURRENCY_SAMPLES`] such calls were all slow.
    pub(super) fn record_low_concurrency(&mut self, now: Timestamp, latency_secs: f64) {
        if self.low_concurrency.len() == LOW_CONCURRENCY_SAMPLES {
            self.low_concurrency.pop_front();
        }
        self.low_concurrency.push_back(LowConcurrencySample {
            completed_at: now,
            latency_secs,
        });
        if self.low_concurrency.len() == LOW_CONCURRENCY_SAMPLES && self.samples_are_slow(now) {
            let sum = self
                .low_concurrency
                .iter()
                .map(|s| s.latency_secs)
                .sum::<f64>();
            self.estimate_secs = Some(sum / LOW_CONCURRENCY_SAMPLES as f64);
        }
    }

    fn samples_are_slow(&self, now: Timestamp) -> bool {
        let samples = &self.low_concurrency;
        let oldest = samples.front();
        let recent = oldest.is_some_and(|s| now - s.completed_at <= MAX_LOW_CONCURRENCY_AGE);
        let fastest_secs = samples
            .iter()
            .map(|s| s.latency_secs)
            .fold(f64::MAX, f64::min);
        recent
            && self
                .estimate_secs
                .is_some_and(|estimate| fastest_secs > MIN_SLOWDOWN_FACTOR * estimate)
    }

    /// Updates the estimate with the latency of a window, and returns it in seconds.
    pub(super) fn update(&mut self, sample: &LatencySummary) -> f64 {
        let mean = sample.mean_secs;
        let upper_bound = mean + sample.error_secs;
        let updated = match self.estimate_secs {
            None => mean,
            Some(estimate) if upper_bound < REPLACE_FRACTION * estimate => mean,
            Some(estimate) if upper_bound < estimate => {
                estimate + FASTER_WINDOW_WEIGHT * (mean - estimate)
            }
            Some(estimate) => estimate * DRIFT_PER_WINDOW,
        };
        self.estimate_secs = Some(updated);
        updated
    }
}
