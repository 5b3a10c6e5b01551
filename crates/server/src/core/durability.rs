//! Kept results on the running server: what waits for the disk, and the thread that writes. The core never
//! waits for a sync: it hands records over and is told, by messages, how far they last.

use crate::support::clock::unix_micros;
use crate::support::metrics::Lines;
use crate::support::name::Name;
use madderbay::time::Timestamp;
use madderbay_idempotency_store::recovery::{RecoveredRun, Recovery, RunState, recover};
use madderbay_idempotency_store::storage::DirectoryStorage;
use madderbay_idempotency_store::write_ahead_log::{LogEntry, LogLimits, WriteAheadLog};
use madderbay_idempotency_store::{
    DurableResults, IntentError, SequenceNumber, StoreError, verify,
};
use madderbay_operator_config::kept::KeptResults;
use std::collections::VecDeque;
use std::path::Path;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Between two looks for segments that have aged out, and two tries to write again.
const TIDY: Duration = Duration::from_millis(500);

/// What a write is waited for by.
pub enum PendingWork {
    /// The command to run a req.
    Run(u64),
    /// The answer of a req whose run is over, with its result.
    Answer(u64, Option<Box<str>>),
    Nobody,
}

/// What the writing thread tells.
pub enum StorageEvent {
    Written { seq: SequenceNumber, disk: u64 },
    Failed { seq: SequenceNumber, why: String },
    Works { disk: u64 },
}

pub struct DurabilityQueue {
    pub book: DurableResults,
    to: Sender<(SequenceNumber, Vec<LogEntry>)>,
    waiting: VecDeque<(SequenceNumber, PendingWork)>,
    /// Batches that were written, each with one sync where they are grouped.
    pub writes: u64,
}

/// What stands ready once a folder was opened and read, before anything is listened on.
pub struct OpenedStore {
    log: WriteAheadLog<DirectoryStorage>,
    recovery: Recovery,
    took: Duration,
}

/// Opens the folder and reads what a former life left; says in one line why that can't be.
pub fn open(set: &KeptResults, window: u64) -> Result<OpenedStore, String> {
    let told = |e: StoreError| format!("kept-results: {e}");
    let began = Instant::now();
    let storage = DirectoryStorage::open(&set.directory).map_err(told)?;
    let limits = LogLimits {
        disk_bytes: (set.disk_mb as u64) << 20,
        retention_micros: window,
    };
    let (log, recovery) = WriteAheadLog::open(storage, unix_micros(), limits).map_err(told)?;
    Ok(OpenedStore {
        log,
        recovery,
        took: began.elapsed(),
    })
}

/// Takes over what was found and starts the writing thread.
pub fn start(
    opened: OpenedStore,
    set: &KeptResults,
) -> std::io::Result<(DurabilityQueue, UnboundedReceiver<StorageEvent>)> {
    let OpenedStore {
        mut log,
        recovery,
        took,
    } = opened;
    ::log::info!(
        "kept: {} keyed reqs known from {} records, {} segments, {} of them torn, read in {} ms",
        recovery.runs.len(),
        recovery.records,
        recovery.segments,
        recovery.torn_segments,
        took.as_millis()
    );
    let mut book = DurableResults::new(set.memory_mb << 20, (set.disk_mb as u64) << 20);
    book.load_recovery(recovery);
    let (to, orders) = channel();
    let (tell, told) = unbounded_channel();
    let grouped = set.grouped;
    std::thread::Builder::new()
        .name("kept".into())
        .stack_size(256 << 10)
        .spawn(move || write(&mut log, &orders, &tell, grouped))?;
    Ok((DurabilityQueue::new(book, to), told))
}

