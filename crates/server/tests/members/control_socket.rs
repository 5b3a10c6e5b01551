//! The control socket: which process may have it, who may use it, and how it answers queries.

use crate::program::program;
use crate::support::{control_section, query_cli, start_with_control_socket, temporary_directory};
use madderbay_testkit::server::{self, command};
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::process::Output;

#[test]
fn control_socket_is_private_and_replaces_only_stale_file() {
    let directory = temporary_directory("control");
    let socket = directory.join("c.sock");
    // A killed server leaves a file behind at which nothing listens.
    drop(UnixListener::bind(&socket).expect("the socket is bound"));
    assert!(socket.exists());
    let first = start_with_control_socket(&socket);
    let mode = std::fs::metadata(&socket)
        .expect("a file")
        .permissions()
        .mode();
    assert_eq!(mode & 0o777, 0o600);
    let no_fleet = query_cli(&socket, &[]);
    let error = String::from_utf8(no_fleet.stderr).expect("valid UTF-8");
    assert!(
        error.contains("no [members] in the operator file"),
        "{error}"
    );
    let config = std::fs::read_to_string(&first.path).expect("its configuration");
    assert_leaves_socket_of_running_server(&config, &socket);
    first.signal("-TERM");
    first.ended();
    assert!(!socket.exists(), "the socket file still exists");
    assert_leaves_file_that_is_no_socket(&config, &socket);
    let _ = std::fs::remove_dir_all(directory);
}

/// Starts another server with a control socket that it cannot use. Returns its output.
fn start_with_taken_socket_path(config: &str, socket: &Path) -> Output {
    let config = server::write_config(config);
    let operator = server::write_config(&control_section(socket));
    let output = command(program(), Some(&config))
        .arg("--operator")
        .arg(&operator)
        .output()
        .expect("the program runs");
    for file in [config, operator] {
        let _ = std::fs::remove_file(file);
    }
    output
}

fn assert_leaves_socket_of_running_server(config: &str, socket: &Path) {
    let second = start_with_taken_socket_path(config, socket);
    assert_eq!(second.status.code(), Some(1));
    let error = String::from_utf8_lossy(&second.stderr).to_string();
    assert!(error.contains("another process listens there"), "{error}");
    assert!(UnixStream::connect(socket).is_ok());
}

fn assert_leaves_file_that_is_no_socket(config: &str, path: &Path) {
    std::fs::write(path, "precious").expect("the write succeeds");
    let third = start_with_taken_socket_path(config, path);
    assert!(String::from_utf8_lossy(&third.stderr).contains("is no socket"));
    assert_eq!(
        std::fs::read_to_string(path).expect("still there"),
        "precious"
    );
}

/// Sends a query and returns the first two lines of the answer.
fn query(socket: &Path, line: &[u8]) -> [String; 2] {
    let mut stream = UnixStream::connect(socket).expect("the connection succeeds");
    stream.write_all(line).expect("the query is sent");
    let mut lines = BufReader::new(stream).lines();
    [(); 2].map(|()| lines.next().expect("a line").expect("valid UTF-8"))
}

#[test]
fn answers_invalid_queries_and_closes_silent_clients() {
    let directory = temporary_directory("asked");
    let socket = directory.join("c.sock");
    let server = start_with_control_socket(&socket);
    for (line, expected) in [
        (
            &b"{\"ask\":\"secrets\"}\n"[..],
            "members, shared and routes can be asked for",
        ),
        (
            b"what?\n",
            "a question is a line as {\\\"ask\\\":\\\"members\\\"}",
        ),
        (&[b'x'; 400], "a question is a line of 255 bytes at most"),
    ] {
        let [answer, end] = query(&socket, line);
        assert!(answer.contains(expected), "{answer}");
        assert_eq!(end, "{\"end\":true}");
    }
    // Three clients that send nothing leave room for one that does.
    let mut silent: Vec<UnixStream> = (0..3)
        .map(|_| UnixStream::connect(&socket).expect("the connection succeeds"))
        .collect();
    assert!(query(&socket, b"{\"ask\":\"members\"}\n")[0].contains("no [members]"));
    // The connections of the silent clients are closed in time.
    let mut rest = vec![];
    silent[0]
        .set_read_timeout(Some(madderbay_testkit::WAIT_TIMEOUT))
        .expect("the timeout is set");
    silent[0].read_to_end(&mut rest).expect("closed");
    assert!(rest.is_empty());
    drop(server);
    let _ = std::fs::remove_dir_all(directory);
}
