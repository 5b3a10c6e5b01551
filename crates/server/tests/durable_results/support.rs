//! Support for the tests of durable results: the program with a directory of results, and the lines that it exchanges
//! with its peers.

use crate::common::SETTINGS;
use crate::program::program;
use madderbay_testkit::peer::{Peer, loopback_listener};
use madderbay_testkit::server::{Dependencies, Server, configuration, write_config};
use madderbay_testkit::{registry, unix_ms};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::mpsc::Receiver;
use std::sync::{PoisonError, RwLock};

/// Window of an idempotency key that is longer than any test, in microseconds.
pub(crate) const LONG_WINDOW_MICROS: u64 = 30_000_000;

/// Locked for reading while a process is started, and for writing while this process has a directory of results open.
/// Without this guard, a process that is started in the meantime would inherit the lock on the directory and hold it
/// until it executes its own program.
static OPEN_DIRECTORY: RwLock<()> = RwLock::new(());

/// Starts a process while this process has no directory of results open.
pub(crate) fn start_process<T>(start: impl FnOnce() -> T) -> T {
    let _guard = OPEN_DIRECTORY
        .read()
        .unwrap_or_else(PoisonError::into_inner);
    start()
}

/// Uses a directory of results in this process while no other process is being started.
pub(crate) fn with_open_directory<T>(use_it: impl FnOnce() -> T) -> T {
    let _guard = OPEN_DIRECTORY
        .write()
        .unwrap_or_else(PoisonError::into_inner);
    use_it()
}

/// A directory of results, the listener of the engine, and the files that the program is started with.
pub(crate) struct TestSetup {
    pub directory: PathBuf,
    /// Contents of the operator file.
    pub operator: String,
    /// Contents of the configuration file.
    pub config: String,
    pub engine: TcpListener,
    _reports: Receiver<String>,
}

impl TestSetup {
    /// Returns a setup with an empty directory, this window for idempotency keys, and further lines for the
    /// `[kept-results]` section of the operator file.
    pub(crate) fn new(window_micros: u64, operator_lines: &str) -> TestSetup {
        let directory = write_config("");
        std::fs::remove_file(&directory).expect("the removal succeeds");
        std::fs::create_dir(&directory).expect("the directory is created");
        let engine = loopback_listener();
        let (registry, reports) = registry::start();
        let catalogue = loopback_listener().local_addr().expect("a local address");
        let dependencies = Dependencies {
            engine: engine.local_addr().expect("a local address"),
            registry,
            catalogue,
        };
        let settings = SETTINGS.replace(
            "\"repeat_window_us\": 10000000",
            &format!("\"repeat_window_us\": {window_micros}"),
        );
        let operator = format!(
            "[kept-results]\nenabled = on\ndirectory = {}\n{operator_lines}",
            directory.display()
        );
        let config = configuration("127.0.0.1:0", dependencies, 128, 800, &settings);
        TestSetup {
            directory,
            operator,
            config,
            engine,
            _reports: reports,
        }
    }

    /// Starts the program, accepts its engine link and answers its first query of the gauges.
    pub(crate) fn start(&self) -> (Server, Peer) {
        let server = self.start_program();
        let mut engine = Peer::accept(&self.engine);
        assert_eq!(engine.line(), "{\"msg\":\"ATTACH\",\"serial\":0}");
        engine.say("{\"msg\":\"HELLO\",\"how\":\"old\",\"duration\":3600000}\n");
        let stat = engine.line();
        assert!(stat.contains("STAT"), "{stat}");
        engine.say("{\"msg\":\"STATS\",\"cookie\":\"1\",\"stats\":[0.1,1,0.1,1]}\n");
        (server, engine)
    }

    /// Does the same as [`start`](Self::start), and opens a connection of a load balancer.
    pub(crate) fn start_with_client(&self) -> (Server, Peer, Peer) {
        let (server, engine) = self.start();
        let client = connect(&server);
        (server, engine, client)
    }

    /// Starts the program without accepting its engine link.
    pub(crate) fn start_program(&self) -> Server {
        start_process(|| Server::start(program(), &self.config, Some(&self.operator)))
    }

    /// Writes the configuration and the operator file.
    pub(crate) fn write_files(&self) -> ConfigFiles {
        ConfigFiles {
            config: write_config(&self.config),
            operator: write_config(&self.operator),
        }
    }
}

impl Drop for TestSetup {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// The files of a program that a test starts itself.
pub(crate) struct ConfigFiles {
    pub config: PathBuf,
    pub operator: PathBuf,
}

impl ConfigFiles {
    /// Removes both files.
    pub(crate) fn remove(self) {
        for file in [self.config, self.operator] {
            std::fs::remove_file(file).expect("the removal succeeds");
        }
    }
}

/// Opens a connection of a load balancer.
pub(crate) fn connect(server: &Server) -> Peer {
    Peer::new(TcpStream::connect(server.address).expect("the connection succeeds"))
}

/// Returns the line of a `book` request with an idempotency key.
pub(crate) fn booking_request(id: u32, attempt: u32, key: &str, body: &str) -> String {
    let now = unix_ms();
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"book\",\"params\":{{\"ref\":\"{attempt:016x}\",\
         \"since\":{now},\"sender\":4,\"project\":\"acme\",\"allow\":8000,\"replay\":\"{key:0>32}\",\
         \"room\":24.5,\"bytes\":\"{body}\"}}}}\n"
    )
}

/// Returns the engine's notice that a run has completed.
pub(crate) fn completion_notice(serial: u32, attempt: u32, blob: &str) -> String {
    format!(
        "{{\"msg\":\"DONE\",\"serial\":{serial},\"call\":\"{attempt:016x}\",\"how\":\"good\",\"duration\":9,\
         \"blob\":\"{blob}\"}}\n"
    )
}

/// Runs and completes the first attempt of the key 5.
pub(crate) fn complete_booking(client: &mut Peer, engine: &mut Peer) {
    client.say(&booking_request(1, 1, "5", "QUJD"));
    assert!(
        engine
            .command()
            .contains("\"RUN\",\"call\":\"0000000000000001\"")
    );
    engine.say(&completion_notice(1, 1, "WFla"));
    assert!(client.line().contains("WFla"));
}

/// Kills a program and closes its engine link.
pub(crate) fn kill(server: Server, engine: Peer) {
    server.signal("-KILL");
    drop((server, engine));
}

/// Asserts that no other request is run: the next command other than a query is the run of a request that is sent now.
pub(crate) fn assert_no_other_run(engine: &mut Peer, client: &mut Peer, id: u32) {
    client.say(&format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"quote\",\"params\":{{\"ref\":\
                        \"{id:016x}\",\"since\":{},\"sender\":4,\"project\":\"acme\",\"allow\":8000,\
                        \"room\":24.5,\"bytes\":\"QUJD\"}}}}\n",
        unix_ms()
    ));
    let next = engine.command();
    assert!(
        next.contains("\"RUN\"") && next.contains(&format!("{id:016x}")),
        "{next}"
    );
}
