//! Tests with segments of a newer format version and with files of other programs.

use crate::support::{LIMITS, open, storage_with_file};
use madderbay_idempotency_store::segment::write_segment_header_of_version;
use madderbay_idempotency_store::verify::verify;
use madderbay_idempotency_store::write_ahead_log::WriteAheadLog;

const SEGMENT: &str = "kept-0000000000000000";

/// Opens a log with one segment of this content, and returns the error message for the operator.
fn open_error(bytes: &[u8]) -> String {
    let opened = WriteAheadLog::open(storage_with_file(SEGMENT, bytes), 1, LIMITS);
    opened
        .map(|_| ())
        .expect_err("opening the log must fail")
        .to_string()
}

fn defects(name: &str, bytes: &[u8]) -> Vec<String> {
    let defects = verify(&storage_with_file(name, bytes)).expect("read");
    defects.iter().map(ToString::to_string).collect()
}

#[test]
fn rejects_segment_of_newer_version() {
    let mut newer = vec![];
    write_segment_header_of_version(2, &mut newer);
    let message = "kept-0000000000000000: is of version 2; this program knows 1";
    assert_eq!(open_error(&newer), message);
    assert_eq!(
        defects(SEGMENT, &newer),
        ["kept-0000000000000000: format version 2 is newer than this program supports"]
    );
}

#[test]
fn rejects_foreign_file_with_segment_name() {
    let message = "kept-0000000000000000: not a segment of durable results";
    assert_eq!(open_error(b"#!/bin/sh\n"), message);
    assert_eq!(defects(SEGMENT, b"#!/bin/sh\n"), [message]);
}

#[test]
fn skips_other_files_but_verify_reports_them() {
    assert_eq!(
        defects("notes.txt", b"x"),
        ["notes.txt: not a segment file of durable results"]
    );
    assert!(open(storage_with_file("notes.txt", b"x"), 1).1.is_empty());
}
