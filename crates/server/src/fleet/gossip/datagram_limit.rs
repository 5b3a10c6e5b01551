//! Limits the received datagrams that are looked at, so that a flood takes no more than a bounded part of the core.

use crate::support::rate_limiter::{RateLimiter, Refill};
use madderbay::time::Timestamp;

/// Datagrams a second. A fleet of a thousand servers that forms anew sends a tenth of it to each.
const DATAGRAMS_PER_SECOND: f64 = 5_000.0;
/// Datagrams at once.
const MAX_BURST: u32 = 1_000;

/// The limit on the datagrams of one socket.
pub(super) struct DatagramLimit {
    limiter: RateLimiter,
}

impl DatagramLimit {
    /// A limit that a burst has not touched yet.
    pub(super) fn new(now: Timestamp) -> DatagramLimit {
        let refill = Refill::PerSecond(DATAGRAMS_PER_SECOND);
        DatagramLimit {
            limiter: RateLimiter::new(now, MAX_BURST, refill),
        }
    }

    /// Takes a permit for one datagram; returns whether the datagram may be looked at.
    pub(super) fn try_take(&mut self, now: Timestamp) -> bool {
        self.limiter.try_take(now)
    }
}

#[cfg(test)]
mod tests;