fn write(
    log: &mut WriteAheadLog<DirectoryStorage>,
    orders: &Receiver<(SequenceNumber, Vec<LogEntry>)>,
    tell: &UnboundedSender<StorageEvent>,
    grouped: bool,
) {
    let (mut broken, mut tidied) = (false, Instant::now());
    loop {
        let order = orders.recv_timeout(TIDY);
        let said = match order {
            Ok((mut seq, mut records)) => {
                // All that has come meanwhile shares the sync.
                while grouped && let Ok((last, more)) = orders.try_recv() {
                    seq = last;
                    records.extend(more);
                }
                let batches = if grouped { records.len().max(1) } else { 1 };
                let done = records
                    .chunks(batches)
                    .try_for_each(|part| log.commit(unix_micros(), part));
                broken = done.is_err();
                Some(match done {
                    Ok(()) => StorageEvent::Written {
                        seq,
                        disk: log.size_bytes(),
                    },
                    Err(e) => StorageEvent::Failed {
                        seq,
                        why: e.to_string(),
                    },
                })
            }
            Err(RecvTimeoutError::Timeout) if broken => {
                log.commit(unix_micros(), &[]).ok().map(|()| {
                    broken = false;
                    StorageEvent::Works {
                        disk: log.size_bytes(),
                    }
                })
            }
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if tidied.elapsed() >= TIDY {
            log.remove_expired_segments(unix_micros());
            tidied = Instant::now();
        }
        if said.is_some_and(|s| tell.send(s).is_err()) {
            return;
        }
    }
}

impl DurabilityQueue {
    /// `to`: where batches of records go to be written.
    pub fn new(
        book: DurableResults,
        to: Sender<(SequenceNumber, Vec<LogEntry>)>,
    ) -> DurabilityQueue {
        DurabilityQueue {
            book,
            to,
            waiting: VecDeque::new(),
            writes: 0,
        }
    }

    /// The run of a req waits from now on for its promise; or why nothing can be promised.
    pub fn promise(
        &mut self,
        id: u64,
        key: u128,
        window: (u64, Timestamp),
        name: Name,
    ) -> Result<(), IntentError> {
        self.book.admit_intent()?;
        let (print, until) = window;
        let seq = self.book.record_intent(key, print, name, until);
        self.waiting.push_back((seq, PendingWork::Run(id)));
        Ok(())
    }

    /// The answer of a req waits from now on for its result.
    pub fn settle(&mut self, id: u64, key: u128, result: Option<&str>, until: Timestamp) {
        let seq = self
            .book
            .record_result(key, result.map(str::as_bytes), until);
        self.waiting
            .push_back((seq, PendingWork::Answer(id, result.map(Into::into))));
    }

    pub fn never(&mut self, key: u128, until: Timestamp) {
        let seq = self.book.record_not_run(key, until);
        self.waiting.push_back((seq, PendingWork::Nobody));
    }

    /// Hands over all that is to be written.
    pub fn flush(&mut self) {
        if let Some(batch) = self.book.take_batch() {
            let _ = self.to.send((batch.last, batch.entries));
        }
    }

    /// Those that waited for no more than that.
    pub fn upto(&mut self, seq: SequenceNumber) -> Vec<PendingWork> {
        let n = self.waiting.partition_point(|w| w.0 <= seq);
        self.waiting.drain(..n).map(|w| w.1).collect()
    }

    pub fn counters(&self) -> String {
        let mut lines = Lines::of("kept");
        let (usage, counters) = (self.book.usage(), self.book.counters());
        for (name, value) in [
            ("known", usage.recovered_runs as u64),
            ("disk_bytes", usage.disk_bytes),
            ("waiting", self.waiting.len() as u64),
            ("writes", self.writes),
            ("promised", counters.intents_recorded),
            ("refused", counters.intents_rejected),
            ("answered", counters.results_returned),
            ("errored", counters.results_unavailable),
            ("failures", counters.commit_failures),
        ] {
            lines.add(name, value);
        }
        lines.text
    }
}

/// What a folder holds: a line for each keyed req in the order of keys, and what was read in all.
fn looked_at(
    folder: &Path,
    line: impl Fn(&u128, &RecoveredRun) -> String,
) -> Result<(Vec<String>, Recovery), String> {
    let read = recover(&DirectoryStorage::open_read_only(folder))
        .map_err(|e| format!("{}: {e}", folder.display()))?;
    let mut found: Vec<_> = read.runs.iter().collect();
    found.sort_by_key(|f| f.0);
    Ok((
        found.into_iter().map(|(key, f)| line(key, f)).collect(),
        read,
    ))
}

fn state(found: &RecoveredRun) -> &'static str {
    match found.state {
        RunState::MayHaveRun => "may-have-run",
        RunState::Completed(_) => "done",
        RunState::NoResult => "errored",
    }
}

/// A line for each keyed req in a folder, and one for all.
pub fn list(folder: &Path) -> Result<Vec<String>, String> {
    let line = |key: &u128, f: &RecoveredRun| {
        let size = if let RunState::Completed(result) = &f.state {
            result.len()
        } else {
            0
        };
        format!(
            "{key:032x} {} until {} ms, {size} bytes",
            state(f),
            f.expires_at_micros / 1000
        )
    };
    let (mut lines, all) = looked_at(folder, line)?;
    lines.push(format!(
        "{} keyed reqs in {} records, {} segments, {} torn bytes",
        all.runs.len(),
        all.records,
        all.segments,
        all.torn_bytes
    ));
    Ok(lines)
}

pub fn export(folder: &Path) -> Result<Vec<String>, String> {
    let line = |key: &u128, f: &RecoveredRun| {
        let result = if let RunState::Completed(result) = &f.state {
            Some(String::from_utf8_lossy(result))
        } else {
            None
        };
        let print = format!("{:016x}", f.request_hash);
        let (key, name) = (
            format!("{key:032x}"),
            String::from_utf8_lossy(&f.attempt_id),
        );
        let until = f.expires_at_micros / 1000;
        serde_json::json!({
            "key": key, "state": state(f), "until_ms": until, "print": print, "ref": name, "result": result,
        })
        .to_string()
    };
    Ok(looked_at(folder, line)?.0)
}

pub fn verify(folder: &Path) -> Result<Vec<String>, String> {
    let defects = verify::verify(&DirectoryStorage::open_read_only(folder))
        .map_err(|e| format!("{}: {e}", folder.display()))?;
    Ok(defects.iter().map(ToString::to_string).collect())
}
