//! Limits the rate at which received datagrams are processed, so that a flood takes a bounded fraction of the CPU core.

use crate::support::rate_limiter::{RateLimiter, Refill};
use madderbay::time::Timestamp;

/// Datagrams processed per second. When a fleet of a thousand servers forms, each server receives a tenth of this.
const DATAGRAMS_PER_SECOND: f64 = 5_000.0;
/// Maximum number of datagrams processed in a burst.
const MAX_BURST: u32 = 1_000;

/// The rate limit on the datagrams of one socket.
pub(super) struct DatagramLimit {
    limiter: RateLimiter,
}

impl DatagramLimit {
    /// Creates a limit with its full burst available.
    pub(super) fn new(now: Timestamp) -> DatagramLimit {
        let refill = Refill::PerSecond(DATAGRAMS_PER_SECOND);
        DatagramLimit {
            limiter: RateLimiter::new(now, MAX_BURST, refill),
        }
    }

    /// Takes a permit for one datagram; returns whether the datagram may be processed.
    pub(super) fn try_take(&mut self, now: Timestamp) -> bool {
        self.limiter.try_take(now)
    }
}

#[cfg(test)]
mod tests;
