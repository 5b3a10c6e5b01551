//! The thread that writes durable results to disk.
//!
//! [`Writer`] owns the write-ahead log. It receives batches over a channel, commits them and
//! reports each commit. It does not access the table of results, and it ends when either channel is
//! closed.

use crate::support::clock::unix_micros;
use madderbay_idempotency_store::storage::DirectoryStorage;
use madderbay_idempotency_store::write_ahead_log::WriteAheadLog;
use madderbay_idempotency_store::{Batch, SequenceNumber};
use std::io;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration as StdDuration, Instant};
use tokio::sync::mpsc::UnboundedSender;

/// Interval at which expired segments are removed, and at which a storage that failed is tried
/// again.
const MAINTENANCE_INTERVAL: StdDuration = StdDuration::from_millis(500);
/// Name of the thread, as the operating system shows it.
const THREAD_NAME: &str = "store-writer";
/// Stack size of the thread, in bytes.
const STACK_BYTES: usize = 256 << 10;

/// A report of the writer thread.
pub enum StorageEvent {
    /// All records up to `sequence` are durable.
    Written {
        /// Sequence number of the last record that was committed.
        sequence: SequenceNumber,
        /// Total size of all segments, in bytes.
        disk_bytes: u64,
    },
    /// A commit failed. Records up to `sequence` that have not been reported as durable yet do not
    /// count as durable.
    Failed {
        /// Sequence number of the last record that was to be committed.
        sequence: SequenceNumber,
        /// The error that was reported.
        error: io::Error,
    },
    /// The storage can be written again after a failure.
    Recovered {
        /// Total size of all segments, in bytes.
        disk_bytes: u64,
    },
}

impl StorageEvent {
    /// Returns the report for a writer thread that has ended and commits nothing any more. Records
    /// up to `sequence` that have not been reported as durable yet are not durable.
    pub(super) fn writer_ended(sequence: SequenceNumber) -> StorageEvent {
        let error = io::Error::other("the writer's thread has ended");
        StorageEvent::Failed { sequence, error }
    }

    /// Returns the report for a writer thread that has ended, for all records, including those that
    /// have not been made yet.
    pub fn writer_ended_for_good() -> StorageEvent {
        StorageEvent::writer_ended(SequenceNumber::MAX)
    }
}

/// The state of the writer thread.
struct Writer {
    log: WriteAheadLog<DirectoryStorage>,
    batches: Receiver<Batch>,
    events: UnboundedSender<StorageEvent>,
    /// Whether all waiting batches share one sync; otherwise each record has its own.
    grouped: bool,
    has_failed: bool,
    last_maintenance: Instant,
}

/// Starts the writer thread. With `grouped`, all waiting batches share one sync; otherwise each
/// record has its own.
pub(super) fn spawn(
    log: WriteAheadLog<DirectoryStorage>,
    batches: Receiver<Batch>,
    events: UnboundedSender<StorageEvent>,
    grouped: bool,
) -> io::Result<()> {
    let writer = Writer {
        log,
        batches,
        events,
        grouped,
        has_failed: false,
        last_maintenance: Instant::now(),
    };
    std::thread::Builder::new()
        .name(THREAD_NAME.into())
        .stack_size(STACK_BYTES)
        .spawn(move || writer.run())?;
    Ok(())
}

impl Writer {
    /// Writes until the core drops its side of either channel.
    fn run(mut self) {
        loop {
            let event = match self.batches.recv_timeout(MAINTENANCE_INTERVAL) {
                Ok(batch) => Some(self.write(batch)),
                Err(RecvTimeoutError::Timeout) => self.retry_after_failure(),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            self.remove_expired_segments();
            if event.is_some_and(|event| self.events.send(event).is_err()) {
                return;
            }
        }
    }

    /// Commits a batch, together with the waiting batches if batches are grouped.
    fn write(&mut self, mut batch: Batch) -> StorageEvent {
        if self.grouped {
            self.append_waiting(&mut batch);
        }
        let sequence = batch.last;
        match self.commit(&batch) {
            Ok(()) => {
                self.has_failed = false;
                let disk_bytes = self.log.size_bytes();
                StorageEvent::Written {
                    sequence,
                    disk_bytes,
                }
            }
            Err(error) => {
                self.has_failed = true;
                StorageEvent::Failed { sequence, error }
            }
        }
    }

    /// Adds the batches that have arrived in the meantime, so that they share the sync.
    fn append_waiting(&mut self, batch: &mut Batch) {
        while let Ok(next) = self.batches.try_recv() {
            batch.last = next.last;
            batch.entries.extend(next.entries);
        }
    }

    /// Commits with one sync, or with one sync for each record. Stops at the first failure.
    fn commit(&mut self, batch: &Batch) -> io::Result<()> {
        let entries_per_sync = if self.grouped {
            batch.entries.len().max(1)
        } else {
            1
        };
        batch
            .entries
            .chunks(entries_per_sync)
            .try_for_each(|entries| self.log.commit(unix_micros(), entries))
    }

    /// After a failure, commits without any record to find out whether the storage can be written
    /// again. Returns a report if it can.
    fn retry_after_failure(&mut self) -> Option<StorageEvent> {
        if !self.has_failed || self.log.commit(unix_micros(), &[]).is_err() {
            return None;
        }
        self.has_failed = false;
        let disk_bytes = self.log.size_bytes();
        Some(StorageEvent::Recovered { disk_bytes })
    }

    /// Removes expired segments, at most once per [`MAINTENANCE_INTERVAL`].
    fn remove_expired_segments(&mut self) {
        if self.last_maintenance.elapsed() >= MAINTENANCE_INTERVAL {
            self.log.remove_expired_segments(unix_micros());
            self.last_maintenance = Instant::now();
        }
    }
}
