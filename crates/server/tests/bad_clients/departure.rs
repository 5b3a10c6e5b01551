//! Clients that close their connection with requests unread.

use crate::support::{TestServer, request};
use madderbay_testkit::peer::Peer;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// Number of requests that a client sends: as many as may be open on a connection.
const REQUESTS: u64 = 32;
/// Time for which the process is stopped, so that requests and the end are unread together.
const STOP_TIME: Duration = Duration::from_millis(200);
/// Time after which runs that were started late would have reached the engine.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Returns the lines of the requests of one client.
fn requests() -> String {
    let line = |number| request("quote", number, "\"QUJD\"");
    (1..=REQUESTS).map(line).collect()
}

/// Lets a client send its requests while the process is stopped, and end its connection by `end`. Returns it.
fn send_while_stopped(
    server: &TestServer,
    text: &str,
    end: impl FnOnce(TcpStream) -> Option<TcpStream>,
) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(server.program.address).expect("the connection succeeds");
    let mut peer = Peer::new(stream.try_clone().expect("a second handle"));
    peer.say("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n");
    assert!(peer.line().contains("\"fit\":"));
    drop(peer);
    server.program.signal("-STOP");
    stream
        .write_all(text.as_bytes())
        .expect("the write succeeds");
    let stream = end(stream);
    std::thread::sleep(STOP_TIME);
    server.program.signal("-CONT");
    stream
}

/// Requests that were unread when their client closed the connection were sent to the engine.
#[test]
fn requests_of_departed_client_are_not_run() {
    let server = TestServer::start();
    send_while_stopped(&server, &requests(), |_| None);
    std::thread::sleep(SETTLE_TIME);
    let stats = server.engine.stats();
    assert!(stats.runs.is_empty(), "{} ran", stats.runs.len());
    // The same requests come again on another connection: each runs once.
    let stream = TcpStream::connect(server.program.address).expect("the connection succeeds");
    let mut peer = Peer::new(stream);
    peer.say(&requests());
    for _ in 0..REQUESTS {
        assert!(peer.line().contains("\"result\""));
    }
    let stats = server.engine.stats();
    assert_eq!(stats.runs.len() as u64, REQUESTS);
    let runs_again = |events: &&Vec<_>| {
        let runs = |e: &&madderbay_testkit::engine::RunEvent| e.kind == "RUN";
        events.iter().filter(runs).count() != 1
    };
    assert_eq!(stats.runs.values().filter(runs_again).count(), 0);
}

/// A client that only sends no more still gets the answers to what it sent before.
#[test]
fn requests_of_client_that_sends_no_more_are_answered() {
    let server = TestServer::start();
    let stream = send_while_stopped(&server, &requests(), |stream| {
        stream.shutdown(Shutdown::Write).expect("the end is sent");
        Some(stream)
    });
    let mut peer = Peer::new(stream.expect("a connection"));
    let mut answers = 0;
    loop {
        let line = peer.line();
        if line.is_empty() {
            break;
        }
        answers += u64::from(line.contains("\"id\":"));
    }
    assert_eq!(answers, REQUESTS);
}
