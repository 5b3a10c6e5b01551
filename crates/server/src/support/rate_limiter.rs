//! A limit on how often something may happen, with a count of what was over the limit.
//!
//! `RateLimiter` owns the permits that are left. It is given the time and reads no clock. It never delays anything:
//! what gets no permit is left out by whoever asked.

use madderbay::time::{Duration, Timestamp};

/// When permits that were taken are given back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refill {
    /// All of them at once, when this interval has passed since the last time.
    EachInterval(Duration),
    /// So many a second, never more than the limiter began with. They are added up when none is left.
    PerSecond(f64),
}

/// Permits for something that may happen a bounded number of times.
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
    /// Permits that are left, in fractions where they come back by the second.
    permits: f64,
    refilled_at: Timestamp,
    refused: u64,
}

impl RateLimiter {
    /// A limiter with all its permits, at most `max_permits` at a time.
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

    /// Takes a permit; returns whether there was one. One that is refused is counted.
    pub fn try_take(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        if self.has_permit() {
            self.permits -= 1.0;
            return true;
        }
        self.refused += 1;
        false
    }

    /// Whether a permit is left, as of the last refill.
    pub fn has_permit(&self) -> bool {
        self.permits >= 1.0
    }

    /// Gives back the permits that are due; returns whether it was time to.
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

    /// How often no permit was left, since this was last taken.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// The same, and counts anew.
    pub fn take_refused(&mut self) -> u64 {
        std::mem::take(&mut self.refused)
    }
}

#[cfg(test)]
mod tests;
