//! Support for the tests of the program: the program with simulated peers, and the lines that it exchanges with them.

use crate::common::SETTINGS;
use crate::program::program;
use madderbay_testkit::peer::{Peer, loopback_listener};
use madderbay_testkit::server::{Dependencies, Server as Program, configuration};
use madderbay_testkit::{registry, unix_ms};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::{Deref, DerefMut};
use std::sync::mpsc::Receiver;

/// Time from SIGTERM to SIGKILL in milliseconds, as stated in the configuration.
pub(crate) const STOP_MS: u64 = 800;
/// First line on an engine link from a program that has not read any notice yet.
pub(crate) const INITIAL_ATTACH: &str = "{\"msg\":\"ATTACH\",\"serial\":0}";
/// Greeting of an engine that has been running for an hour.
pub(crate) const HELLO_OF_RUNNING_ENGINE: &str =
    "{\"msg\":\"HELLO\",\"how\":\"old\",\"duration\":3600000}\n";
/// Greeting of an engine that has just started.
pub(crate) const HELLO_OF_NEW_ENGINE: &str =
    "{\"msg\":\"HELLO\",\"how\":\"new\",\"duration\":10}\n";
/// The engine's answer to the first query of the gauges.
pub(crate) const GAUGE_REPLY: &str =
    "{\"msg\":\"STATS\",\"cookie\":\"1\",\"stats\":[0.1,1,0.1,1]}\n";
/// A load balancer's health check.
pub(crate) const HEALTH_CHECK: &str = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n";
/// Notice that is sent on every connection when the program drains.
pub(crate) const LEAVING_NOTICE: &str = "{\"jsonrpc\":\"2.0\",\"method\":\"leaving\"}";

/// The program, with an engine and a catalogue that are played by the test.
pub(crate) struct TestServer {
    program: Program,
    engine: TcpListener,
    pub catalogue: TcpListener,
    pub reports: Receiver<String>,
}

impl Deref for TestServer {
    type Target = Program;
    fn deref(&self) -> &Program {
        &self.program
    }
}

impl DerefMut for TestServer {
    fn deref_mut(&mut self) -> &mut Program {
        &mut self.program
    }
}

impl TestServer {
    /// Starts the program with a limit on descriptors and without an operator file.
    pub(crate) fn start(descriptors: usize) -> TestServer {
        TestServer::start_program(descriptors, None)
    }

    /// Starts the program with a limit on descriptors and an operator file.
    pub(crate) fn start_with_operator_file(descriptors: usize, operator: &str) -> TestServer {
        TestServer::start_program(descriptors, Some(operator))
    }

    fn start_program(descriptors: usize, operator: Option<&str>) -> TestServer {
        let (engine, catalogue) = (loopback_listener(), loopback_listener());
        let (registry, reports) = registry::start();
        let settings = SETTINGS.replace("\"drain_grace_us\": 2000000", "\"drain_grace_us\": 50000");
        let dependencies = dependencies(&engine, registry, &catalogue);
        let text = configuration("127.0.0.1:0", dependencies, descriptors, STOP_MS, &settings);
        TestServer {
            program: Program::start(program(), &text, operator),
            engine,
            catalogue,
            reports,
        }
    }

    /// Accepts the engine link, asserts that its first line is `attach`, and sends the greeting of a running engine.
    pub(crate) fn accept_engine_link(&self, attach: &str) -> Peer {
        let mut engine = Peer::accept(&self.engine);
        assert_eq!(engine.line(), attach);
        engine.say(HELLO_OF_RUNNING_ENGINE);
        engine
    }

    /// Opens a connection of a load balancer.
    pub(crate) fn connect(&self) -> Peer {
        connect_to(&self.program)
    }

    /// Waits until the program has ended by itself, and returns the rest of its log.
    pub(crate) fn ended(self) -> String {
        self.program.ended()
    }
}

/// Opens a connection of a load balancer to a program that was started without a [`TestServer`].
pub(crate) fn connect_to(program: &Program) -> Peer {
    Peer::new(TcpStream::connect(program.address).expect("the connection succeeds"))
}

