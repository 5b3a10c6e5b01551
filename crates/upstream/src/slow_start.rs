//! Slow start: a backend that was added or has returned gets a growing fraction of its weight, since its caches may
//! be cold and all servers begin to use it at the same time.

use madderbay::time::Duration;

/// Fraction of the weight at the beginning of slow start.
const INITIAL_WEIGHT_FRACTION: f64 = 0.1;
/// Time after which a backend has its full weight.
pub(crate) const SLOW_START_WINDOW: Duration = Duration::from_millis(10_000);

/// The fraction of its weight that a backend has after so long in slow start.
pub(crate) fn weight_fraction(elapsed: Duration) -> f64 {
    let progress = elapsed.as_secs_f64() / SLOW_START_WINDOW.as_secs_f64();
    INITIAL_WEIGHT_FRACTION + (1.0 - INITIAL_WEIGHT_FRACTION) * progress.min(1.0)
}
