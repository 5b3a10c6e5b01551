//! Compatibility with stored data: directories written by the first release of the format must
//! always be read in the same way.
//!
//! `data/complete` has two segments with records of each kind. `data/torn` has a segment that ends
//! within a record, one that ends in zeros and one that ends within its header. The output of
//! `kept verify` for each directory is stored next to it.

use crate::support::{LIMITS, Runs, completed, entry};
use madderbay_idempotency_store::record::{AttemptId, IdempotencyKey, Record};
use madderbay_idempotency_store::recovery::{RecoveredRun, RunState, recover};
use madderbay_idempotency_store::segment::{HEADER_BYTES, write_segment_header};
use madderbay_idempotency_store::storage::{DirectoryStorage, MemoryStorage, Storage};
use madderbay_idempotency_store::verify::verify;
use madderbay_idempotency_store::write_ahead_log::{LogEntry, WriteAheadLog};
use std::path::Path;

const START_MICROS: u64 = 1_764_576_000_000_000;
const RETENTION_MICROS: u64 = LIMITS.retention_micros;
const HASH_OF_5: u64 = 0x0123_4567_89ab_cdef;
const HASH_OF_6: u64 = 0xfedc_ba98_7654_3210;
const LARGE_ATTEMPT: u64 = 0xa1b2_c3d4_e5f6_0718;
const LARGE_KEY: IdempotencyKey = 0x1234_5678_9abc_def0_0fed_cba9_8765_4321;
const NON_UTF8_RESULT: &[u8] = &[0x22, 0x00, 0xff, 0xfe, 0x0a, 0x5c, 0x22];
const UTF8_RESULT: &str = "{\"line\": \"gr\u{fc}\u{df}e\"}";

/// Opens a stored directory read-only, so that not even a lock file is created in it.
fn stored(name: &str) -> DirectoryStorage {
    let data = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data");
    DirectoryStorage::open_read_only(&data.join(name))
}

/// Returns an attempt ID in the form used in the stored data: 16 hexadecimal digits.
fn attempt_id(number: u64) -> AttemptId {
    let digits = format!("{number:016x}");
    digits.as_bytes().try_into().expect("16 digits")
}

fn intent(key: IdempotencyKey, request_hash: u64, attempt: u64, expires_at: u64) -> LogEntry {
    let record = Record::Intent {
        key,
        request_hash,
        expires_at_micros: expires_at,
        attempt_id: attempt_id(attempt),
    };
    entry(record, expires_at)
}

fn run(request_hash: u64, attempt: u64, expires_at: u64, state: RunState) -> RecoveredRun {
    RecoveredRun {
        request_hash,
        expires_at_micros: expires_at,
        attempt_id: attempt_id(attempt),
        state,
    }
}

fn result(bytes: &[u8]) -> RunState {
    RunState::Completed(bytes.into())
}

#[test]
fn recovers_stored_directory() {
    let recovery = recover(&stored("complete")).expect("read");
    assert_eq!((recovery.segments, recovery.records), (2, 16));
    assert_eq!((recovery.torn_segments, recovery.torn_bytes), (0, 0));
    assert_eq!(recovery.size_bytes, 428 + 316);

    let first = START_MICROS + 1_000 + RETENTION_MICROS;
    let second = START_MICROS + 16_000_000 + RETENTION_MICROS;
    let mut expected = Runs::new();
    let mut expect = |key, run| expected.insert(key, run);
    expect(5, run(HASH_OF_5, 1, first, result(b"\"WFla\"")));
    expect(6, run(HASH_OF_6, 2, first, RunState::NoResult));
    expect(7, run(77, 6, second, RunState::MayHaveRun));
    expect(8, run(8, 5, second, RunState::MayHaveRun));
    expect(9, run(9, 7, second, result(NON_UTF8_RESULT)));
    expect(
        LARGE_KEY,
        run(10, LARGE_ATTEMPT, second, result(UTF8_RESULT.as_bytes())),
    );
    expect(u128::MAX, run(u64::MAX, u64::MAX, first, result(b"")));
    assert_eq!(recovery.runs, expected);
}

#[test]
fn recovers_stored_directory_with_torn_ends() {
    let recovery = recover(&stored("torn")).expect("read");
    assert_eq!((recovery.segments, recovery.records), (3, 6));
    assert_eq!((recovery.torn_segments, recovery.torn_bytes), (3, 75));
    assert_eq!(recovery.size_bytes, 185 + 191 + 7);

    let first = START_MICROS + RETENTION_MICROS;
    let second = START_MICROS + 5_000_000 + RETENTION_MICROS;
    let mut expected = Runs::new();
    let mut expect = |key, run| expected.insert(key, run);
    expect(1, run(11, 0x11, first, result(b"\"b25l\"")));
    expect(2, run(12, 0x12, first, RunState::MayHaveRun));
    expect(3, run(13, 0x13, second, RunState::NoResult));
    expect(4, run(14, 0x14, second, RunState::MayHaveRun));
    assert_eq!(recovery.runs, expected);
}

