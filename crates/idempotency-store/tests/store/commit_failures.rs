//! Tests of commits to a storage that is full or fails.

use crate::support::{RETENTION_MICROS, completed, intent, log_with, open};
use madderbay_idempotency_store::storage::{CrashEffect, Storage};

#[test]
fn commits_a_batch_with_one_sync() {
    let entries: Vec<_> = (0..100).map(|key| intent(key, RETENTION_MICROS)).collect();
    assert_eq!(log_with(&entries).storage().sync_count(), 1);
}

#[test]
fn retains_committed_records_while_storage_is_full_or_failing() {
    let mut log = log_with(&[intent(1, RETENTION_MICROS)]);
    let second = [
        intent(2, RETENTION_MICROS),
        completed(2, &"x".repeat(300), RETENTION_MICROS),
    ];
    for capacity_bytes in 0..120 {
        log.storage_mut().set_capacity(Some(capacity_bytes));
        assert!(log.commit(3, &second).is_err());
        let crashed = log
            .storage()
            .after_crash(|_, _| CrashEffect::Truncated(usize::MAX));
        assert!(open(crashed, 4).1.contains_key(&1));
    }
    log.storage_mut().set_capacity(None);
    for operations in 0..2 {
        log.storage_mut().fail_after(Some(operations));
        assert!(log.commit(5, &[intent(3, RETENTION_MICROS)]).is_err());
    }
    log.storage_mut().fail_after(None);
    log.commit(6, &[intent(4, RETENTION_MICROS)])
        .expect("committed");
    let runs = open(log.storage().after_crash(|_, _| CrashEffect::Lost), 7).1;
    assert!(runs.contains_key(&1) && runs.contains_key(&4) && !runs.contains_key(&2));
}

#[test]
fn removes_segment_of_failed_commit_once_expired() {
    let mut log = log_with(&[]);
    let empty_segments = log.storage().list().expect("listed");
    log.storage_mut().fail_after(Some(1));
    assert!(log.commit(3, &[intent(1, RETENTION_MICROS)]).is_err());
    log.storage_mut().fail_after(None);
    assert!(log.size_bytes() > 0);

    log.remove_expired_segments(RETENTION_MICROS);
    assert_eq!(log.storage().list().expect("listed"), empty_segments);
    log.remove_expired_segments(RETENTION_MICROS + 1);
    assert!(log.storage().list().expect("listed").is_empty());
    assert_eq!(log.size_bytes(), 0);
}
