//! A server's surroundings: its fakes, its configuration and the folder of its durable results.
//! They outlive the server, which may be started in them again.

use madderbay_testkit::catalogue::Catalogue;
use madderbay_testkit::engine::{Engine, HandlerWork};
use madderbay_testkit::measurement::fleets::release_binary;
use madderbay_testkit::registry::Registry;
use madderbay_testkit::server::{Dependencies, Server, configuration, write_config};
use std::path::PathBuf;
use std::time::Duration;

const SETTINGS: &str = include_str!("settings.json");
/// The cores of the engine.
const ENGINE_CORES: f64 = 4.0;
/// Slots of the catalogue, and the time of a call there.
const CATALOGUE_SLOTS: usize = 64;
const CALL: Duration = Duration::from_millis(5);
/// Connections that the server may have.
const MAX_SOCKETS: usize = 256;
/// The time that a shutdown may take, in milliseconds.
const SHUTDOWN_MS: u64 = 3_000;

pub(crate) struct Site {
    pub(crate) engine: Engine,
    /// Holds the durable results; removed in the end.
    pub(crate) folder: PathBuf,
    operator: Option<String>,
    configuration: String,
}

impl Site {
    /// A site without a server. `sync` is the operator's choice of when records are synced; without
    /// it results are not durable. `work_ms` is the least and the most work of a booking.
    pub(crate) fn new(sync: Option<&str>, work_ms: (f64, f64), seed: u64) -> Site {
        let folder = make_folder();
        let engine = Engine::start(
            ENGINE_CORES,
            vec![HandlerWork::new("book", work_ms, true)],
            seed,
        );
        let catalogue = Catalogue::start(CATALOGUE_SLOTS, CALL);
        let Registry { address, reports } = Registry::start();
        std::thread::spawn(move || reports.iter().for_each(drop));
        let dependencies = Dependencies {
            engine: engine.address,
            registry: address,
            catalogue: catalogue.address,
        };
        let operator = sync.map(|sync| {
            let folder = folder.display();
            format!("[kept-results]\nenabled = on\ndirectory = {folder}\nsync = {sync}\n")
        });
        let listen = "127.0.0.1:0";
        Site {
            engine,
            folder,
            operator,
            configuration: configuration(listen, dependencies, MAX_SOCKETS, SHUTDOWN_MS, SETTINGS),
        }
    }

    /// Starts a server and waits until it is connected with the engine.
    pub(crate) fn start_server(&self) -> Server {
        let operator = self.operator.as_deref();
        let mut server = Server::start(&release_binary(), &self.configuration, operator);
        server.log_at("engine: up");
        server
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Makes a folder under a name that no other file has.
fn make_folder() -> PathBuf {
    let path = write_config("");
    std::fs::remove_file(&path).expect("removed");
    std::fs::create_dir(&path).expect("made");
    path
}
