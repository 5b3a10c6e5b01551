//! Tests of the removal of expired segments.

use crate::support::{RETENTION_MICROS, completed, intent, open};
use madderbay_idempotency_store::record::IdempotencyKey;
use madderbay_idempotency_store::recovery::recover;
use madderbay_idempotency_store::storage::MemoryStorage;

const COMMIT_INTERVAL_MICROS: u64 = 200_000;

#[test]
fn removes_segments_only_after_all_their_records_expired() {
    let mut log = open(MemoryStorage::default(), 0).0;
    let mut max_bytes = 0;
    for n in 0..2_000u64 {
        let now = n * COMMIT_INTERVAL_MICROS;
        let expires_at = now + RETENTION_MICROS;
        let key = IdempotencyKey::from(n);
        let entries = [
            intent(key, expires_at),
            completed(key, "result", expires_at),
        ];
        log.commit(now, &entries).expect("committed");
        log.remove_expired_segments(now);
        max_bytes = max_bytes.max(log.size_bytes());
        if n % 97 == 0 {
            let runs = recover(log.storage()).expect("read").runs;
            for k in n.saturating_sub(RETENTION_MICROS / COMMIT_INTERVAL_MICROS - 1)..=n {
                let key = IdempotencyKey::from(k);
                assert!(
                    runs.contains_key(&key),
                    "run {k} must still be stored at commit {n}"
                );
            }
        }
    }
    // 150 pairs of records are committed within one retention period. At most as many again have
    // expired but wait for the rest of their segment to expire.
    let pair_bytes =
        (intent(0, 0).record.size_bytes() + completed(0, "result", 0).record.size_bytes()) as u64;
    assert!(max_bytes < 320 * pair_bytes, "{max_bytes} bytes");
}

#[test]
fn retains_runs_for_full_retention_after_clock_step() {
    let recorded_at = 1_000_000_000;
    for now in [0, 1_000, 5_000_000_000_000] {
        let mut log = open(MemoryStorage::default(), recorded_at).0;
        log.commit(recorded_at, &[intent(1, recorded_at + RETENTION_MICROS)])
            .expect("committed");
        let (mut next, runs) = open(log.storage().clone(), now);
        assert_eq!(runs[&1].expires_at_micros, now + RETENTION_MICROS);
        next.remove_expired_segments(now + RETENTION_MICROS);
        assert_eq!(recover(next.storage()).expect("read").runs.len(), 1);
        next.remove_expired_segments(now + RETENTION_MICROS + 1);
        assert_eq!(recover(next.storage()).expect("read").runs.len(), 0);
    }
}