#[test]
fn verify_prints_the_stored_lines() {
    let lines = |name: &str| -> String {
        let defects = verify(&stored(name)).expect("read");
        defects.iter().map(|defect| format!("{defect}\n")).collect()
    };
    assert_eq!(
        lines("complete"),
        include_str!("../data/complete.verify.stdout")
    );
    assert_eq!(lines("torn"), include_str!("../data/torn.verify.stdout"));
}

/// The entries of one commit, and the time of the commit.
struct Commit {
    at_micros: u64,
    entries: Vec<LogEntry>,
}

/// Returns the commits that wrote the first segment of `data/complete`.
fn first_segment_commits() -> [Commit; 3] {
    let at_micros = START_MICROS + 1_000;
    let expires_at = at_micros + RETENTION_MICROS;
    let intents = vec![
        intent(5, HASH_OF_5, 1, expires_at),
        intent(6, HASH_OF_6, 2, expires_at),
        intent(u128::MAX, u64::MAX, u64::MAX, expires_at),
    ];
    let results_and_intents = vec![
        completed(5, "\"WFla\"", expires_at),
        entry(Record::NoResult { key: 6 }, expires_at),
        intent(7, 7, 3, expires_at + 20_000),
        intent(8, 8, 4, expires_at + 20_000),
    ];
    let results = vec![
        entry(Record::NotRun { key: 7 }, expires_at),
        completed(u128::MAX, "", expires_at),
        entry(Record::NotRun { key: 5 }, expires_at),
    ];
    [
        Commit {
            at_micros,
            entries: intents,
        },
        Commit {
            at_micros: at_micros + 20_000,
            entries: results_and_intents,
        },
        Commit {
            at_micros: at_micros + 40_000,
            entries: results,
        },
    ]
}

/// Returns the commits that wrote the second segment of `data/complete`. They were made after the
/// first segment had reached its age limit.
fn second_segment_commits() -> [Commit; 2] {
    let at_micros = START_MICROS + 16_000_000;
    let expires_at = at_micros + RETENTION_MICROS;
    let non_utf8 = Record::Completed {
        key: 9,
        result: NON_UTF8_RESULT.into(),
    };
    let intents = vec![
        intent(8, 8, 5, expires_at),
        intent(7, 77, 6, expires_at),
        intent(9, 9, 7, expires_at),
        intent(LARGE_KEY, 10, LARGE_ATTEMPT, expires_at),
    ];
    let results = vec![
        entry(non_utf8, expires_at),
        completed(LARGE_KEY, UTF8_RESULT, expires_at),
    ];
    [
        Commit {
            at_micros,
            entries: intents,
        },
        Commit {
            at_micros: at_micros + 1,
            entries: results,
        },
    ]
}

#[test]
fn encodes_commits_to_the_stored_bytes() {
    let storage = MemoryStorage::default();
    let (mut log, _) = WriteAheadLog::open(storage, START_MICROS, LIMITS).expect("opened");
    for commit in first_segment_commits()
        .into_iter()
        .chain(second_segment_commits())
    {
        log.commit(commit.at_micros, &commit.entries)
            .expect("committed");
    }
    let stored = stored("complete");
    let names = stored.list().expect("listed");
    assert_eq!(names, ["kept-0000000000000000", "kept-0000000000000001"]);
    assert_eq!(log.storage().list().expect("listed"), names);
    for name in names {
        let written = log.storage().read(&name).expect("read");
        assert_eq!(written, stored.read(&name).expect("read"), "{name}");
    }
}

#[test]
fn reencodes_decoded_records_to_the_stored_bytes() {
    let segments = [
        ("complete", 0, 0),
        ("complete", 1, 0),
        ("torn", 0, 28),
        ("torn", 1, 40),
    ];
    for (directory, number, torn_bytes) in segments {
        let name = format!("kept-{number:016x}");
        let bytes = stored(directory).read(&name).expect("read");
        let mut encoded = vec![];
        write_segment_header(&mut encoded);
        let mut rest = &bytes[HEADER_BYTES..];
        while let Ok(decoded) = Record::decode(rest) {
            decoded.record.encode(&mut encoded);
            rest = &rest[decoded.size_bytes..];
        }
        assert_eq!(rest.len(), torn_bytes, "{directory}/{name}");
        assert_eq!(
            encoded,
            bytes[..bytes.len() - torn_bytes],
            "{directory}/{name}"
        );
    }
}
