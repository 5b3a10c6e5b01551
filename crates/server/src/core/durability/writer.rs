//! The thread that writes durable results.
//!
//! [`Writer`] owns the write-ahead log. It is given batches over a channel, commits them and reports each commit. It
//! never touches the table of results and ends with either channel.

use crate::support::clock::unix_micros;
use madderbay_idempotency_store::storage::DirectoryStorage;
use madderbay_idempotency_store::write_ahead_log::WriteAheadLog;
use madderbay_idempotency_store::{Batch, SequenceNumber};
use std::io;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration as StdDuration, Instant};
use tokio::sync::mpsc::UnboundedSender;

/// How often expired segments are removed, and a failed storage is tried again.
const MAINTENANCE_INTERVAL: StdDuration = StdDuration::from_millis(500);
/// Name of the thread, as the system shows it.
const THREAD_NAME: &str = "store-writer";
/// Stack of the thread.
const STACK_BYTES: usize = 256 << 10;

/// A report of the writer's thread.
pub enum StorageEvent {
    /// All records up to `sequence` are durable.
    Written {
        /// The last record of what was committed.
        sequence: SequenceNumber,
        /// Bytes of all segments now.
        disk_bytes: u64,
    },
    /// A commit failed; no record up to `sequence` that is not yet reported counts as durable.
    Failed {
        /// The last record of what was to be committed.
        sequence: SequenceNumber,
        /// What the system reported.
        error: io::Error,
    },
    /// After a failure, the storage can be written again.
    Recovered {
        /// Bytes of all segments now.
        disk_bytes: u64,
    },
}

impl StorageEvent {
    /// The writer's thread has ended, and with it all commits; no record up to `sequence` that is not yet reported is
    /// durable.
    pub(super) fn writer_ended(sequence: SequenceNumber) -> StorageEvent {
        let error = io::Error::other("the writer's thread has ended");
        StorageEvent::Failed { sequence, error }
    }

    /// The same for all records, those that are not made yet included.
    pub fn writer_ended_for_good() -> StorageEvent {
        StorageEvent::writer_ended(SequenceNumber::MAX)
    }
}

/// The state of the thread.
struct Writer {
    log: WriteAheadLog<DirectoryStorage>,
    batches: Receiver<Batch>,
    events: UnboundedSender<StorageEvent>,
    /// Whether all batches that wait share one sync, or each record has its own.
    grouped: bool,
    has_failed: bool,
    last_maintenance: Instant,
}

/// Starts the thread. With `grouped`, all batches that wait share one sync; otherwise each record has its own.
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

    /// Commits a batch, and with it those that wait where batches are grouped.
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

    /// Adds the batches that have arrived meanwhile, so that they share the sync.
    fn append_waiting(&mut self, batch: &mut Batch) {
        while let Ok(next) = self.batches.try_recv() {
            batch.last = next.last;
            batch.entries.extend(next.entries);
        }
    }

    /// Commits with one sync, or with one for each record. The first failure ends it.
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

    /// After a failure, writes without any record; says whether that works again.
    fn retry_after_failure(&mut self) -> Option<StorageEvent> {
        if !self.has_failed || self.log.commit(unix_micros(), &[]).is_err() {
            return None;
        }
        self.has_failed = false;
        let disk_bytes = self.log.size_bytes();
        Some(StorageEvent::Recovered { disk_bytes })
    }

    /// Removes them once in [`MAINTENANCE_INTERVAL`].
    fn remove_expired_segments(&mut self) {
        if self.last_maintenance.elapsed() >= MAINTENANCE_INTERVAL {
            self.log.remove_expired_segments(unix_micros());
            self.last_maintenance = Instant::now();
        }
    }
}
