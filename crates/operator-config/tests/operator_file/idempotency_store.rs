//! `[kept-results]`.

use crate::support::{error_lines, read_valid};

#[test]
fn reads_the_store_with_defaults_for_absent_keys() {
    let text = "[kept-results]\nenabled = on\ndirectory = var/kept\nsync = each\n";
    let store = read_valid(text).idempotency_store.expect("on");
    assert_eq!(
        (store.directory.to_str(), store.memory_mb, store.disk_mb),
        (Some("var/kept"), 16, 64)
    );
    assert!(!store.grouped);
}

#[test]
fn a_store_that_is_off_is_none() {
    let operator = read_valid("[kept-results]\ndirectory = x\n");
    assert_eq!(operator.idempotency_store, None);
}

#[test]
fn rejects_a_store_without_directory_or_disk() {
    assert_eq!(
        error_lines("[kept-results]\nenabled = on\ndisk_mb = 0\n"),
        [
            "o.ini:1: [kept-results] directory: must name a directory",
            "o.ini:3: [kept-results] disk_mb: '0' is not a number from 1 to 1048576",
        ]
    );
}
