//! Limits the received datagrams that are looked at, so that a flood takes no more than a bounded part of the core.

use std::time::Instant;

/// Datagrams a second. A fleet of a thousand servers that forms anew sends a tenth of it to each.
const DATAGRAMS_PER_SECOND: f64 = 5_000.0;
/// Datagrams at once.
const MAX_BURST: f64 = 1_000.0;

/// A token bucket that is refilled when it is empty.
pub(super) struct DatagramLimit {
    available: f64,
    refilled_at: Instant,
}

impl DatagramLimit {
    /// Creates a full bucket.
    pub(super) fn new() -> DatagramLimit {
        DatagramLimit {
            available: MAX_BURST,
            refilled_at: Instant::now(),
        }
    }

    /// Takes a token for one datagram; returns whether the datagram may be looked at.
    pub(super) fn try_take(&mut self) -> bool {
        if self.available < 1.0 {
            self.refill();
        }
        if self.available >= 1.0 {
            self.available -= 1.0;
        }
        self.available >= 1.0
    }

    /// Adds the tokens of the time since the last refill.
    fn refill(&mut self) {
        let elapsed = std::mem::replace(&mut self.refilled_at, Instant::now()).elapsed();
        let refilled = self.available + elapsed.as_secs_f64() * DATAGRAMS_PER_SECOND;
        self.available = refilled.min(MAX_BURST);
    }
}
