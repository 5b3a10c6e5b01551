//! Detects a connection whose input does not let up, so that operators learn of it.
//!
//! `FloodDetector` owns the count of lines since the input of one connection last let up. It limits nothing: the turns
//! in which input is served do.

use madderbay::time::{Duration, Timestamp};

/// Number of lines within [`FLOOD_PERIOD`] from which a connection is reported: several times what load balancers send
/// on one connection in their busiest second.
const FLOOD_LINES: u64 = 10_000;
/// Time after which the count of lines begins anew.
const FLOOD_PERIOD: Duration = Duration::from_millis(1_000);

/// Counts the lines of one connection.
#[derive(Default)]
pub(super) struct FloodDetector {
    began_at: Timestamp,
    lines: u64,
    was_reported: bool,
}

impl FloodDetector {
    /// Adds the lines that were served in a turn. Returns whether the connection is to be reported, which happens once
    /// in its life.
    pub(super) fn turn_ended(&mut self, now: Timestamp, lines: usize) -> bool {
        if now - self.began_at > FLOOD_PERIOD {
            self.began_at = now;
            self.lines = 0;
        }
        self.lines += lines as u64;
        let is_flood = self.lines >= FLOOD_LINES && !self.was_reported;
        self.was_reported |= is_flood;
        is_flood
    }

    /// Returns the number of lines of the current period.
    pub(super) fn lines(&self) -> u64 {
        self.lines
    }
}

#[cfg(test)]
mod tests;
