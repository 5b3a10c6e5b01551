//! The sample window: sums over the calls that started and completed within it, as evidence about
//! the upstream.
//!
//! Only sums are kept, no single samples.

use super::{Completion, Permit};
use madderbay::time::{Duration, Timestamp};

/// Minimum length of a window.
const MIN_WINDOW: Duration = Duration::from_millis(100);
/// Length after which a window is complete even if only one call completed in it.
const MAX_WINDOW: Duration = Duration::from_millis(1_000);
/// Bounds on the number of completed calls that make a window complete.
const MIN_WINDOW_SAMPLES: f64 = 4.0;
const MAX_WINDOW_SAMPLES: f64 = 16.0;
/// Number of completed calls that make a window complete, as a fraction of the limit.
const WINDOW_SAMPLES_PER_LIMIT: f64 = 0.6;
/// Fraction of failed calls above which a window counts as failing.
const FAILING_FRACTION: f64 = 0.5;
/// Number of samples below which their spread is not used as an estimate of the error.
const MIN_SPREAD_SAMPLES: u32 = 3;
/// Error of the mean that is assumed below [`MIN_SPREAD_SAMPLES`], as a fraction of the mean.
const ASSUMED_ERROR_FRACTION: f64 = 0.5;

/// Mean latency of a window, with its standard error.
#[derive(Clone, Copy, Debug)]
pub(super) struct LatencySummary {
    pub(super) mean_secs: f64,
    /// Standard error of the mean.
    pub(super) error_secs: f64,
    /// Mean number of calls in flight when the sampled calls started.
    pub(super) mean_in_flight: f64,
}

pub(super) struct SampleWindow {
    started_at: Timestamp,
    successes: u32,
    failures: u32,
    timeouts: u32,
    latency_sum_secs: f64,
    squared_latency_sum: f64,
    in_flight_sum: f64,
    /// Whether the limit prevented a call.
    saturated: bool,
}

impl SampleWindow {
    pub(super) fn new(now: Timestamp) -> SampleWindow {
        SampleWindow {
            started_at: now,
            successes: 0,
            failures: 0,
            timeouts: 0,
            latency_sum_secs: 0.0,
            squared_latency_sum: 0.0,
            in_flight_sum: 0.0,
            saturated: false,
        }
    }

    pub(super) fn started_at(&self) -> Timestamp {
        self.started_at
    }

    pub(super) fn is_saturated(&self) -> bool {
        self.saturated
    }

    pub(super) fn has_successes(&self) -> bool {
        self.successes > 0
    }

    pub(super) fn record_saturation(&mut self) {
        self.saturated = true;
    }

    /// Adds a completed call; calls that started in an earlier window are ignored.
    pub(super) fn record(&mut self, permit: &Permit, completion: Completion, latency_secs: f64) {
        if permit.started_at() < self.started_at {
            return;
        }
        match completion {
            Completion::Success => {
                self.successes += 1;
                self.latency_sum_secs += latency_secs;
                self.squared_latency_sum += latency_secs * latency_secs;
                self.in_flight_sum += permit.in_flight() as f64;
            }
            Completion::Failure => self.failures += 1,
            Completion::TimedOut => self.timeouts += 1,
            Completion::Cancelled => {}
        }
    }

    fn completed(&self) -> u32 {
        self.successes + self.failures + self.timeouts
    }

    /// Reports whether the window holds enough evidence at this limit. The trial call of a
    /// half-open circuit breaker is enough by itself.
    pub(super) fn is_complete(&self, now: Timestamp, limit: f64, half_open: bool) -> bool {
        let elapsed = now - self.started_at;
        let required =
            (limit * WINDOW_SAMPLES_PER_LIMIT).clamp(MIN_WINDOW_SAMPLES, MAX_WINDOW_SAMPLES);
        let enough_samples = f64::from(self.completed()) >= required;
        let any_sample = self.completed() > 0;
        (enough_samples && elapsed >= MIN_WINDOW)
            || (any_sample && (elapsed >= MAX_WINDOW || half_open))
    }

    pub(super) fn mostly_failed(&self) -> bool {
        f64::from(self.failures) > FAILING_FRACTION * f64::from(self.completed())
    }

    /// Returns the mean latency of the successful calls; `None` if there were none.
    pub(super) fn latency(&self) -> Option<LatencySummary> {
        if self.successes == 0 {
            return None;
        }
        let samples = f64::from(self.successes);
        let mean = self.latency_sum_secs / samples;
        let spread = (self.squared_latency_sum / samples - mean * mean)
            .max(0.0)
            .sqrt();
        let error = if self.successes < MIN_SPREAD_SAMPLES {
            mean * ASSUMED_ERROR_FRACTION
        } else {
            spread / (samples - 1.0).sqrt()
        };
        Some(LatencySummary {
            mean_secs: mean,
            error_secs: error,
            mean_in_flight: self.in_flight_sum / samples,
        })
    }
}
