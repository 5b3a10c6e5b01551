//! Resources that requests, calls and connections use: memory, descriptors and latency.

use super::support::{
    TestServer, attempt_name, request, request_with_body, run_test, run_test_with_peer, wait_until,
};
use madderbay_server::support::io::{BytesOnly, Outbox, drive, drive_peer};
use madderbay_server::upstream::calls;
use madderbay_server::upstream::engine::EngineObserver as _;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// The longest body, with every character escaped, is forwarded unchanged.
#[test]
fn forwards_fully_escaped_body_unchanged() {
    run_test_with_peer(async |server, mut peer| {
        let bytes = format!("\"{}\"", "\\u0041".repeat(2_732));
        peer.send(&request_with_body(2, "quote", 1, &bytes)).await;
        wait_until(|| server.core.borrow().in_flight_count() == 1).await;
        server.run_turn();
        let sent = String::from_utf8(server.engine.take()).expect("valid UTF-8");
        assert!(
            sent.contains(&format!("\"blob\":{bytes}")),
            "the body was changed"
        );
        server.complete_run(1);
        assert!(peer.next_line().await.contains("\"id\":2,\"result\""));
    });
}

/// A call over the limit on descriptors is not made, and is counted as one that never reached the upstream, so that it
/// is known not to have run.
#[test]
fn calls_leave_descriptors_for_connections() {
    run_test(async {
        let server = TestServer::new(8).await;
        let catalogue = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let (_sender, address) =
            watch::channel(Some(catalogue.local_addr().expect("a local address")));
        server.core.borrow_mut().limit_descriptors(2);
        spawn_local(calls::run(
            address,
            server.clock.clone(),
            server.core.clone(),
        ));
        let mut peer = server.connect_checked().await;
        for attempt in [1, 2] {
            peer.send(&request(attempt, "search", attempt)).await;
        }
        wait_until(|| server.core.borrow().in_flight_count() == 2).await;
        server.run_turn();
        let now = server.clock.now();
        let names = [1, 2].map(attempt_name);
        for (serial, name) in names.iter().enumerate() {
            server
                .core
                .borrow_mut()
                .call_needed(now, name, serial as u64 + 1, "YWJj");
        }
        server.run_turn();
        let (stream, _) = catalogue.accept().await.expect("one call");
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        reader.read_line(&mut line).await.expect("a call");
        assert!(line.starts_with("FETCH "), "{line}");
        wait_until(|| {
            server
                .core
                .borrow()
                .counter_lines()
                .contains("counter calls.unreached 1\n")
        })
        .await;
        assert_eq!(server.core.borrow().calls().calls_in_flight(), 1);
    });
}

/// A connection that waits for input holds no buffer, so it takes little memory.
#[test]
fn waiting_connection_holds_no_buffer() {
    run_test(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let stream = TcpStream::connect(listener.local_addr().expect("a local address"))
            .await
            .expect("the connection succeeds");
        let out = Outbox::default();
        let waiting = drive_peer(&stream, &out, BytesOnly(|_: &[u8]| true));
        let bytes = std::mem::size_of_val(&waiting);
        assert!(bytes < 2_000, "{bytes} bytes a connection");
    });
}

/// Small writes are not delayed: `TCP_NODELAY` is set before the first write on a socket.
#[test]
fn sets_nodelay_before_first_write() {
    run_test(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let made = TcpStream::connect(listener.local_addr().expect("a local address"))
            .await
            .expect("the connection succeeds");
        let (accepted, _) = listener.accept().await.expect("the connection is accepted");
        for stream in [made, accepted] {
            assert!(!stream.nodelay().expect("the option"));
            let out = Outbox::default();
            out.put(|b| b.push(b'x'));
            out.close();
            drive(&stream, &out, |_| true)
                .await
                .expect("the write succeeds");
            assert!(stream.nodelay().expect("the option"));
        }
    });
}
