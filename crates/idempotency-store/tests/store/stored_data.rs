//! Directories that were written by the first release of the format must read the same for ever.
//!
//! `data/complete` has two segments with each kind of record. `data/torn` has a segment that ends
//! within a record, one that ends in zeros and one that ends within its header. The lines that
//! `kept verify` printed for each are beside them.

use crate::support::{LIMITS, completed, entry};
use madderbay_idempotency_store::record::{IdempotencyKey, Record};
use madderbay_idempotency_store::recovery::{RecoveredRun, Recovery, RunState, recover};
use madderbay_idempotency_store::segment::{HEADER_BYTES, write_segment_header};
use madderbay_idempotency_store::storage::{DirectoryStorage, MemoryStorage, Storage};
use madderbay_idempotency_store::verify::verify;
use madderbay_idempotency_store::write_ahead_log::{LogEntry, WriteAheadLog};
use std::path::Path;

const START_MICROS: u64 = 1_764_576_000_000_000;
const RETENTION_MICROS: u64 = LIMITS.retention_micros;
const LARGE_KEY: IdempotencyKey = 0x1234_5678_9abc_def0_0fed_cba9_8765_4321;
const NON_UTF8_RESULT: &[u8] = &[0x22, 0x00, 0xff, 0xfe, 0x0a, 0x5c, 0x22];
const UTF8_RESULT: &str = "{\"line\": \"gr\u{fc}\u{df}e\"}";

/// Opens stored data without writing to it, not even a lock file.
fn stored(name: &str) -> DirectoryStorage {
    let data = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data");
    DirectoryStorage::open_read_only(&data.join(name))
}

fn intent(
    key: IdempotencyKey,
    request_hash: u64,
    attempt_id: &[u8; 16],
    expires_at_micros: u64,
) -> LogEntry {
    let record = Record::Intent {
        key,
        request_hash,
        expires_at_micros,
        attempt_id: *attempt_id,
    };
    entry(record, expires_at_micros)
}

fn run(request_hash: u64, attempt_id: &[u8; 16], expires_at: u64, state: RunState) -> RecoveredRun {
    RecoveredRun {
        request_hash,
        expires_at_micros: expires_at,
        attempt_id: *attempt_id,
        state,
    }
}

fn result(bytes: &[u8]) -> RunState {
    RunState::Completed(bytes.into())
}

fn assert_recovers(recovery: Recovery, expected: Vec<(IdempotencyKey, RecoveredRun)>) {
    let mut runs: Vec<_> = recovery.runs.into_iter().collect();
    runs.sort_by_key(|(key, _)| *key);
    assert_eq!(runs, expected);
}

#[test]
fn recovers_stored_directory() {
    let first = START_MICROS + 1_000 + RETENTION_MICROS;
    let second = START_MICROS + 16_000_000 + RETENTION_MICROS;
    let recovery = recover(&stored("complete")).expect("read");
    assert_eq!((recovery.segments, recovery.records), (2, 16));
    assert_eq!((recovery.torn_segments, recovery.torn_bytes), (0, 0));
    assert_eq!(recovery.size_bytes, 428 + 316);
    let expected = vec![
        (
            5,
            run(
                0x0123_4567_89ab_cdef,
                b"0000000000000001",
                first,
                result(b"\"WFla\""),
            ),
        ),
        (
            6,
            run(
                0xfedc_ba98_7654_3210,
                b"0000000000000002",
                first,
                RunState::NoResult,
            ),
        ),
        (
            7,
            run(77, b"0000000000000006", second, RunState::MayHaveRun),
        ),
        (8, run(8, b"0000000000000005", second, RunState::MayHaveRun)),
        (
            9,
            run(9, b"0000000000000007", second, result(NON_UTF8_RESULT)),
        ),
        (
            LARGE_KEY,
            run(
                10,
                b"a1b2c3d4e5f60718",
                second,
                result(UTF8_RESULT.as_bytes()),
            ),
        ),
        (
            u128::MAX,
            run(u64::MAX, b"ffffffffffffffff", first, result(b"")),
        ),
    ];
    assert_recovers(recovery, expected);
}

#[test]
fn recovers_stored_directory_with_torn_ends() {
    let first = START_MICROS + RETENTION_MICROS;
    let second = START_MICROS + 5_000_000 + RETENTION_MICROS;
    let recovery = recover(&stored("torn")).expect("read");
    assert_eq!((recovery.segments, recovery.records), (3, 6));
    assert_eq!((recovery.torn_segments, recovery.torn_bytes), (3, 75));
    let expected = vec![
        (1, run(11, b"0000000000000011", first, result(b"\"b25l\""))),
        (2, run(12, b"0000000000000012", first, RunState::MayHaveRun)),
        (3, run(13, b"0000000000000013", second, RunState::NoResult)),
        (
            4,
            run(14, b"0000000000000014", second, RunState::MayHaveRun),
        ),
    ];
    assert_recovers(recovery, expected);
}

#[test]
fn verifies_stored_directories_with_the_same_lines() {
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

/// Entries of one commit and when it was made.
struct Commit {
    at_micros: u64,
    entries: Vec<LogEntry>,
}

/// The commits of the first segment of `data/complete`.
fn first_segment_commits() -> [Commit; 3] {
    let at_micros = START_MICROS + 1_000;
    let expires_at = at_micros + RETENTION_MICROS;
    let intents = vec![
        intent(5, 0x0123_4567_89ab_cdef, b"0000000000000001", expires_at),
        intent(6, 0xfedc_ba98_7654_3210, b"0000000000000002", expires_at),
        intent(u128::MAX, u64::MAX, b"ffffffffffffffff", expires_at),
    ];
    let results_and_intents = vec![
        completed(5, "\"WFla\"", expires_at),
        entry(Record::NoResult { key: 6 }, expires_at),
        intent(7, 7, b"0000000000000003", expires_at + 20_000),
        intent(8, 8, b"0000000000000004", expires_at + 20_000),
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

/// The commits of the second segment of `data/complete`, past the age limit of the first.
fn second_segment_commits() -> [Commit; 2] {
    let at_micros = START_MICROS + 16_000_000;
    let expires_at = at_micros + RETENTION_MICROS;
    let non_utf8 = Record::Completed {
        key: 9,
        result: NON_UTF8_RESULT.into(),
    };
    let intents = vec![
        intent(8, 8, b"0000000000000005", expires_at),
        intent(7, 77, b"0000000000000006", expires_at),
        intent(9, 9, b"0000000000000007", expires_at),
        intent(LARGE_KEY, 10, b"a1b2c3d4e5f60718", expires_at),
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
fn writes_the_same_records_to_the_same_bytes() {
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
fn encodes_decoded_records_to_the_same_bytes() {
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
