//! Tests of the log on the file system.

use crate::support::{LIMITS, RETENTION_MICROS, completed, intent};
use madderbay_idempotency_store::StoreError;
use madderbay_idempotency_store::recovery::RunState;
use madderbay_idempotency_store::storage::DirectoryStorage;
use madderbay_idempotency_store::verify::verify;
use madderbay_idempotency_store::write_ahead_log::WriteAheadLog;
use std::path::{Path, PathBuf};

/// Path of a temporary directory. The test creates the directory, which is removed on drop.
struct TemporaryDirectory(PathBuf);

impl TemporaryDirectory {
    fn new(test: &str) -> TemporaryDirectory {
        let name = format!("madderbay-store-{test}-{}", std::process::id());
        TemporaryDirectory(std::env::temp_dir().join(name))
    }
}

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn open_error(directory: &Path) -> StoreError {
    DirectoryStorage::open(directory)
        .map(|_| ())
        .expect_err("opening the directory must fail")
}

#[test]
fn rejects_missing_directory_and_regular_file() {
    let directory = TemporaryDirectory::new("missing");
    let missing = open_error(&directory.0);
    assert!(
        matches!(missing, StoreError::OpenDirectory { .. }),
        "{missing:?}"
    );
    assert!(
        missing.to_string().contains("madderbay-store-missing-"),
        "{missing}"
    );

    std::fs::create_dir(&directory.0).expect("created");
    let file = directory.0.join("file");
    std::fs::write(&file, "").expect("written");
    assert!(
        open_error(&file)
            .to_string()
            .ends_with("file: not a directory")
    );
}

#[test]
fn recovers_after_reopening_and_rejects_second_writer() {
    let directory = TemporaryDirectory::new("owner");
    std::fs::create_dir(&directory.0).expect("created");
    {
        let storage = DirectoryStorage::open(&directory.0).expect("opened");
        let (mut log, _) = WriteAheadLog::open(storage, 1, LIMITS).expect("read");
        let entries = [
            intent(1, RETENTION_MICROS),
            completed(1, "one", RETENTION_MICROS),
        ];
        log.commit(2, &entries).expect("committed");
        let error = open_error(&directory.0).to_string();
        assert!(error.ends_with("another process has it"), "{error}");
    }
    let storage = DirectoryStorage::open(&directory.0).expect("reopened");
    assert_eq!(verify(&storage).expect("read"), []);
    let (mut log, recovery) = WriteAheadLog::open(storage, 3, LIMITS).expect("read");
    assert_eq!(
        recovery.runs[&1].state,
        RunState::Completed(b"one"[..].into())
    );
    assert_eq!(
        (recovery.segments, recovery.records, recovery.torn_segments),
        (1, 2, 0)
    );
    log.remove_expired_segments(3 + RETENTION_MICROS + 1);
    assert_eq!(log.size_bytes(), 0);
}
