//! Support for the tests of connections: a core behind a listener, connections of load balancers, and request lines.

use crate::common::SETTINGS;
use madderbay::interface::Outcome;
use madderbay::time::Duration;
use madderbay_server::core::event_loop::{EventLoop, SharedEventLoop};
use madderbay_server::downstream::listener;
use madderbay_server::support::clock::Clock;
use madderbay_server::support::io::Outbox;
use madderbay_server::upstream::engine::{EngineObserver as _, EngineStart};
use madderbay_testkit::{WAIT_TIMEOUT, unix_ms};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration as StdDuration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

/// Line of a health check with the id 1.
const HEALTH_CHECK: &str = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n";

/// Runs a test on a single-threaded runtime, with [`WAIT_TIMEOUT`] as its timeout.
pub(crate) fn run_test(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        timeout(WAIT_TIMEOUT, test)
            .await
            .expect("the test ends in time");
    });
}

/// Runs a test with a server that allows eight connections, and with one connection to it.
pub(crate) fn run_test_with_peer(test: impl AsyncFnOnce(TestServer, Peer)) {
    run_test(async {
        let server = TestServer::new(8).await;
        let peer = server.connect_checked().await;
        test(server, peer).await;
    });
}

/// A server's core behind a listener, with an engine that is up and completes no run by itself.
pub(crate) struct TestServer {
    pub core: SharedEventLoop,
    pub clock: Rc<Clock>,
    pub address: SocketAddr,
    /// Commands to the engine that were not read yet.
    pub engine: Outbox,
    /// Closes the listener when it is notified.
    pub stop_listening: Rc<Notify>,
}

impl TestServer {
    /// Starts a server that allows this many connections.
    pub(crate) async fn new(max_connections: usize) -> TestServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a local address");
        let settings = madderbay_settings::read(SETTINGS.as_bytes()).expect("valid settings");
        let clock = Rc::new(Clock::default());
        let mut core = EventLoop::new(clock.now(), 7, settings, 1_000);
        let engine = Outbox::default();
        core.link().attach(engine.clone(), 0);
        let start = EngineStart::new("old", Duration::from_millis(3_600_000));
        core.engine_up(clock.now(), start);
        core.gauges_read(clock.now(), &[0.1, 1.0, 0.1, 1.0], false);
        let core = Rc::new(RefCell::new(core));
        let stop_listening = Rc::new(Notify::new());
        spawn_local(listener::run(
            listener,
            max_connections,
            clock.clone(),
            core.clone(),
            stop_listening.clone(),
        ));
        TestServer {
            core,
            clock,
            address,
            engine,
            stop_listening,
        }
    }

    /// Lets the core process the events that have arrived.
    pub(crate) fn run_turn(&self) {
        self.core.borrow_mut().run_turn(self.clock.now());
    }

    /// Begins a drain with a grace period of three seconds.
    pub(crate) fn begin_drain(&self) {
        let grace = Duration::from_millis(3_000);
        self.core.borrow_mut().drain(self.clock.now(), grace);
    }

    /// Reports on behalf of the engine that the run of an attempt has completed.
    pub(crate) fn complete_run(&self, attempt: u64) {
        self.core.borrow_mut().run_ended(
            self.clock.now(),
            &attempt_name(attempt),
            Outcome::Completed,
            Duration::from_millis(9),
            "\"WFla\"",
        );
    }

    /// Waits for the attempt 1, and starts and completes its run.
    pub(crate) async fn serve_one_request(&self) {
        wait_until(|| self.core.borrow().in_flight_count() == 1).await;
        self.run_turn();
        self.complete_run(1);
    }

    /// Serves the request 2, and asserts that its answer is the last line on its connection.
    pub(crate) async fn serve_last_request(&self, peer: &mut Peer) {
        self.serve_one_request().await;
        assert!(peer.next_line().await.contains("\"id\":2,\"result\""));
        assert_eq!(peer.next_line().await, "");
    }

    /// Opens a connection.
    pub(crate) async fn connect(&self) -> Peer {
        Peer(BufReader::new(
            TcpStream::connect(self.address)
                .await
                .expect("the connection succeeds"),
        ))
    }

    /// Opens a connection on which a health check was answered.
    pub(crate) async fn connect_checked(&self) -> Peer {
        let mut peer = self.connect().await;
        peer.send(HEALTH_CHECK).await;
        assert!(peer.next_line().await.contains("\"fit\":true"));
        peer
    }
}

/// A load balancer's side of a connection.
pub(crate) struct Peer(pub BufReader<TcpStream>);

impl Peer {
    /// Sends text.
    pub(crate) async fn send(&mut self, text: &str) {
        self.0
            .get_mut()
            .write_all(text.as_bytes())
            .await
            .expect("the write succeeds");
    }

    /// Sends text without yielding to the runtime, so that no task of the server has run when the text has arrived.
    pub(crate) fn send_without_yielding(&mut self, text: &str) {
        assert_eq!(
            self.0
                .get_mut()
                .try_write(text.as_bytes())
                .expect("the write succeeds"),
            text.len()
        );
    }

    /// Sends a health check and an incomplete line in one write. The answer to the health check shows that both were
    /// read.
    pub(crate) async fn send_behind_health_check(&mut self, begun_line: &str) {
        self.send_without_yielding(&format!("{HEALTH_CHECK}{begun_line}"));
        assert!(self.next_line().await.contains("\"fit\":true"));
    }

    /// Returns the next line; empty at the end of the stream. Panics on a reset.
    pub(crate) async fn next_line(&mut self) -> String {
        let mut line = String::new();
        self.0
            .read_line(&mut line)
            .await
            .expect("no connection reset");
        line.trim_end().to_string()
    }

    /// Reads all bytes until the end of the stream.
    pub(crate) async fn read_to_end(&mut self) -> std::io::Result<String> {
        let mut text = String::new();
        self.0.read_to_string(&mut text).await.map(|_| text)
    }
}

/// Returns the line of a request with a short body.
pub(crate) fn request(id: u64, method: &str, attempt: u64) -> String {
    request_with_body(id, method, attempt, "\"QUJD\"")
}

/// Returns the line of a request; `bytes` is its body, a JSON string with its quotes.
pub(crate) fn request_with_body(id: u64, method: &str, attempt: u64, bytes: &str) -> String {
    let now = unix_ms();
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{method}\",\"params\":{{\"ref\":\"{attempt:016x}\",\
         \"since\":{now},\"sender\":4,\"project\":\"acme\",\"allow\":8000,\"room\":2.5,\"bytes\":{bytes}}}}}\n"
    )
}

/// Waits until a condition is met.
pub(crate) async fn wait_until(mut is_met: impl FnMut() -> bool) {
    while !is_met() {
        tokio::time::sleep(StdDuration::from_millis(1)).await;
    }
}

/// Returns the name of an attempt in the protocols of the load balancers, the engine and the upstream.
pub(crate) fn attempt_name(attempt: u64) -> [u8; 16] {
    format!("{attempt:016x}")
        .into_bytes()
        .try_into()
        .expect("16 digits")
}
