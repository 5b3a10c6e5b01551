//! Support for the tests of bad clients: the program with simulated peers, a sound client's load, and bad clients that
//! send at full speed.

use crate::common::SETTINGS;
use crate::program::program;
use madderbay_testkit::engine::{Engine, HandlerWork};
use madderbay_testkit::load_balancer::{Answer, Load, RequestKind, RequestRecord};
use madderbay_testkit::peer::loopback_listener;
use madderbay_testkit::registry::Registry;
use madderbay_testkit::server::{Dependencies, Server, configuration};
use madderbay_testkit::unix_ms;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Memory limit of the program in MB, as stated in its configuration.
pub(crate) const MEMORY_LIMIT_MB: u64 = 64;
/// Maximum number of descriptors of the program.
const DESCRIPTORS: usize = 256;
/// Latency objective of `quote` in the settings.
pub(crate) const LATENCY_OBJECTIVE: Duration = Duration::from_secs(2);
/// Requests per second of the sound client.
const SOUND_RATE: f64 = 25.0;
/// Time after which a bad client looks whether it is to stop, while the program reads nothing from it.
const WRITE_TIMEOUT: Duration = Duration::from_millis(50);
/// Number of lines that a bad client writes at once.
const LINES_PER_WRITE: u64 = 100;

/// The program and its peers.
pub(crate) struct TestServer {
    pub program: Server,
    pub engine: Engine,
    _registry: Registry,
}

impl TestServer {
    /// Starts the program, and waits until its engine is up.
    pub(crate) fn start() -> TestServer {
        let works = vec![HandlerWork::new("quote", (2.0, 6.0), false)];
        let engine = Engine::start(4.0, works, 3);
        let registry = Registry::start();
        let catalogue = loopback_listener();
        let dependencies = Dependencies {
            engine: engine.address,
            registry: registry.address,
            catalogue: catalogue.local_addr().expect("a local address"),
        };
        let text = configuration("127.0.0.1:0", dependencies, DESCRIPTORS, 800, SETTINGS);
        let mut program = Server::start(program(), &text, None);
        program.log_at("engine: up");
        TestServer {
            program,
            engine,
            _registry: registry,
        }
    }

    /// Sends the requests of a sound client for a while. Returns their records.
    pub(crate) fn serve_sound_client(&self, length: Duration) -> Vec<RequestRecord> {
        let quote = RequestKind {
            handler: "quote".into(),
            weight: 1.0,
            latency_objective: LATENCY_OBJECTIVE,
            idempotency_key: false,
            tenant: "acme",
        };
        let load = Load {
            kinds: vec![quote],
            rates: vec![(Duration::ZERO, SOUND_RATE)],
            length,
            seed: 5,
            timeout_ms: 8_000,
        };
        let engine = &self.engine;
        let answered = |name: &str| engine.answered(name);
        load.run(self.program.address, answered, |_| {})
    }
}

/// Asserts that each request has one answer, within the latency objective.
pub(crate) fn assert_answered(records: &[RequestRecord], beside: &str) {
    let unanswered = records.iter().filter(|r| r.answers.len() != 1).count();
    assert_eq!(
        unanswered, 0,
        "beside {beside}: requests without one answer"
    );
    let late = records
        .iter()
        .flat_map(|record| record.answers.iter().map(move |a| a.1 - record.sent))
        .filter(|time| *time > LATENCY_OBJECTIVE)
        .count();
    assert_eq!(late, 0, "beside {beside}: late answers");
}

/// Asserts that each request has one answer, all of them a result within the latency objective but for one in ten,
/// which may be rejected.
pub(crate) fn assert_served(records: &[RequestRecord], beside: &str) {
    assert_answered(records, beside);
    let completed = records
        .iter()
        .filter(|r| matches!(r.answers[..], [(Answer::Completed, _)]))
        .count();
    assert!(
        completed * 10 >= records.len() * 9,
        "beside {beside}: {completed} of {} requests completed",
        records.len()
    );
}

/// What a bad client sends, line after line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BadLines {
    EmptyObjects,
    UnknownMethods,
    HealthChecks,
    Withdrawals,
    /// Requests under ever new names and keys, with a body that is no string.
    UnsoundRequests,
    /// Lines of very many short members.
    ManyMembers,
    /// Sound requests under ever new names and keys, more at once than a connection may have open.
    NewRequests,
}

