//! Writes the fleet's events to the log, a bounded number of lines in a span; those beyond it are counted.

use crate::support::logging;
use std::time::{Duration as StdDuration, Instant};

/// Lines in one span.
const MAX_LINES: usize = 200;
/// Length of a span.
const SPAN: StdDuration = StdDuration::from_secs(10);

/// The lines of the present span.
pub(super) struct EventLog {
    span_start: Instant,
    written: usize,
    unwritten: usize,
}

impl EventLog {
    /// Begins the first span.
    pub(super) fn new() -> EventLog {
        EventLog {
            span_start: Instant::now(),
            written: 0,
            unwritten: 0,
        }
    }

    /// Events that were counted in place of being written, and are not yet reported in the log.
    pub(super) fn unwritten(&self) -> u64 {
        self.unwritten as u64
    }

    /// Writes one line for each event, as far as the span has room.
    pub(super) fn write(&mut self, events: &[String]) {
        if self.span_start.elapsed() >= SPAN {
            self.begin_span();
        }
        let (writable, rest) = events.split_at(events.len().min(MAX_LINES - self.written));
        for event in writable {
            logging::plain(format!("INFO {event}\n"));
        }
        self.written += writable.len();
        self.unwritten += rest.len();
    }

    /// Reports how many events were omitted, and begins to count anew.
    fn begin_span(&mut self) {
        if self.unwritten > 0 {
            log::info!("membership: changes not logged, count={}", self.unwritten);
        }
        *self = EventLog::new();
    }
}
