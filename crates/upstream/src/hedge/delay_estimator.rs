//! The delay of a hedge: a high percentile of the recent latencies of a group of backends.
//!
//! [`HedgeDelayEstimator`] collects the latency of each successful call. It does not decide whether a call is hedged:
//! that is done by [`crate::hedge::policy`].

use hdrhistogram::Histogram;
use madderbay::time::{Duration, Timestamp};

/// Length of a window of latencies. The percentile is computed over the current window and the one before it.
const LATENCY_WINDOW: Duration = Duration::from_millis(10_000);
/// Time between two computations of the percentile.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(500);
/// Percentile of the latencies that a call in flight must exceed to be hedged.
const HEDGE_PERCENTILE: f64 = 95.0;
/// Minimum number of latencies that are needed for a hedge.
const MIN_LATENCIES: u64 = 30;
/// Lower bound on the delay of a hedge.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(5);
/// Resolution of the recorded latencies, in microseconds.
const RESOLUTION_MICROS: u64 = 100;
/// The longest latency that is distinguished, in units of the resolution: 60 s.
const MAX_LATENCY_UNITS: u64 = 600_000;
/// Significant decimal digits of the recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 2;

/// The recent latencies of a group, and the hedge delay that is derived from them.
pub(crate) struct HedgeDelayEstimator {
    current: Histogram<u64>,
    previous: Histogram<u64>,
    window_started_at: Timestamp,
    evaluated_at: Timestamp,
    delay: Option<Duration>,
}

impl HedgeDelayEstimator {
    /// Creates an estimator without latencies. It gives no delay until enough latencies are recorded.
    pub(crate) fn new(now: Timestamp) -> HedgeDelayEstimator {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_UNITS, SIGNIFICANT_DIGITS)
                .expect("constant bounds are valid")
        };
        HedgeDelayEstimator {
            current: histogram(),
            previous: histogram(),
            window_started_at: now,
            evaluated_at: now,
            delay: None,
        }
    }

    /// Records the latency of a successful call.
    pub(crate) fn record(&mut self, latency: Duration) {
        let units = (latency.as_micros() / RESOLUTION_MICROS).clamp(1, MAX_LATENCY_UNITS);
        // Recording a value within the bounds cannot fail.
        let _ = self.current.record(units);
    }

    /// Returns the time after its start at which a call in flight may be hedged, or `None` if too few latencies are
    /// known.
    pub(crate) fn delay(&mut self, now: Timestamp) -> Option<Duration> {
        if now - self.window_started_at >= LATENCY_WINDOW {
            self.window_started_at = now;
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
        self.delay
    }

    /// Recomputes the delay if that is due.
    pub(crate) fn evaluate_if_due(&mut self, now: Timestamp) {
        if now - self.evaluated_at >= EVALUATION_INTERVAL {
            self.evaluated_at = now;
            self.evaluate();
        }
    }

    fn evaluate(&mut self) {
        let mut latencies = self.current.clone();
        // Both histograms have the same bounds, so adding them cannot fail.
        let _ = latencies.add(&self.previous);
        let units = latencies.value_at_percentile(HEDGE_PERCENTILE);
        let delay = Duration::from_micros(units * RESOLUTION_MICROS).max(MIN_HEDGE_DELAY);
        self.delay = (latencies.len() >= MIN_LATENCIES).then_some(delay);
    }
}

#[cfg(test)]
mod tests;
