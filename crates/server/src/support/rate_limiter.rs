//! A limit on how often something may happen, with a count of what exceeded it.
//!
//! `RateLimiter` owns the available permits. It is given the time and reads no clock. It never delays anything: the
//! caller leaves out what gets no permit.

use madderbay::time::{Duration, Timestamp};

/// When permits are restored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refill {
    /// All at once, when this interval has passed since the last refill.
    EachInterval(Duration),
    /// This many per second, up to the initial number. They are added when no permit is left.
    PerSecond(f64),
}

/// Permits for something that may happen a limited number of times.
///
/// ```
/// use madderbay::time::{Duration, Timestamp};
/// use madderbay_server::support::rate_limiter::{RateLimiter, Refill};
/// let at = |ms: u64| Timestamp::from_micros(ms * 1_000);
/// let refill = Refill::EachInterval(Duration::from_millis(100));
/// let mut limiter = RateLimiter::new(at(0), 1, refill);
/// assert!(limiter.try_take(at(0)));
/// assert!(!limiter.try_take(at(99)));
/// assert!(limiter.try_take(at(100)));
/// assert_eq!(limiter.take_refused(), 1);
/// ```
#[derive(Debug)]
pub struct RateLimiter {
    max_permits: f64,
    refill: Refill,
    /// The permits that are left, including fractions where they are restored per second.
    permits: f64,
    refilled_at: Timestamp,
    refused: u64,
}

impl RateLimiter {
    /// Creates a limiter with all its permits, of which there are never more than `max_permits`.
    pub fn new(now: Timestamp, max_permits: u32, refill: Refill) -> RateLimiter {
        let max_permits = f64::from(max_permits);
        RateLimiter {
            max_permits,
            refill,
            permits: max_permits,
            refilled_at: now,
            refused: 0,
        }
    }

    /// Takes a permit, and returns whether there was one. A refusal is counted.
    pub fn try_take(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        if self.has_permit() {
            self.permits -= 1.0;
            return true;
        }
        self.refused += 1;
        false
    }

    /// Reports whether a permit is left, as of the last refill.
    pub fn has_permit(&self) -> bool {
        self.permits >= 1.0
    }

    /// Restores the permits that are due. Returns whether a refill was due.
    pub fn refill(&mut self, now: Timestamp) -> bool {
        let elapsed = now - self.refilled_at;
        let (is_due, permits) = match self.refill {
            Refill::EachInterval(interval) => (elapsed >= interval, self.max_permits),
            Refill::PerSecond(rate) => {
                let permits = self.permits + elapsed.as_secs_f64() * rate;
                (!self.has_permit(), permits.min(self.max_permits))
            }
        };
        if is_due {
            self.permits = permits;
            self.refilled_at = now;
        }
        is_due
    }

    /// Returns the number of refusals since the count was last taken.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns the number of refusals and resets the count.
    pub fn take_refused(&mut self) -> u64 {
        std::mem::take(&mut self.refused)
    }
}

#[cfg(test)]
mod tests;