impl BadLines {
    /// All kinds that put no load on the engine.
    pub(crate) const WITHOUT_LOAD: [BadLines; 6] = [
        BadLines::EmptyObjects,
        BadLines::UnknownMethods,
        BadLines::HealthChecks,
        BadLines::Withdrawals,
        BadLines::UnsoundRequests,
        BadLines::ManyMembers,
    ];

    /// Returns the line with this number.
    pub(crate) fn line(self, number: u64) -> String {
        match self {
            BadLines::EmptyObjects => "{}\n".into(),
            BadLines::UnknownMethods => {
                format!("{{\"jsonrpc\":\"2.0\",\"id\":{number},\"method\":\"m{number}\"}}\n")
            }
            BadLines::HealthChecks => {
                format!("{{\"jsonrpc\":\"2.0\",\"id\":{number},\"method\":\"isWell\"}}\n")
            }
            BadLines::Withdrawals => format!(
                "{{\"jsonrpc\":\"2.0\",\"method\":\"forget\",\"params\":{{\"id\":{number}}}}}\n"
            ),
            BadLines::UnsoundRequests => request("book", number, "7"),
            BadLines::NewRequests => request("book", number, "\"QUJD\""),
            BadLines::ManyMembers => format!("{{{}\"b\":2}}\n", "\"a\":1,".repeat(3_000)),
        }
    }
}

/// Returns the line of a request whose id, name, sender and key are this number; `bytes` is its body as JSON.
pub(crate) fn request(handler: &str, number: u64, bytes: &str) -> String {
    let now = unix_ms();
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{number},\"method\":\"{handler}\",\"params\":{{\"ref\":\"{number:016x}\",\
         \"since\":{now},\"sender\":{number},\"project\":\"acme\",\"allow\":8000,\"room\":2.5,\
         \"replay\":\"{number:032x}\",\"bytes\":{bytes}}}}}\n"
    )
}

/// A client that sends at full speed on one connection, on a thread of its own, until it is dropped.
pub(crate) struct BadClient {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl BadClient {
    /// Starts a client. It reads its answers if `reads` is set.
    pub(crate) fn start(server: SocketAddr, lines: BadLines, reads: bool) -> BadClient {
        let stop = Arc::new(AtomicBool::new(false));
        let is_stopped = stop.clone();
        let thread = std::thread::spawn(move || {
            let mut number = 0;
            // A bad client whose connection the program has closed connects again.
            while !is_stopped.load(Ordering::Relaxed) {
                if let Ok(stream) = TcpStream::connect(server) {
                    number = send_at_full_speed(stream, lines, reads, &is_stopped, number);
                }
            }
        });
        BadClient {
            stop,
            thread: Some(thread),
        }
    }
}

impl Drop for BadClient {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let thread = self.thread.take().expect("dropped once");
        assert!(thread.join().is_ok(), "a bad client panicked");
    }
}

/// Starts clients of all kinds that put no load on the engine, one after the other until there are `count`.
pub(crate) fn start_bad_clients(server: &TestServer, count: usize, read: bool) -> Vec<BadClient> {
    let kinds = BadLines::WITHOUT_LOAD.into_iter().cycle().take(count);
    let start = |lines| BadClient::start(server.program.address, lines, read);
    kinds.map(start).collect()
}

/// Sends lines with numbers above `number` until the connection ends or the client is stopped. Returns the last number.
fn send_at_full_speed(
    mut stream: TcpStream,
    lines: BadLines,
    reads: bool,
    stop: &AtomicBool,
    mut number: u64,
) -> u64 {
    stream
        .set_write_timeout(Some(WRITE_TIMEOUT))
        .expect("the option is set");
    if reads {
        let mut input = stream.try_clone().expect("a second handle");
        std::thread::spawn(move || {
            let mut buffer = [0; 1 << 16];
            while input.read(&mut buffer).is_ok_and(|n| n > 0) {}
        });
    }
    while !stop.load(Ordering::Relaxed) {
        let first = number + 1;
        number += LINES_PER_WRITE;
        let text: String = (first..=number).map(|n| lines.line(n)).collect();
        if !write_all(&mut stream, text.as_bytes(), stop) {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
    number
}

/// Writes all bytes. Returns false if the connection has ended or the client is stopped.
fn write_all(stream: &mut TcpStream, mut bytes: &[u8], stop: &AtomicBool) -> bool {
    while !bytes.is_empty() && !stop.load(Ordering::Relaxed) {
        match stream.write(bytes) {
            Ok(n) => bytes = &bytes[n..],
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return false,
        }
    }
    bytes.is_empty()
}