/// Returns the addresses of the program's peers.
pub(crate) fn dependencies(
    engine: &TcpListener,
    registry: SocketAddr,
    catalogue: &TcpListener,
) -> Dependencies {
    let address = |l: &TcpListener| l.local_addr().expect("a local address");
    Dependencies {
        engine: address(engine),
        registry,
        catalogue: address(catalogue),
    }
}

/// Listeners of an engine, a catalogue and a registry that are played by the test.
pub(crate) struct PeerListeners {
    pub engine: TcpListener,
    pub registry: TcpListener,
    catalogue: TcpListener,
}

impl PeerListeners {
    /// Binds the listeners to free ports.
    pub(crate) fn bind() -> PeerListeners {
        PeerListeners {
            engine: loopback_listener(),
            registry: loopback_listener(),
            catalogue: loopback_listener(),
        }
    }

    /// Returns the addresses of the listeners.
    pub(crate) fn addresses(&self) -> Dependencies {
        let registry = self.registry.local_addr().expect("a local address");
        dependencies(&self.engine, registry, &self.catalogue)
    }
}

/// Returns an address at which nothing listens: the ports that the tests use are never so low.
pub(crate) fn unreachable_address() -> SocketAddr {
    ([127, 77, 0, 1], 1).into()
}

/// Returns the addresses of peers that cannot be reached.
pub(crate) fn unreachable_dependencies() -> Dependencies {
    dependencies_at(unreachable_address())
}

/// Returns one address for all peers.
pub(crate) fn dependencies_at(address: SocketAddr) -> Dependencies {
    Dependencies {
        engine: address,
        registry: address,
        catalogue: address,
    }
}

/// Starts the program with these peers and a limit on descriptors.
pub(crate) fn start_program(dependencies: Dependencies, descriptors: usize) -> Program {
    start_program_stopped_after(STOP_MS, dependencies, descriptors)
}

/// Starts the program with a time from SIGTERM to SIGKILL in milliseconds, these peers and a limit on descriptors.
pub(crate) fn start_program_stopped_after(
    stop_ms: u64,
    dependencies: Dependencies,
    descriptors: usize,
) -> Program {
    let text = configuration("127.0.0.1:0", dependencies, descriptors, stop_ms, SETTINGS);
    Program::start(program(), &text, None)
}

/// Replaces the configuration file of a program by one with these peers and this limit on descriptors.
pub(crate) fn write_configuration(
    program: &Program,
    dependencies: Dependencies,
    descriptors: usize,
) {
    let text = configuration("127.0.0.1:0", dependencies, descriptors, STOP_MS, SETTINGS);
    std::fs::write(&program.path, text).expect("the write succeeds");
}

/// Returns the line of a request; `key` is its idempotency key, if it is not empty.
pub(crate) fn request(id: u32, method: &str, attempt: u32, key: &str) -> String {
    let now = unix_ms();
    let key = if key.is_empty() {
        String::new()
    } else {
        format!("\"replay\":\"{key:0>32}\",")
    };
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{method}\",\"params\":{{\"ref\":\"{attempt:016x}\",\
         \"since\":{now},\"sender\":4,\"project\":\"acme\",\"allow\":8000,{key}\"room\":24.5,\
         \"bytes\":\"QUJD\"}}}}\n"
    )
}

/// Returns the engine's notice that a run has completed with a result.
pub(crate) fn completion_notice(serial: u32, attempt: u32, blob: &str) -> String {
    let about = format!("\"serial\":{serial},\"call\":\"{attempt:016x}\",\"how\":\"good\"");
    format!("{{\"msg\":\"DONE\",{about},\"duration\":9,\"blob\":\"{blob}\"}}\n")
}

/// Returns the engine's notice that a run waits for a call with the body `abc`.
pub(crate) fn call_needed_notice(serial: u32, attempt: u32) -> String {
    format!(
        "{{\"msg\":\"NEED\",\"serial\":{serial},\"call\":\"{attempt:016x}\",\"blob\":\"YWJj\"}}\n"
    )
}

/// Asserts that a log contains each of these counters with its value.
pub(crate) fn assert_counters(log: &str, counters: &[&str]) {
    for counter in counters {
        assert!(
            log.contains(&format!("counter {counter}\n")),
            "{counter} in {log}"
        );
    }
}
