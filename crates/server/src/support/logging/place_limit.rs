//! The limit on the lines of one place in the code, so that a place that repeats itself hides no other line.
//!
//! It owns the counts of the current window. It is given each line's place and the end of a window; it knows no
//! clock and writes nothing.

use std::collections::HashMap;

/// Lines of one place that are written in a window; the others are counted.
const MAX_LINES_PER_PLACE: u64 = 5;

/// A place in the code that logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Place {
    /// Path of the module.
    pub(super) module: &'static str,
    /// Line in its file.
    pub(super) line: u32,
}

/// How many lines of a place were not written in a window.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SuppressedLines {
    /// The place.
    pub(super) place: Place,
    /// The number of its lines that were counted only.
    pub(super) count: u64,
}

/// Counts the lines of each place in the current window.
#[derive(Default)]
pub(super) struct PlaceLimit {
    lines: HashMap<Place, u64>,
}

impl PlaceLimit {
    /// Counts a line, and returns whether the place is within its limit.
    pub(super) fn admit(&mut self, place: Place) -> bool {
        let lines = self.lines.entry(place).or_default();
        *lines += 1;
        *lines <= MAX_LINES_PER_PLACE
    }

    /// Ends the window, and returns the places that were over the limit in it, in order.
    pub(super) fn end_window(&mut self) -> Vec<SuppressedLines> {
        let mut suppressed: Vec<_> = self
            .lines
            .drain()
            .filter(|(_, lines)| *lines > MAX_LINES_PER_PLACE)
            .map(|(place, lines)| SuppressedLines {
                place,
                count: lines - MAX_LINES_PER_PLACE,
            })
            .collect();
        suppressed.sort_unstable();
        suppressed
    }
}

#[cfg(test)]
mod tests;
