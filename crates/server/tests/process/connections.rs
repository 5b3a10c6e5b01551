//! The limit on descriptors, peers that do not read, and idle clients.

use crate::support::{
    GAUGE_REPLY, HEALTH_CHECK, HELLO_OF_RUNNING_ENGINE, INITIAL_ATTACH, TestServer,
    assert_counters, completion_notice, connect_to, dependencies, request, start_program,
    unreachable_address, write_configuration,
};
use madderbay_testkit::peer::{Peer, loopback_listener};
use madderbay_testkit::server::{Dependencies, Server as Program};
use madderbay_testkit::{WAIT_TIMEOUT, registry};
use std::io::{BufRead, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Interval at which the engine link is read: far below the 200 ticks, 2 s, after which a silent engine is considered
/// lost.
const ANSWER_INTERVAL: Duration = Duration::from_millis(10);

/// An engine that answers each query of its gauges and completes no run, on a thread of its own.
struct AnsweringEngine {
    /// Ends the thread when it is dropped.
    stop: Sender<()>,
    thread: JoinHandle<Peer>,
}

impl AnsweringEngine {
    fn start(mut link: Peer) -> AnsweringEngine {
        let (stop, stopped) = channel();
        let answer = move || {
            while stopped.recv_timeout(ANSWER_INTERVAL) == Err(RecvTimeoutError::Timeout) {
                link.pending();
            }
            link
        };
        AnsweringEngine {
            stop,
            thread: std::thread::spawn(answer),
        }
    }

    /// Stops answering, and returns the link, which is still open.
    fn stop(self) -> Peer {
        drop(self.stop);
        self.thread
            .join()
            .expect("the engine thread does not panic")
    }
}

/// Idle connections are evicted in favour of new ones. When all connections have an open request, a new one is closed
/// unread.
#[test]
fn connections_stay_within_descriptor_limit() {
    let mut server = TestServer::start(30);
    let mut link = server.accept_engine_link(INITIAL_ATTACH);
    // The query of the gauges shows that the greeting was read.
    assert!(link.line().contains("STAT"));
    link.say(GAUGE_REPLY);
    // If the engine were lost, the waiting requests would be rejected and their connections would become idle.
    let engine = AnsweringEngine::start(link);
    let check_health = |peer: &mut Peer| {
        peer.say(HEALTH_CHECK);
        assert!(peer.line().contains("\"fit\":true"));
    };
    // Opens eleven connections, as many as the limit allows.
    let connect_with_request = |n| {
        let mut peer = server.connect();
        check_health(&mut peer);
        if n > 0 {
            peer.say(&request(n, "quote", n, ""));
            check_health(&mut peer);
        }
        peer
    };
    let idle: Vec<Peer> = (0..11).map(|_| connect_with_request(0)).collect();
    let busy: Vec<Peer> = (1..12).map(connect_with_request).collect();
    for mut peer in idle {
        while !peer.line().is_empty() {}
    }
    let mut refused = server.connect();
    let _ = refused.0.get_mut().write_all(b"x");
    assert!(
        matches!(refused.0.read(&mut [0]), Ok(0) | Err(_)),
        "a connection over the limit is still open"
    );
    server.signal("-USR1");
    // The peers stay connected until the counters are logged.
    for counter in ["connections.open 11", "connections.refused 1"] {
        let name = counter.split(' ').next().expect("a name");
        assert_eq!(
            server.log_at(&format!("counter {name} ")),
            format!("counter {counter}\n")
        );
    }
    server.signal("-TERM");
    drop((busy, engine.stop()));
    assert_counters(&server.ended(), &["connections.refused 1"]);
}

/// The program stops reading from a peer that does not read its answers, and serves the others.
#[test]
fn stops_reading_from_peer_that_does_not_read() {
    let server = TestServer::start(128);
    let mut unread = server.connect();
    let stream = unread.0.get_mut();
    stream
        .set_write_timeout(Some(Duration::from_millis(300)))
        .unwrap();
    let line = HEALTH_CHECK.repeat(1000);
    let mut accepted_bytes = 0;
    while stream.write_all(line.as_bytes()).is_ok() {
        accepted_bytes += line.len();
        assert!(
            accepted_bytes < 64 << 20,
            "the input of a peer that reads nothing is read without a bound"
        );
    }
    let mut other = server.connect();
    other.say(HEALTH_CHECK);
    assert!(other.line().contains("\"fit\":true"));
}

/// Sends a request on new connections until one is run. It is rejected while the idle connections are new, but never
/// closed unread. Returns the connection and the attempt that is run.
fn connect_until_admitted(program: &Program, engine: &mut Peer) -> (Peer, u32) {
    let began = Instant::now();
    for attempt in 2.. {
        assert!(began.elapsed() < WAIT_TIMEOUT, "no request is admitted");
        let mut peer = connect_to(program);
        peer.say(&request(1, "quote", attempt, ""));
        match rejection_line(&mut peer, attempt, engine) {
            None => return (peer, attempt),
            Some(line) => assert!(
                line.contains("-32002"),
                "closed without a rejection: {line}"
            ),
        }
    }
    unreachable!("the loop ends within its timeout")
}

/// Returns the line that answers an attempt, or `None` once the engine has been sent the command to run it.
fn rejection_line(peer: &mut Peer, attempt: u32, engine: &mut Peer) -> Option<String> {
    let name = format!("{attempt:016x}");
    peer.0
        .get_ref()
        .set_nonblocking(true)
        .expect("the option is set");
    let answer = loop {
        let mut line = String::new();
        match peer.0.read_line(&mut line) {
            Ok(_) => break Some(line),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => panic!("connection closed without an answer: {e}"),
        }
        if engine.pending().contains(&name) {
            break None;
        }
    };
    peer.0
        .get_ref()
        .set_nonblocking(false)
        .expect("the option is set");
    answer
}

/// While idle clients take all available descriptors and the registry is down, a load balancer is still served. The
/// reports resume once the registry is reachable again.
#[test]
fn idle_clients_do_not_lock_out_load_balancer() {
    let (engine, catalogue) = (loopback_listener(), loopback_listener());
    let dependencies = dependencies(&engine, unreachable_address(), &catalogue);
    let program = start_program(dependencies, 30);
    let mut link = Peer::accept(&engine);
    assert_eq!(link.line(), INITIAL_ATTACH);
    link.say(HELLO_OF_RUNNING_ENGINE);
    assert!(link.line().contains("STAT"));
    link.say(GAUGE_REPLY);
    let connect = || TcpStream::connect(program.address).expect("the connection succeeds");
    let mut first = Peer::new(connect());
    first.say(&request(1, "quote", 1, ""));
    assert!(link.command().contains("\"RUN\""));
    let idle: Vec<TcpStream> = (0..40).map(|_| connect()).collect();
    let (mut admitted, attempt) = connect_until_admitted(&program, &mut link);
    link.say(&completion_notice(1, 1, "AA=="));
    link.say(&completion_notice(2, attempt, "AA=="));
    assert!(first.line().contains("\"id\":1,\"result\""));
    assert!(admitted.line().contains("\"id\":1,\"result\""));
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", program.pid()))
        .expect("its descriptors")
        .count();
    assert!(descriptors <= 30, "{descriptors} descriptors");
    // The registry is reachable again, at another address.
    let (registry, reports) = registry::start();
    let moved = Dependencies {
        registry,
        ..dependencies
    };
    write_configuration(&program, moved, 30);
    program.signal("-HUP");
    assert!(
        reports
            .recv_timeout(WAIT_TIMEOUT)
            .expect("a report")
            .contains("ready")
    );
    drop(idle);
}
