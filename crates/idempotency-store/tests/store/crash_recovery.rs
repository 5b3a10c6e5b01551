//! Tests of recovery after crashes: segments are truncated or corrupted at every byte, and unsynced
//! bytes are lost, partly written, zeroed or corrupted.

use crate::support::{
    ExpectedRuns, RETENTION_MICROS, completed, entry, intent, log_with, open, storage_with_file,
};
use madderbay_idempotency_store::record::Record;
use madderbay_idempotency_store::segment::{HEADER_BYTES, write_segment_header};
use madderbay_idempotency_store::storage::{CrashEffect, MemoryStorage, Storage};
use madderbay_idempotency_store::write_ahead_log::LogEntry;

/// A log with a single segment, and the runs that must be recovered from each prefix of it.
struct SingleSegmentLog {
    storage: MemoryStorage,
    name: String,
    bytes: Vec<u8>,
    prefixes: Vec<Prefix>,
}

/// A prefix of a segment that ends with a complete record or with the header.
struct Prefix {
    /// Length of the prefix.
    end_bytes: usize,
    expected: ExpectedRuns,
}

impl SingleSegmentLog {
    fn new() -> SingleSegmentLog {
        let entries: Vec<LogEntry> = (0..12)
            .flat_map(|key| {
                let result = "r".repeat(key as usize * 3);
                [
                    intent(key, RETENTION_MICROS),
                    completed(key, &result, RETENTION_MICROS),
                ]
            })
            .chain([
                entry(Record::NotRun { key: 77 }, 1),
                entry(Record::NoResult { key: 5 }, 1),
            ])
            .collect();
        let storage = log_with(&entries).storage().clone();
        let name = storage.list().expect("listed").remove(0);
        let bytes = storage.read(&name).expect("read");
        let prefixes = prefixes(&entries);
        assert_eq!(prefixes.last().expect("not empty").end_bytes, bytes.len());
        SingleSegmentLog {
            storage,
            name,
            bytes,
            prefixes,
        }
    }

    /// Returns the runs that must be recovered if only the first `intact_bytes` bytes are intact.
    fn expected_for_intact_bytes(&self, intact_bytes: usize) -> &ExpectedRuns {
        let complete = |prefix: &&Prefix| prefix.end_bytes <= intact_bytes;
        &self
            .prefixes
            .iter()
            .rev()
            .find(complete)
            .unwrap_or(&self.prefixes[0])
            .expected
    }
}

fn prefixes(entries: &[LogEntry]) -> Vec<Prefix> {
    let mut end_bytes = HEADER_BYTES;
    let mut expected = ExpectedRuns::default();
    let mut prefixes = vec![Prefix {
        end_bytes,
        expected: expected.clone(),
    }];
    for entry in entries {
        end_bytes += entry.record.size_bytes();
        expected.apply(&entry.record);
        prefixes.push(Prefix {
            end_bytes,
            expected: expected.clone(),
        });
    }
    prefixes
}

#[test]
fn recovers_complete_records_before_truncation_at_every_byte() {
    let segment = SingleSegmentLog::new();
    for length in 0..=segment.bytes.len() {
        let mut truncated = segment.storage.clone();
        truncated.truncate(&segment.name, length);
        let expected = segment.expected_for_intact_bytes(length);
        let runs = open(truncated.clone(), 3).1;
        assert_eq!(
            &ExpectedRuns::of(&runs),
            expected,
            "truncated to {length} bytes"
        );

        // The next incarnation writes another record, and the one after it recovers the records of
        // both.
        let mut log = open(truncated, 3).0;
        let added = intent(1_000, RETENTION_MICROS);
        log.commit(4, std::slice::from_ref(&added))
            .expect("committed");
        let mut both = expected.clone();
        both.apply(&added.record);
        let runs = open(log.storage().clone(), 5).1;
        assert_eq!(
            ExpectedRuns::of(&runs),
            both,
            "truncated to {length} bytes, then continued"
        );
    }
}

