//! Tests of the table: which intents are admitted, how attempts are answered, and which results
//! wait for a commit.

use crate::support::{LIMITS, RETENTION_MICROS, completed, entry, intent, log_with};
use madderbay::time::{Duration, Timestamp};
use madderbay_idempotency_store::record::{INTENT_BYTES, KEY_RECORD_BYTES, Record};
use madderbay_idempotency_store::write_ahead_log::{LogEntry, WriteAheadLog};
use madderbay_idempotency_store::{Counters, DurableResults, IntentError, Lookup};

const DISK_LIMIT_BYTES: u64 = 10_000;
const MEMORY_LIMIT_BYTES: usize = 10;
const ATTEMPT: &[u8; 16] = &[b'a'; 16];
/// The request hash that [`intent`] uses for key 1.
const HASH_OF_KEY_1: u64 = 8;

/// Returns a table that has recovered these log entries after a restart.
fn table_after_restart(entries: &[LogEntry]) -> DurableResults {
    let storage = log_with(entries).storage().clone();
    let (_, recovery) = WriteAheadLog::open(storage, 3, LIMITS).expect("read");
    let mut results = DurableResults::new(MEMORY_LIMIT_BYTES, DISK_LIMIT_BYTES);
    results.load_recovery(recovery);
    results
}

/// Takes the next batch and reports it as committed.
fn commit_next_batch(results: &mut DurableResults) {
    let batch = results.take_batch().expect("records to commit");
    results.on_committed(batch.last, 0);
}

fn completed_lookup(result: &str) -> Lookup {
    Lookup::Completed(result.as_bytes().into())
}

#[test]
fn answers_attempts_of_runs_from_earlier_incarnations() {
    let mut results = table_after_restart(&[
        intent(1, RETENTION_MICROS),
        completed(1, "one", RETENTION_MICROS),
        intent(2, RETENTION_MICROS),
        intent(3, RETENTION_MICROS),
        entry(Record::NoResult { key: 3 }, RETENTION_MICROS),
    ]);
    assert_eq!(results.lookup(1, HASH_OF_KEY_1), completed_lookup("one"));
    assert_eq!(results.lookup(1, HASH_OF_KEY_1 + 1), Lookup::Mismatch);
    assert_eq!(results.lookup(2, HASH_OF_KEY_1 + 1), Lookup::NoResult);
    assert_eq!(results.lookup(3, HASH_OF_KEY_1 + 2), Lookup::NoResult);
    assert_eq!(results.lookup(4, 0), Lookup::NotFound);
    let expected = Counters {
        results_returned: 1,
        results_unavailable: 2,
        ..Counters::default()
    };
    assert_eq!(results.counters(), expected);
}

#[test]
fn drops_recovered_runs_after_retention_and_grace() {
    let mut results = table_after_restart(&[
        intent(1, RETENTION_MICROS),
        completed(1, "one", RETENTION_MICROS),
    ]);
    let expiry = Timestamp::from_micros(3 + RETENTION_MICROS) + Duration::from_millis(10_000);
    results.expire(expiry.saturating_sub(Duration::from_micros(1)));
    assert_eq!(results.usage().recovered_runs, 1);
    results.expire(expiry);
    assert_eq!(results.usage().recovered_runs, 0);
    assert_eq!(results.lookup(1, HASH_OF_KEY_1), Lookup::NotFound);
}

#[test]
fn drops_results_that_do_not_fit_in_memory() {
    let mut results = table_after_restart(&[
        intent(1, RETENTION_MICROS),
        completed(1, "123456", RETENTION_MICROS),
        intent(2, RETENTION_MICROS),
        completed(2, "123456", RETENTION_MICROS),
    ]);
    assert_eq!(results.lookup(1, HASH_OF_KEY_1), completed_lookup("123456"));
    assert_eq!(results.lookup(2, HASH_OF_KEY_1 + 1), Lookup::NoResult);
}

#[test]
fn returns_result_of_recovered_run_only_once_durable() {
    let mut results = table_after_restart(&[intent(1, RETENTION_MICROS)]);
    assert!(!results.complete_recovered_run(&[b'b'; 16], Some(b"one")));
    assert!(results.complete_recovered_run(ATTEMPT, Some(b"one")));
    assert!(!results.complete_recovered_run(ATTEMPT, Some(b"one")));
    assert_eq!(results.lookup(1, HASH_OF_KEY_1), Lookup::NoResult);
    commit_next_batch(&mut results);
    assert_eq!(results.lookup(1, HASH_OF_KEY_1), completed_lookup("one"));
}

#[test]
fn returns_results_up_to_committed_sequence_number_only() {
    let other_attempt = [b'b'; 16];
    let other = Record::Intent {
        key: 2,
        request_hash: 2,
        expires_at_micros: RETENTION_MICROS,
        attempt_id: other_attempt,
    };
    let entries = [intent(1, RETENTION_MICROS), entry(other, RETENTION_MICROS)];
    let mut results = table_after_restart(&entries);
    assert!(results.complete_recovered_run(ATTEMPT, Some(b"one")));
    let first = results.take_batch().expect("records to commit");
    assert!(results.complete_recovered_run(&other_attempt, Some(b"two")));
    let second = results.take_batch().expect("records to commit");

    results.on_committed(first.last, 0);
    assert_eq!(results.lookup(1, HASH_OF_KEY_1), completed_lookup("one"));
    assert_eq!(results.lookup(2, 2), Lookup::NoResult);
    results.on_committed(second.last, 0);
    assert_eq!(results.lookup(2, 2), completed_lookup("two"));
}

