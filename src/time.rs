//! Points in time and lengths of time, kept apart by the compiler. Both count whole microseconds, and saturate
//! at zero and at the largest number; no clock is read here.
//!
//! ```
//! use madderbay::time::{Duration, Timestamp};
//! let read = Timestamp::from_micros(5_000);
//! assert_eq!(read + Duration::from_millis(2) - read, Duration::from_micros(2_000));
//! assert_eq!(read - Timestamp::from_micros(9_000), Duration::ZERO);
//! ```
//!
//! Two points cannot be added:
//!
//! ```compile_fail
//! use madderbay::time::Timestamp;
//! let _ = Timestamp::from_micros(1) + Timestamp::from_micros(2);
//! ```

use std::ops::{Add, Sub};

/// A point on the instance's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

/// A length of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Duration(u64);

impl Timestamp {
    /// The point that many microseconds after the clock's start.
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// The point `duration` earlier; the clock's start if there is none.
    pub fn saturating_sub(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(duration.0))
    }
}

impl Duration {
    /// No time.
    pub const ZERO: Duration = Duration(0);

    /// That many microseconds.
    pub const fn from_micros(micros: u64) -> Duration {
        Duration(micros)
    }

    /// That many milliseconds.
    pub const fn from_millis(millis: u64) -> Duration {
        Duration(millis * 1_000)
    }

    /// That many seconds, rounded down to microseconds; zero for a negative or undefined number.
    pub fn from_secs_f64(seconds: f64) -> Duration {
        Duration((seconds * 1e6) as u64)
    }

    /// The length in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The length in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The multiple by a factor, rounded down to microseconds; zero for a negative or undefined factor.
    pub fn mul_f64(self, factor: f64) -> Duration {
        Duration((self.0 as f64 * factor) as u64)
    }

    /// The length less another; zero where the other is longer.
    pub fn saturating_sub(self, other: Duration) -> Duration {
        Duration(self.0.saturating_sub(other.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(duration.0))
    }
}

impl Sub for Timestamp {
    type Output = Duration;

    /// The time since the other point; zero where that is the later one.
    fn sub(self, other: Timestamp) -> Duration {
        Duration(self.0.saturating_sub(other.0))
    }
}

impl Add for Duration {
    type Output = Duration;

    fn add(self, other: Duration) -> Duration {
        Duration(self.0.saturating_add(other.0))
    }
}
