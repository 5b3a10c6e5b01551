//! Clients that make the process hold memory for them.

use crate::support::{
    BadClient, BadLines, MEMORY_LIMIT_MB, TestServer, assert_answered, assert_served,
    start_bad_clients,
};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// Number of clients of the tests; the program has room for some 200 connections.
const CLIENTS: usize = 180;
/// Time for which a sound client is served beside the bad ones.
const LOAD_TIME: Duration = Duration::from_secs(3);
/// Resident memory of the process that no bad clients may exceed: the limit of its configuration.
const MAX_MEMORY_KB: u64 = MEMORY_LIMIT_MB << 10;

/// Asserts that the process is within its memory limit.
fn assert_within_memory_limit(server: &TestServer, beside: &str) {
    let memory_kb = server.program.memory_kb();
    assert!(
        memory_kb > 0 && memory_kb < MAX_MEMORY_KB,
        "beside {beside}: {memory_kb} KB"
    );
}

/// Answers to lines that were read at once piled up without a bound for clients that did not read them.
#[test]
fn memory_is_bounded_beside_flooding_clients_that_do_not_read() {
    let server = TestServer::start();
    let bad = start_bad_clients(&server, 60, false);
    let records = server.serve_sound_client(LOAD_TIME);
    assert_within_memory_limit(&server, "clients that do not read");
    drop(bad);
    assert_served(&records, "clients that do not read");
}

/// Hundreds of clients that stop half way through a long line, write slowly, or send lines of very many members.
#[test]
fn memory_is_bounded_beside_clients_that_stop_half_way() {
    let server = TestServer::start();
    let half = format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"{}",
        "x".repeat(19_000)
    );
    let many = BadLines::ManyMembers.line(1);
    let health_check = BadLines::HealthChecks.line(1);
    let clients: Vec<TcpStream> = (0..CLIENTS)
        .map(|client| {
            let mut stream =
                TcpStream::connect(server.program.address).expect("the connection succeeds");
            let text = match client % 4 {
                0 => half.clone(),
                1 => health_check.clone() + &half,
                2 => many.repeat(4) + &many[..many.len() / 2],
                _ => health_check.clone() + &many.repeat(3) + &half,
            };
            // The program may close a connection over its limit before all is written.
            let _ = stream.write_all(text.as_bytes());
            stream
        })
        .collect();
    let records = server.serve_sound_client(LOAD_TIME);
    assert_within_memory_limit(&server, "half lines");
    for stream in clients {
        let _ = stream.shutdown(Shutdown::Both);
    }
    assert_served(&records, "half lines");
}

/// Clients that send sound requests under ever new names and keys. They are load, so that others may be rejected, but
/// each is answered in time.
#[test]
fn memory_is_bounded_beside_clients_of_ever_new_requests() {
    let server = TestServer::start();
    let start = |_| BadClient::start(server.program.address, BadLines::NewRequests, true);
    let bad: Vec<BadClient> = (0..4).map(start).collect();
    let records = server.serve_sound_client(LOAD_TIME);
    assert_within_memory_limit(&server, "new requests");
    drop(bad);
    assert_answered(&records, "new requests");
}
