//! When a hedge is due: after a high percentile of the recent latencies of a group of backends.
//!
//! [`HedgeDelayEstimator`] owns the latencies and is given each one of a successful call. It never decides whether a
//! call is hedged: that is [`crate::hedge::policy`].

use hdrhistogram::Histogram;
use madderbay::time::{Duration, Timestamp};

/// Latencies are collected over this long, in two windows: the present one and the one before it.
const LATENCY_WINDOW: Duration = Duration::from_millis(10_000);
/// The percentile is computed this often.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(500);
/// Percentile of the latencies that a call in flight has to exceed.
const HEDGE_PERCENTILE: f64 = 95.0;
/// Latencies without which there are no hedges.
const MIN_LATENCIES: u64 = 30;
/// Lower bound on the delay of a hedge.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(5);
/// Resolution of the latencies, in microseconds.
const RESOLUTION_MICROS: u64 = 100;
/// The longest latency that is told apart, in units of the resolution: 60 s.
const MAX_LATENCY_UNITS: u64 = 600_000;
/// Significant digits of the latencies.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Recent latencies of a group, and the delay of a hedge that follows from them.
pub(crate) struct HedgeDelayEstimator {
    current: Histogram<u64>,
    previous: Histogram<u64>,
    window_started_at: Timestamp,
    evaluated_at: Timestamp,
    delay: Option<Duration>,
}

impl HedgeDelayEstimator {
    /// An estimator without latencies, and so without hedges.
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

    /// Counts the latency of a successful call.
    pub(crate) fn record(&mut self, latency: Duration) {
        let units = (latency.as_micros() / RESOLUTION_MICROS).clamp(1, MAX_LATENCY_UNITS);
        // A value within the bounds is always recorded.
        let _ = self.current.record(units);
    }

    /// How long after its start a call in flight is worth a hedge; nothing where too few latencies are known.
    pub(crate) fn delay(&mut self, now: Timestamp) -> Option<Duration> {
        if now - self.window_started_at >= LATENCY_WINDOW {
            self.window_started_at = now;
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
        self.delay
    }

    /// Computes the delay anew where that is due.
    pub(crate) fn evaluate_if_due(&mut self, now: Timestamp) {
        if now - self.evaluated_at >= EVALUATION_INTERVAL {
            self.evaluated_at = now;
            self.evaluate();
        }
    }

    fn evaluate(&mut self) {
        let mut latencies = self.current.clone();
        // Both histograms have the same bounds, so that adding cannot fail.
        let _ = latencies.add(&self.previous);
        let units = latencies.value_at_percentile(HEDGE_PERCENTILE);
        let delay = Duration::from_micros(units * RESOLUTION_MICROS).max(MIN_HEDGE_DELAY);
        self.delay = (latencies.len() >= MIN_LATENCIES).then_some(delay);
    }
}

#[cfg(test)]
mod tests;
