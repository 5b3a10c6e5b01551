//! Slow start: a backend that was added or has returned from ejection gets a growing fraction of its weight, because
//! its caches may be cold and all servers begin to use it at the same time.

use madderbay::time::Duration;

/// Fraction of its weight that a backend has at the beginning of slow start.
const INITIAL_WEIGHT_FRACTION: f64 = 0.1;
/// Duration of slow start, after which a backend has its full weight.
pub(crate) const SLOW_START_WINDOW: Duration = Duration::from_millis(10_000);

/// Returns the fraction of its weight that a backend has when it has been in slow start for `elapsed`.
pub(crate) fn weight_fraction(elapsed: Duration) -> f64 {
    let progress = elapsed.as_secs_f64() / SLOW_START_WINDOW.as_secs_f64();
    INITIAL_WEIGHT_FRACTION + (1.0 - INITIAL_WEIGHT_FRACTION) * progress.min(1.0)
}
