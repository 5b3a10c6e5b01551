//! Points in time and durations, kept apart by the compiler.
//!
//! ```
//! use madderbay::time::{Duration, Timestamp};
//! let read = Timestamp::from_micros(5_000);
//! assert_eq!(read + Duration::from_millis(2) - read, Duration::from_micros(2_000));
//! assert_eq!(read - Timestamp::from_micros(9_000), Duration::ZERO);
//! ```
//!
//! Two points can't be added:
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
    pub const fn from_micros(us: u64) -> Timestamp {
        Timestamp(us)
    }
    /// The point `span` earlier; the clock's start if there is none.
    pub fn saturating_sub(self, span: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(span.0))
    }
}

impl Duration {
    pub const ZERO: Duration = Duration(0);
    pub const fn from_micros(us: u64) -> Duration {
        Duration(us)
    }
    pub const fn from_millis(ms: u64) -> Duration {
        Duration(ms * 1_000)
    }
    /// Negative and undefined numbers count as nothing.
    pub fn from_secs_f64(s: f64) -> Duration {
        Duration((s * 1e6) as u64)
    }
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
    pub const fn as_micros(self) -> u64 {
        self.0
    }
    pub fn mul_f64(self, k: f64) -> Duration {
        Duration((self.0 as f64 * k) as u64)
    }
    pub fn saturating_sub(self, other: Duration) -> Duration {
        Duration(self.0.saturating_sub(other.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;
    fn add(self, span: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(span.0))
    }
}

impl Sub for Timestamp {
    type Output = Duration;
    /// Nothing, where the other point is the later one.
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
