//! Time of a recovery, and memory of the server after it.

use crate::site::Site;
use madderbay_idempotency_store::record::Record;
use madderbay_idempotency_store::storage::DirectoryStorage;
use madderbay_idempotency_store::write_ahead_log::{LogEntry, LogLimits, WriteAheadLog};
use std::path::Path;

/// Numbers of keys whose results are recovered.
const KEYS: [u128; 3] = [1_000, 10_000, 100_000];
/// Number of keys whose records are committed together.
const KEYS_PER_COMMIT: u128 = 1_000;
const RESULT_BYTES: usize = 100;
const MAX_LOG_BYTES: u64 = 64 << 20;
const RETENTION_MICROS: u64 = 30_000_000;
/// Time at which the log is written, in microseconds.
const NOW_MICROS: u64 = 1;
/// Minimum and maximum work of a booking, in milliseconds.
const WORK_MS: (f64, f64) = (1.0, 2.0);

/// Measures a recovery for each number of keys, and prints one line for each.
pub(crate) fn measure() {
    for keys in KEYS {
        let site = Site::new(Some("grouped"), WORK_MS, 1);
        write_log(&site.directory, keys);
        let server = site.start_server();
        println!(
            "{}; resident {} KB",
            server.before.concat().trim(),
            server.memory_kb()
        );
    }
}

/// Writes a log with the results of `keys` keys.
fn write_log(directory: &Path, keys: u128) {
    let storage = DirectoryStorage::open(directory).expect("the directory is opened");
    let limits = LogLimits {
        disk_bytes: MAX_LOG_BYTES,
        retention_micros: RETENTION_MICROS,
    };
    let (mut log, _) = WriteAheadLog::open(storage, NOW_MICROS, limits).expect("the log is read");
    for first in (0..keys).step_by(KEYS_PER_COMMIT as usize) {
        let entries: Vec<LogEntry> = (first..first + KEYS_PER_COMMIT)
            .flat_map(records)
            .map(|record| LogEntry {
                record,
                expires_at_micros: NOW_MICROS + RETENTION_MICROS,
            })
            .collect();
        log.commit(NOW_MICROS, &entries)
            .expect("the entries are written");
    }
}

/// Returns the records that are on disk for a key whose request has completed.
fn records(key: u128) -> [Record; 2] {
    let intent = Record::Intent {
        key,
        request_hash: 0,
        expires_at_micros: NOW_MICROS + RETENTION_MICROS,
        attempt_id: [b'0'; 16],
    };
    let result = vec![b'x'; RESULT_BYTES].into_boxed_slice();
    [intent, Record::Completed { key, result }]
}
