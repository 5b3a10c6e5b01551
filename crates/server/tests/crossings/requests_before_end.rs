//! Requests that were received before the end of their connection are answered on it.

use super::support::{TestServer, request, run_test_with_peer, wait_until};
use madderbay::time::{Duration, Timestamp};

/// Sets the limit on idling to 200 ms and checks all connections once. Those that were idle for longer are notified
/// before they are closed. Returns the time of the next check.
fn check_idle_connections(server: &TestServer, now: Timestamp) -> Option<Timestamp> {
    let mut core = server.core.borrow_mut();
    let connections = core.connections_mut();
    let _ = connections
        .set_idle_limit(Duration::from_millis(200))
        .count();
    connections.idle_deadline_reached(now, 1)
}

/// A request that arrived before its connection was evicted is answered there.
#[test]
fn answers_request_received_before_eviction() {
    run_test_with_peer(async |server, mut peer| {
        peer.send_without_yielding(&request(2, "quote", 1));
        assert!(
            server
                .core
                .borrow_mut()
                .evict_connection(server.clock.now())
        );
        server.serve_one_request().await;
        assert!(peer.next_line().await.contains("\"id\":2,\"result\""));
        assert_eq!(peer.next_line().await, "", "the connection is still open");
    });
}

/// A request that arrived before its idle connection was closed, one second after the notice, is answered there.
#[test]
fn answers_request_received_before_idle_close() {
    run_test_with_peer(async |server, mut peer| {
        let check_at = server.clock.now() + Duration::from_millis(300);
        let close_at =
            check_idle_connections(&server, check_at).expect("a time for the next check");
        assert!(peer.next_line().await.contains("leaving"));
        peer.send_without_yielding(&request(2, "quote", 1));
        assert_eq!(
            server
                .core
                .borrow_mut()
                .connections_mut()
                .idle_deadline_reached(close_at, 1),
            None,
            "the connection is still open"
        );
        server.serve_last_request(&mut peer).await;
    });
}

/// A request that arrived before all connections were closed at the end of a drain is answered there.
#[test]
fn answers_request_received_before_end_of_drain() {
    run_test_with_peer(async |server, mut peer| {
        server.begin_drain();
        assert!(peer.next_line().await.contains("leaving"));
        assert!(server.core.borrow().is_quiescent());
        peer.send_without_yielding(&request(2, "quote", 1));
        server.core.borrow_mut().close_connections();
        server.serve_last_request(&mut peer).await;
    });
}

/// A line that was begun before a drain and is completed within its grace period is served like any other request.
#[test]
fn reads_rest_of_line_begun_before_drain() {
    run_test_with_peer(async |server, mut peer| {
        let line = request(2, "quote", 1);
        let (first_half, rest) = line.split_at(40);
        peer.send_behind_health_check(first_half).await;
        server.begin_drain();
        peer.send_without_yielding(rest);
        server.serve_one_request().await;
        assert!(peer.next_line().await.contains("leaving"));
        assert!(peer.next_line().await.contains("\"id\":2,\"result\""));
    });
}

/// An incomplete line protects its connection from eviction and from the limit on idling, for a bounded time.
#[test]
fn waits_for_rest_of_incomplete_line() {
    run_test_with_peer(async |server, mut peer| {
        let line = request(2, "quote", 1);
        let (first_half, rest) = line.split_at(40);
        peer.send_behind_health_check(first_half).await;
        // The connection is checked once: a second check would close a connection that the first one had notified.
        let check_at = server.clock.now() + Duration::from_millis(300);
        let next_check = check_idle_connections(&server, check_at);
        assert!(
            next_check.is_some_and(|next| next != check_at + Duration::from_millis(1_000)),
            "neither closed nor notified: {next_check:?}"
        );
        let is_protected = |now: Timestamp| !server.core.borrow_mut().evict_connection(now);
        wait_until(|| server.core.borrow().is_quiescent()).await;
        assert!(is_protected(server.clock.now()));
        peer.send(rest).await;
        server.serve_one_request().await;
        let answer = peer.next_line().await;
        assert!(answer.contains("\"id\":2,\"result\""), "{answer}");
        // An incomplete line protects its connection for a bounded time only.
        peer.send_behind_health_check(first_half).await;
        wait_until(|| server.core.borrow().is_quiescent()).await;
        assert!(is_protected(server.clock.now()));
        wait_until(|| !is_protected(server.clock.now() + Duration::from_millis(60_000))).await;
    });
}