#[test]
fn recovers_complete_records_before_corruption_of_every_byte() {
    let segment = SingleSegmentLog::new();
    for index in 0..segment.bytes.len() {
        let mut bytes = segment.bytes.clone();
        bytes[index] ^= 1;
        let runs = open(storage_with_file(&segment.name, &bytes), 3).1;
        let expected = segment.expected_for_intact_bytes(index);
        assert_eq!(&ExpectedRuns::of(&runs), expected, "byte {index} corrupted");
    }
}

/// A log with synced records, followed by two records that are appended but not synced.
struct PartlySyncedLog {
    storage: MemoryStorage,
    unsynced_bytes: usize,
    first_record_bytes: usize,
    synced: ExpectedRuns,
    with_first: ExpectedRuns,
    with_both: ExpectedRuns,
}

impl PartlySyncedLog {
    fn new() -> PartlySyncedLog {
        let synced = [
            intent(1, RETENTION_MICROS),
            completed(1, "one", RETENTION_MICROS),
            intent(2, RETENTION_MICROS),
        ];
        let unsynced = [
            completed(2, "two", RETENTION_MICROS),
            intent(3, RETENTION_MICROS),
        ];
        let mut log = log_with(&synced);
        let mut bytes = vec![];
        for entry in &unsynced {
            entry.record.encode(&mut bytes);
        }
        let name = log.storage().list().expect("listed").remove(0);
        log.storage_mut().append(&name, &bytes).expect("appended");
        PartlySyncedLog {
            storage: log.storage().clone(),
            unsynced_bytes: bytes.len(),
            first_record_bytes: unsynced[0].record.size_bytes(),
            synced: ExpectedRuns::after(&synced),
            with_first: ExpectedRuns::after(synced.iter().chain(&unsynced[..1])),
            with_both: ExpectedRuns::after(synced.iter().chain(&unsynced)),
        }
    }

    fn runs_recovered_after(&self, effect: CrashEffect) -> ExpectedRuns {
        ExpectedRuns::of(&open(self.storage.after_crash(|_, _| effect), 3).1)
    }

    fn expected_for_intact_bytes(&self, intact_bytes: usize) -> &ExpectedRuns {
        if intact_bytes >= self.unsynced_bytes {
            &self.with_both
        } else if intact_bytes >= self.first_record_bytes {
            &self.with_first
        } else {
            &self.synced
        }
    }
}

#[test]
fn recovers_synced_records_and_complete_unsynced_ones_in_order() {
    let log = PartlySyncedLog::new();
    assert_eq!(log.runs_recovered_after(CrashEffect::Lost), log.synced);
    for n in 0..=log.unsynced_bytes {
        let truncated = log.runs_recovered_after(CrashEffect::Truncated(n));
        assert_eq!(
            &truncated,
            log.expected_for_intact_bytes(n),
            "truncated to {n} bytes"
        );

        // Zeros are not decoded as records. Nothing is lost if the zeroed bytes were zeros before.
        let zeroed = log.runs_recovered_after(CrashEffect::Zeroed(n));
        let possible = [&log.synced, &log.with_first, &log.with_both];
        assert!(possible.contains(&&zeroed), "zeroed from byte {n}");
        assert!(
            n < log.first_record_bytes || zeroed != log.synced,
            "zeroed from byte {n}"
        );

        if n < log.unsynced_bytes {
            let corrupted = log.runs_recovered_after(CrashEffect::Corrupted(n));
            assert_eq!(
                &corrupted,
                log.expected_for_intact_bytes(n),
                "byte {n} corrupted"
            );
        }
    }
}

#[test]
fn continues_after_segment_with_incomplete_header() {
    let log = log_with(&[intent(1, RETENTION_MICROS)]);
    let mut header = vec![];
    write_segment_header(&mut header);
    for length in 0..HEADER_BYTES {
        let mut storage = log.storage().clone();
        storage
            .append("kept-0000000000000009", &header[..length])
            .expect("appended");
        let crashed = storage.after_crash(|_, _| CrashEffect::Truncated(length));
        let (mut next, runs) = open(crashed, 3);
        assert_eq!(runs.len(), 1);
        next.commit(4, &[intent(2, RETENTION_MICROS)])
            .expect("committed");
        assert_eq!(open(next.storage().clone(), 5).1.len(), 2);
    }
}