#[test]
fn drops_result_of_recovered_run_if_its_commit_fails() {
    let mut results = table_after_restart(&[intent(1, RETENTION_MICROS)]);
    assert!(results.complete_recovered_run(ATTEMPT, Some(b"one")));
    let batch = results.take_batch().expect("records to commit");
    results.on_commit_failed(batch.last);
    results.on_committed(batch.last + 1, 0);
    assert_eq!(results.lookup(1, HASH_OF_KEY_1), Lookup::NoResult);
    assert_eq!(results.counters().commit_failures, 1);
}

#[test]
fn rejects_intents_while_storage_fails() {
    let mut results = table_after_restart(&[]);
    let last = results.record_intent(1, 1, *ATTEMPT, Timestamp::from_micros(1));
    results.on_commit_failed(last);
    assert_eq!(results.admit_intent(), Err(IntentError::StorageUnavailable));
    results.on_storage_recovered(0);
    assert_eq!(results.admit_intent(), Ok(()));
    assert_eq!(results.counters().intents_rejected, 1);
}

#[test]
fn rejects_intents_at_disk_limit() {
    let mut results = DurableResults::new(MEMORY_LIMIT_BYTES, DISK_LIMIT_BYTES);
    let reservation_bytes = (INTENT_BYTES + KEY_RECORD_BYTES) as u64;
    results.on_storage_recovered(DISK_LIMIT_BYTES - reservation_bytes);
    assert_eq!(results.admit_intent(), Ok(()));
    results.on_storage_recovered(DISK_LIMIT_BYTES - reservation_bytes + 1);
    assert_eq!(results.admit_intent(), Err(IntentError::DiskLimitReached));
}

#[test]
fn drops_results_beyond_their_fraction_of_the_disk_limit() {
    let mut results = DurableResults::new(MEMORY_LIMIT_BYTES, DISK_LIMIT_BYTES);
    let expires_at = Timestamp::from_micros(1);
    results.on_storage_recovered(DISK_LIMIT_BYTES / 4 * 3 - 3);
    results.record_result(1, Some(b"one"), expires_at);
    let batch = results.take_batch().expect("records to commit");
    assert_eq!(batch.entries, [completed(1, "one", 1)]);
    results.on_committed(batch.last, DISK_LIMIT_BYTES / 4 * 3 - 2);
    results.record_result(2, Some(b"two"), expires_at);
    let batch = results.take_batch().expect("records to commit");
    assert_eq!(batch.entries, [entry(Record::NoResult { key: 2 }, 1)]);
}

#[test]
fn numbers_records_consecutively_across_batches() {
    let mut results = DurableResults::new(MEMORY_LIMIT_BYTES, DISK_LIMIT_BYTES);
    assert!(results.take_batch().is_none());
    results.record_intent(1, 1, *ATTEMPT, Timestamp::from_micros(1));
    results.record_not_run(1, Timestamp::from_micros(1));
    assert_eq!(results.take_batch().map(|batch| batch.last), Some(2));
    results.record_intent(1, 1, *ATTEMPT, Timestamp::from_micros(1));
    let batch = results.take_batch().expect("records to commit");
    assert_eq!((batch.last, batch.entries.len()), (3, 1));
}

/// If the disk limit does not allow a result to be recorded, lookups must not return it from memory
/// either: it would be lost at the next restart.
#[test]
fn returns_no_result_that_did_not_fit_on_disk() {
    let storage = log_with(&[intent(1, RETENTION_MICROS)]).storage().clone();
    let (_, recovery) = WriteAheadLog::open(storage, 3, LIMITS).expect("read");
    let mut results = DurableResults::new(MEMORY_LIMIT_BYTES, 10);
    results.load_recovery(recovery);
    assert!(results.complete_recovered_run(ATTEMPT, Some(b"result")));
    let batch = results.take_batch().expect("record of the end of the run");
    assert_eq!(batch.entries[0].record, Record::NoResult { key: 1 });
    results.on_committed(batch.last, 0);
    assert_eq!(results.lookup(1, HASH_OF_KEY_1), Lookup::NoResult);
}

/// The bytes of a batch count against the disk limit until its own commit is reported, regardless
/// of the outcome of other batches.
#[test]
fn counts_batches_in_flight_against_disk_limit() {
    let mut results = DurableResults::new(MEMORY_LIMIT_BYTES, DISK_LIMIT_BYTES);
    let mut record_and_take = |key| {
        results.record_intent(key, 1, *ATTEMPT, Timestamp::from_micros(9));
        results.take_batch().expect("a batch").last
    };
    let (first, second, third) = (record_and_take(1), record_and_take(2), record_and_take(3));
    results.record_intent(4, 1, *ATTEMPT, Timestamp::from_micros(9));
    let intents = |count: u64| count * INTENT_BYTES as u64;
    assert_eq!(results.usage().disk_bytes, intents(4));
    results.on_committed(first, 1_000);
    assert_eq!(results.usage().disk_bytes, 1_000 + intents(3));
    results.on_commit_failed(second);
    assert_eq!(results.usage().disk_bytes, 1_000 + intents(2));
    results.on_committed(third, 2_000);
    assert_eq!(results.usage().disk_bytes, 2_000 + intents(1));
}
