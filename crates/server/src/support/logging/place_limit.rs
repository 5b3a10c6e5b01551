//! The limit on the log lines per place in the code, so that a place that logs repeatedly does not hide other
//! lines.
//!
//! `PlaceLimit` owns the limiter of each place in the current interval. It is given the place of each line and the
//! time. It reads no clock and writes nothing.

use crate::support::rate_limiter::{RateLimiter, Refill};
use madderbay::time::{Duration, Timestamp};
use std::collections::HashMap;

/// Maximum number of lines per place that are written in an interval. Further ones are only counted.
const MAX_LINES_PER_PLACE: u32 = 5;
/// The interval over which lines are counted, the same for all places.
pub(super) const INTERVAL: Duration = Duration::from_millis(10_000);

/// A place in the code that writes a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Place {
    /// Path of the module.
    pub(super) module: &'static str,
    /// Line number in the file of the module.
    pub(super) line: u32,
}

/// The number of lines of a place that were not written in an interval.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SuppressedLines {
    /// The place that logged them.
    pub(super) place: Place,
    /// The number of its lines that were only counted.
    pub(super) count: u64,
}

/// Counts the lines of each place in the current interval.
pub(super) struct PlaceLimit {
    interval_start: Timestamp,
    places: HashMap<Place, RateLimiter>,
}

impl PlaceLimit {
    /// Creates a limit whose first interval starts now.
    pub(super) fn new(now: Timestamp) -> PlaceLimit {
        PlaceLimit {
            interval_start: now,
            places: HashMap::new(),
        }
    }

    /// Counts a line. Returns whether its place is within the limit.
    pub(super) fn admit(&mut self, now: Timestamp, place: Place) -> bool {
        let limiter = self.places.entry(place).or_insert_with(|| {
            let refill = Refill::EachInterval(INTERVAL);
            RateLimiter::new(self.interval_start, MAX_LINES_PER_PLACE, refill)
        });
        limiter.try_take(now)
    }

    /// Ends the interval if its time is over, and returns the places that exceeded the limit in it, sorted. Returns
    /// `None` during the interval.
    pub(super) fn end_interval(&mut self, now: Timestamp) -> Option<Vec<SuppressedLines>> {
        if now - self.interval_start < INTERVAL {
            return None;
        }
        self.interval_start = now;
        let mut suppressed: Vec<_> = self
            .places
            .drain()
            .filter(|(_, limiter)| limiter.refused() > 0)
            .map(|(place, limiter)| SuppressedLines {
                place,
                count: limiter.refused(),
            })
            .collect();
        suppressed.sort_unstable();
        Some(suppressed)
    }
}

#[cfg(test)]
mod tests;
