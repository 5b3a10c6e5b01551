//! The directory of results: in which cases it is refused, and what the command line reports about it.

use super::support::{
    LONG_WINDOW_MICROS, TestSetup, booking_request, complete_booking, start_process,
};
use crate::program::program;
use std::process::Command;

/// Starts the program, which has to refuse its directory. Returns the error line.
fn start_error(setup: &TestSetup) -> String {
    let files = setup.write_files();
    let mut command = Command::new(program());
    command
        .env("RELAY_CONFIG", &files.config)
        .env_remove("MADDERBAY_OPERATOR")
        .arg("--operator")
        .arg(&files.operator);
    let output = start_process(|| command.output()).expect("the program runs");
    files.remove();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).expect("valid UTF-8");
    assert_eq!(text.lines().count(), 1, "{text}");
    text
}

/// A directory that is missing, in use by another process or of a newer version is refused with one error line, and
/// nothing starts.
#[test]
fn refuses_unusable_directory() {
    let setup = TestSetup::new(LONG_WINDOW_MICROS, "");
    let (server, engine) = setup.start();
    assert!(start_error(&setup).contains("another process has it"));
    drop((server, engine));
    let mut newer = vec![];
    madderbay_idempotency_store::segment::write_segment_header_of_version(9, &mut newer);
    std::fs::write(setup.directory.join("kept-00000000000000ff"), &newer)
        .expect("the write succeeds");
    assert!(
        start_error(&setup)
            .contains("kept-00000000000000ff: is of version 9; this program knows 1")
    );
    std::fs::remove_dir_all(&setup.directory).expect("the removal succeeds");
    assert!(start_error(&setup).contains("No such file"));
}

/// Runs `madderbay kept` with a subcommand on the directory. Returns the exit status and the output lines.
fn query_directory(setup: &TestSetup, subcommand: &str) -> (Option<i32>, Vec<String>) {
    let mut command = Command::new(program());
    command.args(["kept", subcommand]).arg(&setup.directory);
    let output = start_process(|| command.output()).expect("the program runs");
    let text = String::from_utf8([output.stdout, output.stderr].concat()).expect("valid UTF-8");
    (
        output.status.code(),
        text.lines().map(str::to_string).collect(),
    )
}

/// `kept list`, `verify` and `export` report the contents of a directory, also while a server uses it.
#[test]
fn reports_contents_of_directory_in_use() {
    let setup = TestSetup::new(LONG_WINDOW_MICROS, "");
    let (_server, mut engine, mut client) = setup.start_with_client();
    complete_booking(&mut client, &mut engine);
    client.say(&booking_request(2, 2, "6", "QUJD"));
    assert!(engine.command().contains("\"RUN\""));
    assert_lists_completed_and_pending(&setup);
    let (status, lines) = query_directory(&setup, "export");
    assert_eq!(status, Some(0));
    let first: serde_json::Value = serde_json::from_str(&lines[0]).expect("JSON");
    assert_eq!(
        (first["state"].as_str(), first["result"].as_str()),
        (Some("done"), Some("\"WFla\""))
    );
    assert_eq!(query_directory(&setup, "verify"), (Some(0), vec![]));
    assert_finds_torn_segment(&setup);
}

fn assert_lists_completed_and_pending(setup: &TestSetup) {
    let (status, lines) = query_directory(setup, "list");
    assert_eq!((status, lines.len()), (Some(0), 3), "{lines:?}");
    assert!(
        lines[0].starts_with(&format!("{:032x} done ", 5)),
        "{lines:?}"
    );
    assert!(
        lines[1].starts_with(&format!("{:032x} may-have-run ", 6)),
        "{lines:?}"
    );
    assert_eq!(
        lines[2],
        "2 keyed reqs in 3 records, 1 segments, 0 torn bytes"
    );
}

fn assert_finds_torn_segment(setup: &TestSetup) {
    let mut torn = vec![];
    madderbay_idempotency_store::segment::write_segment_header(&mut torn);
    torn.extend_from_slice(b"garbage");
    std::fs::write(setup.directory.join("kept-00000000000000ff"), &torn)
        .expect("the write succeeds");
    let (status, lines) = query_directory(setup, "verify");
    assert_eq!((status, lines.len()), (Some(1), 1), "{lines:?}");
    assert!(
        lines[0].contains("after 0 whole records 7 bytes from 12 on are none"),
        "{lines:?}"
    );
}
