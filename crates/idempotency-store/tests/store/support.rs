//! Helper functions and the reference model shared by the tests.

use madderbay_idempotency_store::record::{IdempotencyKey, Record};
use madderbay_idempotency_store::recovery::{RecoveredRun, RunState};
use madderbay_idempotency_store::storage::{MemoryStorage, Storage};
use madderbay_idempotency_store::write_ahead_log::{LogEntry, LogLimits, WriteAheadLog};
use std::collections::HashMap;

pub(crate) const RETENTION_MICROS: u64 = 30_000_000;
pub(crate) const LIMITS: LogLimits = LogLimits {
    disk_bytes: 1 << 20,
    retention_micros: RETENTION_MICROS,
};

pub(crate) type Runs = HashMap<IdempotencyKey, RecoveredRun>;

/// Opens a log on a storage and returns it with the recovered runs. Panics if recovery fails.
pub(crate) fn open(
    storage: MemoryStorage,
    now_micros: u64,
) -> (WriteAheadLog<MemoryStorage>, Runs) {
    let (log, recovery) =
        WriteAheadLog::open(storage, now_micros, LIMITS).expect("recovery succeeds");
    (log, recovery.runs)
}

/// Opens an empty log at 1 µs and commits these entries at 2 µs.
pub(crate) fn log_with(entries: &[LogEntry]) -> WriteAheadLog<MemoryStorage> {
    let (mut log, _) = open(MemoryStorage::default(), 1);
    log.commit(2, entries).expect("committed");
    log
}

pub(crate) fn entry(record: Record, expires_at_micros: u64) -> LogEntry {
    LogEntry {
        record,
        expires_at_micros,
    }
}

pub(crate) fn intent(key: IdempotencyKey, expires_at_micros: u64) -> LogEntry {
    let record = Record::Intent {
        key,
        request_hash: key as u64 + 7,
        expires_at_micros,
        attempt_id: [b'a'; 16],
    };
    entry(record, expires_at_micros)
}

pub(crate) fn completed(key: IdempotencyKey, result: &str, expires_at_micros: u64) -> LogEntry {
    entry(
        Record::Completed {
            key,
            result: result.as_bytes().into(),
        },
        expires_at_micros,
    )
}

/// Returns a storage that contains a single durable file.
pub(crate) fn storage_with_file(name: &str, bytes: &[u8]) -> MemoryStorage {
    let mut storage = MemoryStorage::default();
    storage.append(name, bytes).expect("appended");
    storage.sync(name).expect("synced");
    storage
}

/// Reference model: the run states that recovery must return after the records applied so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ExpectedRuns(pub(crate) HashMap<IdempotencyKey, RunState>);

impl ExpectedRuns {
    pub(crate) fn of(runs: &Runs) -> ExpectedRuns {
        ExpectedRuns(
            runs.iter()
                .map(|(key, run)| (*key, run.state.clone()))
                .collect(),
        )
    }

    pub(crate) fn after<'a>(entries: impl IntoIterator<Item = &'a LogEntry>) -> ExpectedRuns {
        let mut expected = ExpectedRuns::default();
        for entry in entries {
            expected.apply(&entry.record);
        }
        expected
    }

    pub(crate) fn apply(&mut self, record: &Record) {
        match record {
            Record::Intent { key, .. } => {
                self.0.entry(*key).or_insert(RunState::MayHaveRun);
            }
            Record::Completed { key, result } => {
                let state = RunState::Completed(result.clone());
                self.0.entry(*key).and_modify(|known| *known = state);
            }
            Record::NoResult { key } => {
                self.0
                    .entry(*key)
                    .and_modify(|known| *known = RunState::NoResult);
            }
            Record::NotRun { key } => {
                if self.0.get(key) == Some(&RunState::MayHaveRun) {
                    self.0.remove(key);
                }
            }
        }
    }
}
