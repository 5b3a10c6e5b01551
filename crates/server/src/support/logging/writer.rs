//! The queue of log lines and the thread that writes them to standard error.
//!
//! The queue owns the count of entries that did not fit. The thread owns the limit per place in the code and its
//! clock. Senders never wait for standard error; only a flush waits, for a bounded time.

use super::place_limit::{INTERVAL, Place, PlaceLimit};
use crate::support::clock::{self, MonotonicClock};
use log::Level;
use madderbay::time::Timestamp;
use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::time::{Duration, Instant};

/// Maximum number of entries that wait for standard error.
const MAX_QUEUED_ENTRIES: usize = 1_024;
/// Maximum time that the thread waits for an entry before it checks whether an interval has ended.
const MAX_WAIT_FOR_ENTRY: Duration = Duration::from_micros(INTERVAL.as_micros());
/// Stack size of the thread, in bytes.
const STACK_BYTES: usize = 64 << 10;

/// A message to the thread.
pub(super) enum Entry {
    /// A line of the log.
    Line {
        level: Level,
        place: Place,
        message: String,
    },
    /// Text that is written unchanged.
    Text(String),
    /// A request to notify the sender once everything before it was written.
    Flush { written: SyncSender<()> },
}

/// The sending side of the log queue.
pub(super) struct LogQueue {
    sender: OnceLock<SyncSender<Entry>>,
    /// Number of entries that did not fit since the last report.
    dropped: AtomicU64,
}

impl LogQueue {
    /// Creates a queue without a thread. What is sent before [`start_writer`](LogQueue::start_writer) is discarded.
    pub(super) const fn new() -> LogQueue {
        LogQueue {
            sender: OnceLock::new(),
            dropped: AtomicU64::new(0),
        }
    }

    /// Starts the thread that writes.
    pub(super) fn start_writer(&'static self) {
        let (sender, entries) = sync_channel(MAX_QUEUED_ENTRIES);
        let _ = self.sender.set(sender);
        let _ = std::thread::Builder::new()
            .name("log".into())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                let clock = clock::monotonic_since(Instant::now());
                Writer::new(&self.dropped, clock).run(&entries);
            });
    }

    /// Queues an entry. If the queue is full, the entry is counted and dropped.
    pub(super) fn send(&self, entry: Entry) {
        let Some(sender) = self.sender.get() else {
            return;
        };
        if sender.try_send(entry).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until everything queued before is written, for `timeout` at most.
    pub(super) fn flush(&self, timeout: Duration) {
        let (written, wait) = sync_channel(1);
        self.send(Entry::Flush { written });
        let _ = wait.recv_timeout(timeout);
    }
}

/// The receiving side of the log queue, on its own thread.
struct Writer {
    dropped: &'static AtomicU64,
    limit: PlaceLimit,
    clock: MonotonicClock,
}

impl Writer {
    fn new(dropped: &'static AtomicU64, clock: MonotonicClock) -> Writer {
        Writer {
            dropped,
            limit: PlaceLimit::new(clock()),
            clock,
        }
    }

    /// Writes the received entries until the queue is closed.
    fn run(mut self, entries: &Receiver<Entry>) {
        loop {
            let entry = match entries.recv_timeout(MAX_WAIT_FOR_ENTRY) {
                Ok(entry) => Some(entry),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let now = (self.clock)();
            let mut text = self.report_of_ended_interval(now);
            let written = entry.and_then(|entry| self.append(now, entry, &mut text));
            let _ = std::io::stderr().write_all(text.as_bytes());
            if let Some(written) = written {
                let _ = written.send(());
            }
        }
    }

    /// If an interval has ended, returns the report of the lines that were not written in it; otherwise an empty
    /// text.
    fn report_of_ended_interval(&mut self, now: Timestamp) -> String {
        let mut text = String::new();
        let Some(suppressed_lines) = self.limit.end_interval(now) else {
            return text;
        };
        for suppressed in suppressed_lines {
            let Place { module, line } = suppressed.place;
            let count = suppressed.count;
            let _ = writeln!(
                text,
                "INFO log: lines suppressed, place={module}:{line}, count={count}"
            );
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = writeln!(text, "INFO log: lines dropped, count={dropped}");
        }
        text
    }

    /// Appends an entry to the text that is written next. Returns the channel on which to confirm the write, if the
    /// entry is a flush.
    fn append(
        &mut self,
        now: Timestamp,
        entry: Entry,
        text: &mut String,
    ) -> Option<SyncSender<()>> {
        match entry {
            Entry::Line {
                level,
                place,
                message,
            } => {
                // Lines below `info` were explicitly enabled and are not limited.
                if level > Level::Info || self.limit.admit(now, place) {
                    let _ = writeln!(text, "{level} {message}");
                }
            }
            Entry::Text(plain) => text.push_str(&plain),
            Entry::Flush { written } => return Some(written),
        }
        None
    }
}

#[cfg(test)]
mod tests;
