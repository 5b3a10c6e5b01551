//! Detects a connection whose input does not let up, so that operators learn of it.
//!
//! `FloodDetector` owns the limit on the lines of one connection below which it is not reported. It holds nothing back:
//! the turns in which input is served do.

use crate::support::rate_limiter::{RateLimiter, Refill};
use madderbay::time::{Duration, Timestamp};

/// Number of lines within [`FLOOD_PERIOD`] from which a connection is reported: several times what load balancers send
/// on one connection in their busiest second.
const FLOOD_LINES: u32 = 10_000;
/// Time after which the count of lines begins anew.
const FLOOD_PERIOD: Duration = Duration::from_millis(1_000);

/// Counts the lines of one connection.
pub(super) struct FloodDetector {
    lines: RateLimiter,
    was_reported: bool,
}

impl Default for FloodDetector {
    fn default() -> FloodDetector {
        let refill = Refill::EachInterval(FLOOD_PERIOD);
        FloodDetector {
            lines: RateLimiter::new(Timestamp::default(), FLOOD_LINES - 1, refill),
            was_reported: false,
        }
    }
}

impl FloodDetector {
    /// Adds the lines that were served in a turn. Returns whether the connection is to be reported, which happens once
    /// in its life.
    pub(super) fn turn_ended(&mut self, now: Timestamp, lines: usize) -> bool {
        if self.was_reported {
            return false;
        }
        self.was_reported = (0..lines).any(|_| !self.lines.try_take(now));
        self.was_reported
    }
}

#[cfg(test)]
mod tests;
