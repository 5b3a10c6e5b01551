//! SIGTERM: the program answers all open requests and ends before it is killed.

use crate::support::{
    HEALTH_CHECK, HELLO_OF_NEW_ENGINE, INITIAL_ATTACH, LEAVING_NOTICE, PeerListeners, STOP_MS,
    TestServer, connect_to, request, start_program, start_program_stopped_after,
    unreachable_dependencies,
};
use madderbay_testkit::peer::Peer;
use std::time::Duration;

/// Time after SIGTERM in which requests may be accepted, as stated in the settings.
const GRACE: Duration = Duration::from_millis(2_000);

/// A request whose run does not end is answered before the process ends, and the process ends before it would be
/// killed.
#[test]
fn drain_answers_request_whose_run_does_not_end() {
    let server = TestServer::start(128);
    let mut engine = server.accept_engine_link(INITIAL_ATTACH);
    let mut a = server.connect();
    a.say(&request(1, "book", 1, "5"));
    assert!(engine.command().contains("\"RUN\""));
    server.signal("-TERM");
    assert!(a.line().contains("leaving"));
    assert!(a.line().contains("\"id\":1,\"error\":{\"code\":-32001"));
    assert_eq!(a.line(), "");
    assert!(server.ended().contains("counter open 0\n"));
}

/// The program drains although SIGTERM arrives twice, before the engine is up and while the registry's response is
/// incomplete.
#[test]
fn drain_ends_while_engine_is_not_up() {
    let peers = PeerListeners::bind();
    let program = start_program(peers.addresses(), 128);
    let mut link = Peer::accept(&peers.engine);
    assert_eq!(link.line(), INITIAL_ATTACH);
    let mut peer = Peer::accept(&peers.registry);
    assert!(peer.line().starts_with("PUT "));
    peer.say("HTTP/1.1 2");
    let mut a = connect_to(&program);
    a.say(HEALTH_CHECK);
    assert!(a.line().contains("\"fit\":true"));
    program.signal("-TERM");
    assert_eq!(a.line(), LEAVING_NOTICE);
    program.signal("-TERM");
    // Even though the engine comes up now, the program admits no request.
    link.say(HELLO_OF_NEW_ENGINE);
    a.say("{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"isWell\"}\n");
    assert!(a.line().contains("\"fit\":false"));
    a.say(&request(3, "quote", 1, ""));
    assert!(a.line().contains("\"id\":3,\"error\":{\"code\":-32002"));
    assert_eq!(a.line(), "");
    assert!(program.ended().contains("counter runs.started 0\n"));
}

/// If the kill is due before the grace period of the drain is over, the listener closes early enough to answer all
/// requests on accepted connections.
#[test]
fn stops_listening_before_kill_timeout() {
    let mut program = start_program(unreachable_dependencies(), 128);
    // One connection stays open, so that the process runs on after its listener has closed.
    let mut a = connect_to(&program);
    a.say(HEALTH_CHECK);
    assert!(a.line().contains("\"fit\":true"));
    program.signal("-TERM");
    program.log_at("listener: closed");
    assert_eq!(a.line(), LEAVING_NOTICE);
    a.say(&request(2, "quote", 1, ""));
    assert!(a.line().contains("\"id\":2,\"error\":{\"code\":-32002"));
}

/// Guards against a drain that ends with open requests because the process was stopped until no time seemed left.
#[test]
fn drain_answers_open_requests_after_a_pause_until_its_time_limit() {
    let server = TestServer::start(128);
    let mut engine = server.accept_engine_link(INITIAL_ATTACH);
    let mut clients: Vec<Peer> = (1..=3).map(|_| server.connect()).collect();
    for (attempt, client) in (1..).zip(&mut clients) {
        client.say(&request(attempt, "search", attempt, ""));
        assert!(engine.command().contains("\"RUN\""));
    }
    server.signal("-TERM");
    for client in &mut clients {
        assert_eq!(client.line(), LEAVING_NOTICE);
    }
    server.signal("-STOP");
    std::thread::sleep(Duration::from_millis(STOP_MS));
    server.signal("-CONT");
    for (attempt, client) in (1..).zip(&mut clients) {
        let answer = client.line();
        assert!(
            answer.contains(&format!("\"id\":{attempt},\"error\"")),
            "{answer}"
        );
        assert_eq!(client.line(), "");
    }
    let log = server.ended();
    assert!(log.contains("server: drained"), "{log}");
    assert!(log.contains("counter open 0\n"), "{log}");
}

/// Guards against a drain that ends when no connection is open, before it has accepted those that arrived while the
/// process was stopped at the end of the grace period.
#[test]
fn drain_answers_request_that_arrived_during_a_pause_at_the_end_of_grace() {
    let stop_ms = 10_000;
    let mut program = start_program_stopped_after(stop_ms, unreachable_dependencies(), 128);
    program.signal("-TERM");
    program.log_at("server: draining");
    program.signal("-STOP");
    let mut clients: Vec<Peer> = (1..=3).map(|_| connect_to(&program)).collect();
    for client in &mut clients {
        client.say(&request(1, "quote", 1, ""));
    }
    std::thread::sleep(GRACE);
    program.signal("-CONT");
    for client in &mut clients {
        assert_eq!(client.line(), LEAVING_NOTICE);
        let answer = client.line();
        assert!(
            answer.contains("\"id\":1,\"error\":{\"code\":-32002"),
            "{answer}"
        );
    }
    drop(clients);
    assert!(program.ended().contains("counter open 0\n"));
}
