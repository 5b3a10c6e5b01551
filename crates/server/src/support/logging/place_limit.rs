//! The limit on the lines of one place in the code, so that a place that repeats itself hides no other line.
//!
//! It owns the limiter of each place in the current interval. It is given each line's place and the time; it reads no
//! clock and writes nothing.

use crate::support::rate_limiter::{RateLimiter, Refill};
use madderbay::time::{Duration, Timestamp};
use std::collections::HashMap;

/// Lines of one place that are written in an interval; the others are counted.
const MAX_LINES_PER_PLACE: u32 = 5;
/// The time over which the lines of one place are counted, the same for all places.
pub(super) const INTERVAL: Duration = Duration::from_millis(10_000);

/// A place in the code that logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Place {
    /// Path of the module.
    pub(super) module: &'static str,
    /// Line in its file.
    pub(super) line: u32,
}

/// How many lines of a place were not written in an interval.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SuppressedLines {
    /// The place.
    pub(super) place: Place,
    /// The number of its lines that were counted only.
    pub(super) count: u64,
}

/// Counts the lines of each place in the current interval.
pub(super) struct PlaceLimit {
    interval_start: Timestamp,
    places: HashMap<Place, RateLimiter>,
}

impl PlaceLimit {
    /// Begins the first interval.
    pub(super) fn new(now: Timestamp) -> PlaceLimit {
        PlaceLimit {
            interval_start: now,
            places: HashMap::new(),
        }
    }

    /// Counts a line, and returns whether the place is within its limit.
    pub(super) fn admit(&mut self, now: Timestamp, place: Place) -> bool {
        let limiter = self.places.entry(place).or_insert_with(|| {
            let refill = Refill::EachInterval(INTERVAL);
            RateLimiter::new(self.interval_start, MAX_LINES_PER_PLACE, refill)
        });
        limiter.try_take(now)
    }

    /// Ends the interval if its time is over, and returns the places that were over the limit in it, in order.
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
