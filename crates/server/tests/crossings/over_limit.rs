//! Connections over the limit: each request on them is answered.

use super::support::{Peer, TestServer, request, run_test, wait_until};
use std::io::Write;
use tokio::io::BufReader;
use tokio::net::TcpStream;

/// Starts a server that may have one connection, and sends the request `line` on it. Returns once the attempt is in
/// flight.
async fn start_at_limit(line: &str) -> (TestServer, Peer) {
    let server = TestServer::new(1).await;
    let mut busy = server.connect_checked().await;
    busy.send(line).await;
    wait_until(|| server.core.borrow().in_flight_count() == 1).await;
    server.run_turn();
    (server, busy)
}

/// When no connection can be evicted, the requests on further connections are rejected instead of being closed unread.
#[test]
fn rejects_requests_on_connections_over_limit() {
    run_test(async {
        let (server, mut busy) = start_at_limit(&request(2, "quote", 1)).await;
        let mut peers = vec![];
        for attempt in 2..20 {
            let mut peer = server.connect().await;
            peer.send_without_yielding(&request(1, "quote", attempt));
            peers.push(peer);
        }
        for mut peer in peers {
            let answer = peer.next_line().await;
            assert!(
                answer.contains("\"id\":1,\"error\":{\"code\":-32002")
                    && answer.contains("cooldown"),
                "{answer}"
            );
            assert_eq!(peer.next_line().await, "");
        }
        wait_until(|| server.core.borrow().connection_count() == 1).await;
        // A further connection without a request is closed soon, and nothing is sent on it.
        let mut silent = server.connect().await;
        wait_until(|| {
            server.run_turn();
            server.core.borrow().connection_count() == 1
                && server.core.borrow().counters().connections_over_limit() == 19
        })
        .await;
        assert_eq!(silent.read_to_end().await.expect("no connection reset"), "");
        server.complete_run(1);
        assert!(busy.next_line().await.contains("\"id\":2,\"result\""));
        assert_eq!(server.core.borrow().counters().runs_started(), 1);
    });
}

/// A retry of a running request with an idempotency key gets its result, also on a connection over the limit.
#[test]
fn answers_retry_over_limit_with_result_of_first_attempt() {
    run_test(async {
        let keyed_request = |id, attempt| {
            let plain = request(id, "book", attempt);
            plain.replace(
                "\"room\"",
                "\"replay\":\"00000000000000000000000000000005\",\"room\"",
            )
        };
        let (server, mut busy) = start_at_limit(&keyed_request(2, 1)).await;
        let mut peer = server.connect().await;
        peer.send(&keyed_request(1, 2)).await;
        wait_until(|| server.core.borrow().in_flight_count() == 2).await;
        server.run_turn();
        server.complete_run(1);
        for (peer, id) in [(&mut busy, 2), (&mut peer, 1)] {
            assert!(
                peer.next_line()
                    .await
                    .contains(&format!("\"id\":{id},\"result\":{{\"bytes\":\"WFla\""))
            );
        }
        assert_eq!(server.core.borrow().counters().runs_started(), 1);
    });
}

/// Connections that the operating system had accepted before the listener closes are served, also over the limit.
#[test]
fn serves_backlog_over_limit_when_listening_ends() {
    run_test(async {
        let (server, _busy) = start_at_limit(&request(2, "quote", 1)).await;
        let mut peers = vec![];
        for attempt in 2..12 {
            let mut stream =
                std::net::TcpStream::connect(server.address).expect("the connection succeeds");
            stream
                .write_all(request(1, "quote", attempt).as_bytes())
                .expect("the write succeeds");
            stream.set_nonblocking(true).expect("the option is set");
            peers.push(Peer(BufReader::new(
                TcpStream::from_std(stream).expect("a stream"),
            )));
        }
        server.stop_listening.notify_one();
        for mut peer in peers {
            assert!(
                peer.next_line()
                    .await
                    .contains("\"id\":1,\"error\":{\"code\":-32002")
            );
            assert_eq!(peer.next_line().await, "");
        }
    });
}
