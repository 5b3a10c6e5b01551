//! The environment of a server: its fakes, its configuration and the directory of its durable
//! results. It outlives the server, which may be restarted in it.

use madderbay_testkit::catalogue::Catalogue;
use madderbay_testkit::engine::{Engine, HandlerWork};
use madderbay_testkit::measurement::fleets::release_binary;
use madderbay_testkit::registry::Registry;
use madderbay_testkit::server::{Dependencies, Server, configuration, write_config};
use std::path::PathBuf;
use std::time::Duration;

const SETTINGS: &str = include_str!("settings.json");
/// Number of cores of the engine.
const ENGINE_CORES: f64 = 4.0;
/// Number of slots of the catalogue.
const CATALOGUE_SLOTS: usize = 64;
/// Time that a call takes in the catalogue.
const CALL_DURATION: Duration = Duration::from_millis(5);
/// Maximum number of connections of the server.
const MAX_SOCKETS: usize = 256;
/// Maximum time of a shutdown, in milliseconds.
const SHUTDOWN_MS: u64 = 3_000;

pub(crate) struct Site {
    pub(crate) engine: Engine,
    /// Directory of the durable results; removed when the site is dropped.
    pub(crate) directory: PathBuf,
    operator: Option<String>,
    configuration: String,
}

impl Site {
    /// Creates a site without a server. `sync` is the operator's setting of when records are
    /// synced; without it results are not durable. `work_ms` is the minimum and maximum work of a
    /// booking.
    pub(crate) fn new(sync: Option<&str>, work_ms: (f64, f64), seed: u64) -> Site {
        let directory = create_directory();
        let engine = Engine::start(
            ENGINE_CORES,
            vec![HandlerWork::new("book", work_ms, true)],
            seed,
        );
        let catalogue = Catalogue::start(CATALOGUE_SLOTS, CALL_DURATION);
        let Registry { address, reports } = Registry::start();
        std::thread::spawn(move || reports.iter().for_each(drop));
        let dependencies = Dependencies {
            engine: engine.address,
            registry: address,
            catalogue: catalogue.address,
        };
        let operator = sync.map(|sync| {
            let directory = directory.display();
            format!("[kept-results]\nenabled = on\ndirectory = {directory}\nsync = {sync}\n")
        });
        let listen = "127.0.0.1:0";
        Site {
            engine,
            directory,
            operator,
            configuration: configuration(listen, dependencies, MAX_SOCKETS, SHUTDOWN_MS, SETTINGS),
        }
    }

    /// Starts a server and waits until it is connected to the engine.
    pub(crate) fn start_server(&self) -> Server {
        let operator = self.operator.as_deref();
        let mut server = Server::start(&release_binary(), &self.configuration, operator);
        server.log_at("engine: up");
        server
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Creates a directory with a unique name.
fn create_directory() -> PathBuf {
    let path = write_config("");
    std::fs::remove_file(&path).expect("the file is removed");
    std::fs::create_dir(&path).expect("the directory is created");
    path
}
