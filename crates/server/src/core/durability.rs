//! Durable results of requests with an idempotency key, and the work that waits for the disk.
//!
//! `DurabilityQueue` owns the table of durable results and the list of pending work. It is driven
//! by the core and never waits for the disk: it sends batches of records to the writer thread,
//! which reports with a `StorageEvent` how far records are durable. At startup, `open` recovers the
//! records of earlier incarnations, and `start` starts the writer thread.

mod writer;

use crate::downstream::idempotency_table::KeyWindow;
use crate::support::attempt_name::AttemptName;
use crate::support::clock::unix_micros;
use crate::support::metrics::Lines;
use madderbay::time::Timestamp;
use madderbay_idempotency_store::recovery::Recovery;
use madderbay_idempotency_store::storage::DirectoryStorage;
use madderbay_idempotency_store::write_ahead_log::{LogLimits, WriteAheadLog};
use madderbay_idempotency_store::{
    Batch, DurableResults, IntentError, Lookup, SequenceNumber, StoreError,
};
use madderbay_operator_config::idempotency_store::IdempotencyStoreConfig;
use std::collections::VecDeque;
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration as StdDuration, Instant};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

pub use writer::StorageEvent;

/// Work that is done once its record is durable, or once the record can't be made durable.
pub enum PendingWork {
    /// Send the command that runs a request.
    Run {
        /// The id of the request.
        request: u64,
    },
    /// Answer a request whose run has ended.
    Response {
        /// The id of the request.
        request: u64,
        /// The result of its run; `None` for a run without a result.
        result: Option<Box<str>>,
    },
    /// No work waits for the record.
    Nothing,
}

/// Pending work, and the sequence number of the record that it waits for.
struct WaitingWork {
    sequence: SequenceNumber,
    work: PendingWork,
}

/// The durable results of this server, the channel to the writer thread, and the work that waits
/// for records to become durable.
pub struct DurabilityQueue {
    results: DurableResults,
    batches: Sender<Batch>,
    /// Pending work in the order of sequence numbers.
    waiting: VecDeque<WaitingWork>,
    commits: u64,
}

/// A store that was opened and recovered at startup, before the server listens on any socket.
pub struct OpenedStore {
    log: WriteAheadLog<DirectoryStorage>,
    recovery: Recovery,
    recovery_time: StdDuration,
}

/// Opens the directory and reads the records of earlier incarnations. `window_micros` is the
/// longest time in which a key may be repeated, in microseconds.
///
/// # Errors
/// If the directory can't be opened, locked or read, or contains data of an unknown format.
pub fn open(
    settings: &IdempotencyStoreConfig,
    window_micros: u64,
) -> Result<OpenedStore, StoreError> {
    let started_at = Instant::now();
    let storage = DirectoryStorage::open(&settings.directory)?;
    let limits = LogLimits {
        disk_bytes: disk_limit_bytes(settings),
        retention_micros: window_micros,
    };
    let (log, recovery) = WriteAheadLog::open(storage, unix_micros(), limits)?;
    Ok(OpenedStore {
        log,
        recovery,
        recovery_time: started_at.elapsed(),
    })
}

/// Loads the recovered records and starts the writer thread.
///
/// # Errors
/// If the operating system can't start the thread.
pub fn start(
    opened: OpenedStore,
    settings: &IdempotencyStoreConfig,
) -> std::io::Result<(DurabilityQueue, UnboundedReceiver<StorageEvent>)> {
    let OpenedStore {
        log,
        recovery,
        recovery_time,
    } = opened;
    ::log::info!(
        "idempotency-store: recovered, requests={}, records={}, segments={}, torn_segments={}, ms={}",
        recovery.runs.len(),
        recovery.records,
        recovery.segments,
        recovery.torn_segments,
        recovery_time.as_millis()
    );
    let mut results = DurableResults::new(settings.memory_mb << 20, disk_limit_bytes(settings));
    results.load_recovery(recovery);
    let (batch_sender, batches) = channel();
    let (events, event_receiver) = unbounded_channel();
    writer::spawn(log, batches, events, settings.grouped)?;
    Ok((DurabilityQueue::new(results, batch_sender), event_receiver))
}

/// Returns the operator's limit on the total size of the store's segments, in bytes.
fn disk_limit_bytes(settings: &IdempotencyStoreConfig) -> u64 {
    (settings.disk_mb as u64) << 20
}

impl DurabilityQueue {
    /// Creates a queue without pending work. The receiver of `batches` writes the batches to disk.
    pub fn new(results: DurableResults, batches: Sender<Batch>) -> DurabilityQueue {
        DurabilityQueue {
            results,
            batches,
            waiting: VecDeque::new(),
            commits: 0,
        }
    }

