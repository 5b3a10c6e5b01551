//! Tests of which runs and answers wait for the disk.

use super::*;
use madderbay::time::Duration;
use madderbay_idempotency_store::{Batch, DurableResults};
use std::sync::mpsc::{Receiver, channel};

/// Settings of one handler whose requests have an idempotency key.
const SETTINGS: &str = r#"{"classes": [
 {"name": "book", "aim_us": 3000000, "hard_limit_us": 8000000, "importance": 3.0, "effect": "idempotency_key",
  "repeat_window_us": 10000000}], "tenants": [],
 "family_info": {"n_cores": 4, "memory_kb": 4000.0, "blowup": 4.0, "key_kb": 2.0, "preemption": "freeze",
  "below": "one_for_all", "dep_share": 8.0, "share_span_us": 5000000, "linger_us": 200000,
  "class_calls": [true], "class_skip_worth": [0.0], "passes_deadline": true, "readiness": true, "say": "allowance",
  "upstreams": 2, "keepalive_max_us": 30000000, "meters": ["core_use", "on_cores", "heap_share", "links"]},
 "permissions": {"retry_after": true, "max_retry_after_us": 1000000},
 "rules": {"tip_multiple": 5.0, "drain_grace_us": 2000000}, "servers": 3}"#;
const KEY: IdempotencyKey = 7;
const FINGERPRINT: u64 = 11;
const ATTEMPT: AttemptName = *b"00000000000000af";

fn now() -> Timestamp {
    Timestamp::from_micros(1_000_000)
}

/// Returns runs with results in memory only, and one request that has [`KEY`].
fn runs_in_memory() -> IdempotentRuns {
    let settings = madderbay_settings::read(SETTINGS.as_bytes()).expect("settings");
    let mut runs = IdempotentRuns::new(&settings, 1_000);
    let window = KeyWindow {
        fingerprint: FINGERPRINT,
        end: now() + Duration::from_millis(5_000),
    };
    runs.insert_key(1, KEY, HandlerId::new(0), window);
    runs
}

/// Returns runs with durable results, one request that has [`KEY`], and the receiver of the batches
/// for the writer thread.
fn durable_runs() -> (IdempotentRuns, Receiver<Batch>) {
    let mut runs = runs_in_memory();
    let (sender, batches) = channel();
    let results = DurableResults::new(1 << 20, 1 << 20);
    runs.set_durability(DurabilityQueue::new(results, sender));
    (runs, batches)
}

/// Starts the run of [`KEY`].
fn start(runs: &mut IdempotentRuns) -> RunRelease {
    runs.begin_run(now(), 1, KEY, ATTEMPT)
        .expect("an intent can be recorded")
}

#[test]
fn cached_results_do_not_wait_for_disk() {
    let mut runs = runs_in_memory();
    assert_eq!(start(&mut runs), RunRelease::Now);
    assert!(!runs.record_result(now(), 1, KEY, Some("\"YQ==\"")));
    assert!(matches!(
        runs.stored_outcome(KEY + 1, FINGERPRINT),
        Ok(StoredOutcome::NotStored)
    ));
}

#[test]
fn releases_run_once_its_intent_is_durable() {
    let (mut runs, batches) = durable_runs();
    assert_eq!(start(&mut runs), RunRelease::OnceDurable);
    assert!(batches.try_recv().is_err(), "nothing leaves before a flush");
    runs.flush();
    let batch = batches.try_recv().expect("a batch with the intent");
    let written = StorageEvent::Written {
        sequence: batch.last,
        disk_bytes: 100,
    };
    let Some(ReleasedWork::Durable(work)) = runs.storage_event(written) else {
        panic!("the intent is durable");
    };
    assert!(matches!(work[..], [PendingWork::Run { request: 1 }]));
}

#[test]
fn releases_work_as_not_durable_after_failed_commit() {
    let (mut runs, batches) = durable_runs();
    start(&mut runs);
    assert!(runs.record_result(now(), 1, KEY, Some("\"YQ==\"")));
    runs.flush();
    let batch = batches.try_recv().expect("a batch with both records");
    let failed = StorageEvent::Failed {
        sequence: batch.last,
        error: std::io::ErrorKind::StorageFull.into(),
    };
    let Some(ReleasedWork::NotDurable(work)) = runs.storage_event(failed) else {
        panic!("neither record is durable");
    };
    assert!(matches!(
        work[..],
        [
            PendingWork::Run { request: 1 },
            PendingWork::Response { request: 1, .. }
        ]
    ));
}

/// A writer thread that has ended takes no batches: records fail at once, and no new run can record
/// its intent.
#[test]
fn fails_records_after_writer_thread_has_ended() {
    let (mut runs, batches) = durable_runs();
    start(&mut runs);
    drop(batches);
    let failed = runs.flush().expect("a failure");
    let Some(ReleasedWork::NotDurable(work)) = runs.storage_event(failed) else {
        panic!("the intent is not durable");
    };
    assert!(matches!(work[..], [PendingWork::Run { request: 1 }]));
    assert!(runs.begin_run(now(), 2, KEY, ATTEMPT).is_err());
}

#[test]
fn looks_up_only_keys_missing_from_table_in_store() {
    let (mut runs, _batches) = durable_runs();
    // The table has this key, so its fingerprint is checked there and not in the store.
    assert!(matches!(
        runs.stored_outcome(KEY, FINGERPRINT + 1),
        Ok(StoredOutcome::NotStored)
    ));
    assert!(matches!(
        runs.stored_outcome(KEY + 1, FINGERPRINT),
        Ok(StoredOutcome::NotStored)
    ));
}
