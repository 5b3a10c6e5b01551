//! The end of connections: which answers are delivered before it, and which input is read after it.

use super::support::{TestServer, request, run_test, run_test_with_peer, wait_until};
use std::io::ErrorKind;
use std::time::Duration as StdDuration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::yield_now;

/// A connection that violates the protocol is shut down, and the input of its peer is read to the end. A reset would
/// discard answers that the peer has not read yet.
#[test]
fn delivers_last_answers_despite_unread_input() {
    run_test_with_peer(async |_server, mut peer| {
        let flood = "x".repeat(60_000);
        peer.send_without_yielding(&(request(2, "quote", 1) + &flood));
        let received = peer.read_to_end().await.expect("an end, no reset");
        assert!(
            received.contains("\"id\":2,\"error\":{\"code\":-32001"),
            "{received}"
        );
        assert!(received.contains("line too long"), "{received}");
    });
}

/// The amount of input that is read after the shutdown of a connection is bounded.
#[test]
fn stops_reading_from_peer_that_never_closes() {
    run_test_with_peer(async |server, mut peer| {
        peer.send(&"x".repeat(30_000)).await;
        let is_open = || server.core.borrow().connection_count() > 0;
        let mut sent = 0;
        while is_open() {
            // The socket stops accepting bytes once its buffers are full.
            match peer.0.get_mut().try_write(&[b'x'; 1_000]) {
                Ok(n) => sent += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
            yield_now().await;
        }
        wait_until(|| !is_open()).await;
        assert!(sent < 4 << 20, "{sent} bytes were taken");
    });
}

/// A request that arrives after its connection was shut down is not run, and the connection is not reset.
#[test]
fn ignores_request_received_after_shutdown() {
    run_test_with_peer(async |server, mut peer| {
        server.core.borrow_mut().close_connections();
        assert_eq!(peer.next_line().await, "");
        peer.send(&request(2, "quote", 1)).await;
        let mut stream = peer.0.into_inner();
        stream.shutdown().await.expect("the shutdown succeeds");
        wait_until(|| server.core.borrow().connection_count() == 0).await;
        assert_eq!(server.core.borrow().in_flight_count(), 0);
        assert_eq!(stream.read(&mut [0]).await.expect("no connection reset"), 0);
    });
}

/// A connection that ends while the core is borrowed is removed once the core is free.
#[test]
#[allow(
    clippy::await_holding_refcell_ref,
    reason = "the task has to end while the core is borrowed"
)]
fn removes_ended_connection_once_core_is_free() {
    run_test(async {
        let server = TestServer::new(8).await;
        let peer = server.connect_checked().await;
        let borrowed_core = server.core.borrow_mut();
        // After a reset the connection's task ends without a call on the core.
        let stream = peer.0.into_inner().into_std().expect("a stream");
        socket2::SockRef::from(&stream)
            .set_linger(Some(StdDuration::ZERO))
            .expect("the option is set");
        drop(stream);
        // The end of the task cannot be observed. During each sleep the runtime polls it at least once.
        for _ in 0..20 {
            tokio::time::sleep(StdDuration::from_millis(1)).await;
        }
        drop(borrowed_core);
        wait_until(|| server.core.borrow().connection_count() == 0).await;
        assert!(server.core.borrow().is_quiescent());
    });
}