    /// Looks up what earlier incarnations recorded for a request.
    pub fn lookup(&mut self, key: u128, request_hash: u64) -> Lookup {
        self.results.lookup(key, request_hash)
    }

    /// Checks whether one more intent can be recorded, and counts a rejection if not.
    ///
    /// # Errors
    /// If no intent can be recorded now.
    pub fn admit_intent(&mut self) -> Result<(), IntentError> {
        self.results.admit_intent()
    }

    /// Records the result of a run that an earlier incarnation started. Returns whether there was
    /// such a run without a result so far.
    pub fn complete_recovered_run(
        &mut self,
        attempt_id: &AttemptName,
        result: Option<&[u8]>,
    ) -> bool {
        self.results.complete_recovered_run(attempt_id, result)
    }

    /// Removes the runs of earlier incarnations that have expired.
    pub fn expire(&mut self, now: Timestamp) {
        self.results.expire(now);
    }

    /// Records the intent to run a request. The command that runs it is sent once the intent is
    /// durable. `window` is the window of its key.
    ///
    /// # Errors
    /// If no intent can be recorded now.
    pub fn record_intent(
        &mut self,
        request: u64,
        key: u128,
        window: KeyWindow,
        attempt_id: AttemptName,
    ) -> Result<(), IntentError> {
        self.admit_intent()?;
        let sequence = self
            .results
            .record_intent(key, window.fingerprint, attempt_id, window.end);
        self.enqueue(sequence, PendingWork::Run { request });
        Ok(())
    }

    /// Records the end of a request's run. The answer is sent once the record is durable. `result`
    /// is `None` for a run without a result.
    pub fn record_result(
        &mut self,
        request: u64,
        key: u128,
        result: Option<&str>,
        expires_at: Timestamp,
    ) {
        let sequence = self
            .results
            .record_result(key, result.map(str::as_bytes), expires_at);
        let result = result.map(Into::into);
        self.enqueue(sequence, PendingWork::Response { request, result });
    }

    /// Records that an intended run was never sent or never started. No work waits for this record.
    pub fn record_not_run(&mut self, key: u128, expires_at: Timestamp) {
        let sequence = self.results.record_not_run(key, expires_at);
        self.enqueue(sequence, PendingWork::Nothing);
    }

    /// Queues work until the record with this sequence number is durable.
    fn enqueue(&mut self, sequence: SequenceNumber, work: PendingWork) {
        self.waiting.push_back(WaitingWork { sequence, work });
    }

    /// Sends all records that were not sent yet to the writer thread. Returns their failure if the
    /// thread has ended.
    pub fn flush(&mut self) -> Option<StorageEvent> {
        let batch = self.results.take_batch()?;
        let sequence = batch.last;
        let sent = self.batches.send(batch);
        sent.err().map(|_| StorageEvent::writer_ended(sequence))
    }

    /// Handles the report that the records up to `sequence` are durable and that the store occupies
    /// `disk_bytes`. Returns the work that waited for them.
    pub fn on_committed(&mut self, sequence: SequenceNumber, disk_bytes: u64) -> Vec<PendingWork> {
        self.commits += 1;
        self.results.on_committed(sequence, disk_bytes);
        self.take_work(sequence)
    }

    /// Handles the report that the records up to `sequence` can't be made durable. Returns the work
    /// that waited for them.
    pub fn on_commit_failed(&mut self, sequence: SequenceNumber) -> Vec<PendingWork> {
        self.results.on_commit_failed(sequence);
        self.take_work(sequence)
    }

    /// Handles the report that, after a failure, the store can be written again and occupies
    /// `disk_bytes`.
    pub fn on_storage_recovered(&mut self, disk_bytes: u64) {
        self.results.on_storage_recovered(disk_bytes);
    }

    /// Removes and returns the work that waits for records up to a sequence number, in order.
    fn take_work(&mut self, up_to: SequenceNumber) -> Vec<PendingWork> {
        let count = self
            .waiting
            .partition_point(|waiting| waiting.sequence <= up_to);
        let released = self.waiting.drain(..count);
        released.map(|waiting| waiting.work).collect()
    }

    /// Returns the counters, one line each.
    pub fn counters(&self) -> String {
        let mut lines = Lines::of("kept");
        let usage = self.results.usage();
        let counters = self.results.counters();
        lines.add_all([
            ("known", usage.recovered_runs as u64),
            ("disk_bytes", usage.disk_bytes),
            ("waiting", self.waiting.len() as u64),
            ("writes", self.commits),
            ("promised", counters.intents_recorded),
            ("refused", counters.intents_rejected),
            ("answered", counters.results_returned),
            ("errored", counters.results_unavailable),
            ("failures", counters.commit_failures),
        ]);
        lines.text
    }
}
