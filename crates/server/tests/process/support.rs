//! What the tests of the program share: the program between hand-played peers, and the lines that they exchange.

use crate::common::SETTINGS;
use crate::program::program;
use madderbay_testkit::peer::{Peer, loopback_listener};
use madderbay_testkit::server::{Dependencies, Server as Program, configuration};
use madderbay_testkit::{registry, unix_ms};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::{Deref, DerefMut};
use std::sync::mpsc::Receiver;

/// Milliseconds from SIGTERM to SIGKILL, as the configuration states them.
pub(crate) const STOP_MS: u64 = 800;
/// First line on an engine link of a program that has read no notice yet.
pub(crate) const INITIAL_ATTACH: &str = "{\"msg\":\"ATTACH\",\"serial\":0}";
/// Greeting of an engine that has been up for an hour.
pub(crate) const HELLO_OF_RUNNING_ENGINE: &str =
    "{\"msg\":\"HELLO\",\"how\":\"old\",\"duration\":3600000}\n";
/// Greeting of an engine that has just started.
pub(crate) const HELLO_OF_NEW_ENGINE: &str =
    "{\"msg\":\"HELLO\",\"how\":\"new\",\"duration\":10}\n";
/// Answer to the first question for the gauges.
pub(crate) const GAUGE_REPLY: &str =
    "{\"msg\":\"STATS\",\"cookie\":\"1\",\"stats\":[0.1,1,0.1,1]}\n";
/// A load balancer's health check.
pub(crate) const HEALTH_CHECK: &str = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n";
/// What every connection is sent when the program drains.
pub(crate) const LEAVING_NOTICE: &str = "{\"jsonrpc\":\"2.0\",\"method\":\"leaving\"}";

/// The program between an engine and a catalogue that are played by hand.
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
    /// Starts the program with this limit on descriptors and no operator file.
    pub(crate) fn start(descriptors: usize) -> TestServer {
        TestServer::start_program(descriptors, None)
    }

    /// Starts the program with an operator file of this text.
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

    /// Accepts the engine link, whose first line has to be `attach`, and greets it.
    pub(crate) fn accept_engine_link(&self, attach: &str) -> Peer {
        let mut engine = Peer::accept(&self.engine);
        assert_eq!(engine.line(), attach);
        engine.say(HELLO_OF_RUNNING_ENGINE);
        engine
    }

    /// A new connection of a load balancer.
    pub(crate) fn connect(&self) -> Peer {
        connect_to(&self.program)
    }

    /// The rest of the log after the program has ended by itself.
    pub(crate) fn ended(self) -> String {
        self.program.ended()
    }
}

/// A new connection of a load balancer to a program that was started by itself.
pub(crate) fn connect_to(program: &Program) -> Peer {
    Peer::new(TcpStream::connect(program.address).expect("a connection"))
}

/// The addresses of the program's peers.
pub(crate) fn dependencies(
    engine: &TcpListener,
    registry: SocketAddr,
    catalogue: &TcpListener,
) -> Dependencies {
    let address = |l: &TcpListener| l.local_addr().expect("an address");
    Dependencies {
        engine: address(engine),
        registry,
        catalogue: address(catalogue),
    }
}

/// Where an engine, a catalogue and a registry listen that are played by hand.
pub(crate) struct PeerListeners {
    pub engine: TcpListener,
    pub registry: TcpListener,
    catalogue: TcpListener,
}

impl PeerListeners {
    /// Listeners at free ports.
    pub(crate) fn bind() -> PeerListeners {
        PeerListeners {
            engine: loopback_listener(),
            registry: loopback_listener(),
            catalogue: loopback_listener(),
        }
    }

    /// Their addresses.
    pub(crate) fn addresses(&self) -> Dependencies {
        let registry = self.registry.local_addr().expect("an address");
        dependencies(&self.engine, registry, &self.catalogue)
    }
}

/// An address that nobody listens at: the tests' own ports are never so low.
pub(crate) fn unreachable_address() -> SocketAddr {
    ([127, 77, 0, 1], 1).into()
}

/// Peers none of which can be reached.
pub(crate) fn unreachable_dependencies() -> Dependencies {
    dependencies_at(unreachable_address())
}

/// All peers at one address.
pub(crate) fn dependencies_at(address: SocketAddr) -> Dependencies {
    Dependencies {
        engine: address,
        registry: address,
        catalogue: address,
    }
}

/// Starts the program between these peers, with this limit on descriptors.
pub(crate) fn start_program(dependencies: Dependencies, descriptors: usize) -> Program {
    let text = configuration("127.0.0.1:0", dependencies, descriptors, STOP_MS, SETTINGS);
    Program::start(program(), &text, None)
}

/// Writes a configuration with other peers over the one that the program was started with.
pub(crate) fn write_configuration(
    program: &Program,
    dependencies: Dependencies,
    descriptors: usize,
) {
    let text = configuration("127.0.0.1:0", dependencies, descriptors, STOP_MS, SETTINGS);
    std::fs::write(&program.path, text).expect("written");
}

/// A request's line; `key` is its idempotency key, if it is not empty.
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

/// The engine's notice that a run has completed with a result.
pub(crate) fn completion_notice(serial: u32, attempt: u32, blob: &str) -> String {
    let about = format!("\"serial\":{serial},\"call\":\"{attempt:016x}\",\"how\":\"good\"");
    format!("{{\"msg\":\"DONE\",{about},\"duration\":9,\"blob\":\"{blob}\"}}\n")
}

/// The engine's notice that a run waits for a call with the body `abc`.
pub(crate) fn call_needed_notice(serial: u32, attempt: u32) -> String {
    format!(
        "{{\"msg\":\"NEED\",\"serial\":{serial},\"call\":\"{attempt:016x}\",\"blob\":\"YWJj\"}}\n"
    )
}

/// Asserts that a log has each of these counters with its value.
pub(crate) fn assert_counters(log: &str, counters: &[&str]) {
    for counter in counters {
        assert!(
            log.contains(&format!("counter {counter}\n")),
            "{counter} in {log}"
        );
    }
}
