//! Random jitter for times that would otherwise be the same on all servers.

use madderbay::time::Duration;

/// Lower bound of the result, as a fraction of the time.
const MIN_FRACTION: f64 = 0.75;
/// Width of the range of results, as a fraction of the time.
const SPREAD: f64 = 0.5;

/// Returns 0.75 to 1.25 times `time`. `random` is a random number from 0 to 1.
pub(crate) fn spread(time: Duration, random: f64) -> Duration {
    time.mul_f64(MIN_FRACTION + SPREAD * random)
}
