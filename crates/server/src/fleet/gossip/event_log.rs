//! Writes the fleet's events to the log, a bounded number of lines in an interval; those beyond it are counted.

use crate::support::logging;
use crate::support::rate_limiter::{RateLimiter, Refill};
use madderbay::time::{Duration, Timestamp};

/// Lines in one interval.
const MAX_LINES_PER_INTERVAL: u32 = 200;
/// Length of an interval.
const INTERVAL: Duration = Duration::from_millis(10_000);

/// The limit on the lines of the present interval.
pub(super) struct EventLog {
    limiter: RateLimiter,
}

impl EventLog {
    /// Begins the first interval.
    pub(super) fn new(now: Timestamp) -> EventLog {
        EventLog {
            limiter: RateLimiter::new(now, MAX_LINES_PER_INTERVAL, Refill::EachInterval(INTERVAL)),
        }
    }

    /// Events that were counted in place of being written, and are not yet reported in the log.
    pub(super) fn unwritten(&self) -> u64 {
        self.limiter.refused()
    }

    /// Writes one line for each event, as far as the limit allows. The first call in an interval reports how many
    /// events were omitted before.
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
