//! Writes the fleet's events to the log. The number of lines per interval is bounded; further events are only counted.

use crate::support::logging;
use crate::support::rate_limiter::{RateLimiter, Refill};
use madderbay::time::{Duration, Timestamp};

/// Maximum number of lines in one interval.
const MAX_LINES_PER_INTERVAL: u32 = 200;
/// Length of an interval.
const INTERVAL: Duration = Duration::from_millis(10_000);

/// Writes events to the log, up to the limit of the current interval.
pub(super) struct EventLog {
    limiter: RateLimiter,
}

impl EventLog {
    /// Creates the log and starts its first interval.
    pub(super) fn new(now: Timestamp) -> EventLog {
        EventLog {
            limiter: RateLimiter::new(now, MAX_LINES_PER_INTERVAL, Refill::EachInterval(INTERVAL)),
        }
    }

    /// Returns the number of events that were counted instead of written and that the log does not report yet.
    pub(super) fn unwritten(&self) -> u64 {
        self.limiter.refused()
    }

    /// Writes one line for each event as far as the limit allows. The first call in an interval also reports how many
    /// events were omitted in earlier intervals.
    pub(super) fn write(&mut self, now: Timestamp, events: &[String]) {
        if self.limiter.refill(now) {
            self.report_omitted();
        }
        for event in events {
            if self.limiter.try_take(now) {
                logging::plain(format!("INFO {event}\n"));
            }
        }
    }

    fn report_omitted(&mut self) {
        let count = self.limiter.take_refused();
        if count > 0 {
            log::info!("membership: changes not logged, count={count}");
        }
    }
}
