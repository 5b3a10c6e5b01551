//! Instants and durations as distinct types. Both count whole microseconds, and saturate at zero and at the largest
//! number. Nothing here reads a clock.
//!
//! ```
//! use madderbay::time::{Duration, Timestamp};
//! let read = Timestamp::from_micros(5_000);
//! assert_eq!(read + Duration::from_millis(2) - read, Duration::from_micros(2_000));
//! assert_eq!(read - Timestamp::from_micros(9_000), Duration::ZERO);
//! assert_eq!(Duration::from_micros(2_999).as_millis(), 2);
//! ```
//!
//! Two instants cannot be added:
//!
//! ```compile_fail
//! use madderbay::time::Timestamp;
//! let _ = Timestamp::from_micros(1) + Timestamp::from_micros(2);
//! ```

use std::ops::{Add, Sub};

/// An instant on the instance's own clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

/// A length of time, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Duration(u64);

impl Timestamp {
    /// Returns the instant `micros` microseconds after the clock's start.
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// Returns the instant `duration` earlier, or the clock's start if that is later.
    pub fn saturating_sub(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(duration.0))
    }
}

impl Duration {
    /// A duration of zero.
    pub const ZERO: Duration = Duration(0);

    /// Returns a duration of `micros` microseconds.
    pub const fn from_micros(micros: u64) -> Duration {
        Duration(micros)
    }

    /// Returns a duration of `millis` milliseconds.
    pub const fn from_millis(millis: u64) -> Duration {
        Duration(millis * 1_000)
    }

    /// Returns a duration of `seconds`, rounded down to whole microseconds; zero if `seconds` is negative or NaN.
    pub fn from_secs_f64(seconds: f64) -> Duration {
        Duration((seconds * 1e6) as u64)
    }

    /// Returns the duration in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the duration in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the duration in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the duration times `factor`, rounded down to whole microseconds; zero if `factor` is negative or NaN.
    pub fn mul_f64(self, factor: f64) -> Duration {
        Duration((self.0 as f64 * factor) as u64)
    }

    /// Returns the duration minus another; zero if the other is longer.
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

    /// Returns the time since the other instant; zero if the other is later.
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
