//! Jitter: times that all servers would otherwise share are spread by a random number.

use madderbay::time::Duration;

/// The fraction of a time that is left at least.
const MIN_FRACTION: f64 = 0.75;
/// The width of the spread, as a fraction of the time.
const SPREAD: f64 = 0.5;

/// Three to five quarters of a time; `random` is from 0 to 1.
pub(crate) fn spread(time: Duration, random: f64) -> Duration {
    time.mul_f64(MIN_FRACTION + SPREAD * random)
}
