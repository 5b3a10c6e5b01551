//! Clients that send lines at full speed and read their answers.

use crate::support::{
    BadClient, BadLines, LATENCY_OBJECTIVE, TestServer, assert_served, start_bad_clients,
};
use madderbay_testkit::peer::Peer;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Time for which a sound client is served beside one kind of bad lines.
const FLOOD_TIME: Duration = Duration::from_millis(1_500);

/// Asserts that a new connection is accepted and answered in time.
fn assert_new_connection_is_answered(server: &TestServer, beside: &str) {
    let began = Instant::now();
    let stream = TcpStream::connect(server.program.address).expect("the connection succeeds");
    let mut peer = Peer::new(stream);
    peer.say("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n");
    assert!(peer.line().contains("\"fit\":"), "beside {beside}");
    let took = began.elapsed();
    assert!(took < LATENCY_OBJECTIVE, "beside {beside}: {took:?}");
}

/// One client at full speed kept the only thread for seconds: others were answered late or never.
#[test]
fn sound_client_is_served_beside_one_flooding_client() {
    for lines in BadLines::WITHOUT_LOAD {
        let server = TestServer::start();
        let bad = BadClient::start(server.program.address, lines, true);
        let records = server.serve_sound_client(FLOOD_TIME);
        let beside = format!("{lines:?}");
        assert_new_connection_is_answered(&server, &beside);
        drop(bad);
        assert_served(&records, &beside);
    }
}

/// The same with many clients at once, of all kinds.
#[test]
fn sound_client_is_served_beside_many_flooding_clients() {
    let server = TestServer::start();
    let bad = start_bad_clients(&server, 18, true);
    let records = server.serve_sound_client(FLOOD_TIME * 2);
    assert_new_connection_is_answered(&server, "many");
    drop(bad);
    assert_served(&records, "many");
}

/// A flood left no trace for operators: it is logged once a connection, and counted.
#[test]
fn flooding_client_is_logged_and_counted() {
    let mut server = TestServer::start();
    let bad = BadClient::start(server.program.address, BadLines::HealthChecks, true);
    server
        .program
        .log_at("WARN connection: input exceeds its share, ");
    server.program.signal("-USR1");
    let counter = server.program.log_at("counter connections.flooding ");
    assert_eq!(counter, "counter connections.flooding 1\n");
    drop(bad);
}
