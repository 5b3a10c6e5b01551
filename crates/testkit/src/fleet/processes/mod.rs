//! A fleet of real server processes, each with a fake engine, catalogue and registry.
//!
//! [`ProcessFleet`](crate::fleet::processes::ProcessFleet) owns the server processes, their files
//! and their fakes. Datagrams between servers pass through
//! [`DatagramRelays`](crate::fleet::relay::DatagramRelays), which inject the network faults.
//! Conditions are checked by queries to the servers' control sockets. The fleet uses only its own
//! processes, the loopback interface and a folder of its own.

mod actions;
mod client_load;
mod conditions;
mod operator_file;
mod reports;
mod start;

pub use reports::{BackendReport, MembershipReport, QuotaReport};

use self::client_load::ClientLoad;
use super::relay::DatagramRelays;
use super::script::{
    Action, ActionError, Condition, ConditionChecks, Fleet, FleetSetup, QuotaSetup, name,
};
use crate::catalogue::Catalogue;
use crate::engine::{Engine, HandlerWork};
use crate::registry::Registry;
use crate::server::Server;
use madderbay::time::Duration;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration as StdDuration, Instant};

/// Interval between two checks of a condition, long enough to cost the servers little.
const CHECK_INTERVAL: StdDuration = StdDuration::from_millis(50);
/// Minimum duration of a call under a quota. Long calls let a few requests keep many calls in
/// flight.
const MIN_QUOTA_CALL_TIME: StdDuration = StdDuration::from_millis(300);
/// Slots of the shared catalogue, so many that no call ever waits for one.
const UNLIMITED_CATALOGUE_SLOTS: usize = 100_000;
/// Slots of a catalogue that serves a single server.
const CATALOGUE_SLOTS: usize = 8;
/// Duration of a call at a catalogue that serves a single server.
const CATALOGUE_CALL_TIME: StdDuration = StdDuration::from_millis(5);
/// Number of cores of each fake engine.
const ENGINE_CORES: f64 = 2.0;

/// One server with its fakes and its client loads.
struct Node {
    /// The process; `None` while the server does not run.
    server: Option<Server>,
    /// Index of the server whose name this one uses, normally its own.
    name: usize,
    /// Whether the process is stopped by SIGSTOP.
    stopped: bool,
    engine: Engine,
    catalogue: Catalogue,
    registry: Registry,
    /// Demand, in concurrent calls.
    demand: u32,
    /// Capacity of the quota in the operator file, in calls.
    capacity: u32,
    /// The present load and all earlier ones, until their results are collected.
    loads: Vec<ClientLoad>,
    /// Address at which the server itself receives datagrams, behind its relay.
    datagram_address: Option<SocketAddr>,
    control_socket: PathBuf,
}

impl Node {
    /// Reports whether the server runs and is not stopped, so that it can answer at its control
    /// socket.
    fn is_responsive(&self) -> bool {
        self.server.is_some() && !self.stopped
    }

    fn running(&self) -> Result<&Server, ActionError> {
        self.server.as_ref().ok_or(ActionError::NotRunning)
    }
}

/// A fleet of real server processes under faults. Dropping it kills them.
pub struct ProcessFleet {
    /// Setup of the fleet.
    pub setup: FleetSetup,
    /// Text appended to the operator files of all servers.
    pub operator: String,
    /// Text appended to the operator file of each server, by index.
    pub each: Vec<String>,
    binary: PathBuf,
    /// The platform's settings of all servers, as JSON.
    settings: String,
    relays: DatagramRelays,
    nodes: Vec<Node>,
    /// Partition group of each server; all servers are in one group if there is no partition.
    partition: Vec<usize>,
    began: Instant,
    /// Folder of the control sockets.
    folder: PathBuf,
}

impl ProcessFleet {
    /// Creates a fleet whose servers are not started yet. `works` is the work that the engines do
    /// for each handler, `settings` the platform's settings of each server. If the setup has a
    /// quota, all servers share one catalogue with enough slots that no call waits.
    ///
    /// # Panics
    ///
    /// If the folder or the fakes cannot be created.
    pub fn new(
        setup: FleetSetup,
        binary: &Path,
        settings: &str,
        works: &[HandlerWork],
        seed: u64,
    ) -> ProcessFleet {
        let shared = setup
            .budget
            .as_ref()
            .map(|quota| Catalogue::start(UNLIMITED_CATALOGUE_SLOTS, quota_call_time(quota)));
        ProcessFleet::with_catalogue(shared, setup, binary, settings, works, seed)
    }

    /// Like [`ProcessFleet::new`], but all servers use the given catalogue. Without one, each
    /// server has a catalogue of its own.
    ///
    /// # Panics
    ///
    /// If the folder or the fakes cannot be created.
    pub fn with_catalogue(
        catalogue: Option<Catalogue>,
        setup: FleetSetup,
        binary: &Path,
        settings: &str,
        works: &[HandlerWork],
        seed: u64,
    ) -> ProcessFleet {
        let folder = create_folder();
        let capacity = setup.budget.as_ref().map_or(0, |quota| quota.capacity);
        let nodes = (0..setup.servers).map(|index| Node {
            server: None,
            name: index,
            stopped: false,
            engine: Engine::start(ENGINE_CORES, works.to_vec(), seed + index as u64),
            catalogue: catalogue
                .clone()
                .unwrap_or_else(|| Catalogue::start(CATALOGUE_SLOTS, CATALOGUE_CALL_TIME)),
            registry: Registry::start(),
            demand: 0,
            capacity,
            loads: vec![],
            datagram_address: None,
            control_socket: folder.join(format!("{index}.sock")),
        });
        ProcessFleet {
            operator: String::new(),
            each: vec![String::new(); setup.servers],
            binary: binary.into(),
            settings: settings.into(),
            relays: DatagramRelays::start(setup.servers, seed),
            nodes: nodes.collect(),
            partition: vec![0; setup.servers],
            began: Instant::now(),
            folder,
            setup,
        }
    }

    /// Returns the fake engine of a server.
    pub fn engine(&self, server: usize) -> &Engine {
        &self.nodes[server].engine
    }

    /// Returns the fake catalogue of a server. Under a quota all servers share one.
    pub fn catalogue(&self, server: usize) -> &Catalogue {
        &self.nodes[server].catalogue
    }

    /// Returns the process of a server; `None` while it does not run.
    pub fn server(&self, server: usize) -> Option<&Server> {
        self.nodes[server].server.as_ref()
    }

    /// Returns the processor time that all running servers together have used, in seconds.
    pub fn cpu(&self) -> f64 {
        let running = self.nodes.iter().filter_map(|node| node.server.as_ref());
        running.map(Server::cpu).sum()
    }

    /// Returns the path of a server's control socket.
    pub fn socket(&self, server: usize) -> &Path {
        &self.nodes[server].control_socket
    }

    /// Returns the address at which a server itself receives datagrams, behind its relay; `None`
    /// before its first start.
    pub fn datagram_address(&self, server: usize) -> Option<SocketAddr> {
        self.nodes[server].datagram_address
    }
}

impl Fleet for ProcessFleet {
    fn act(&mut self, action: &Action) -> Result<(), ActionError> {
        self.perform(action)
    }

    fn unmet(&mut self, condition: &Condition) -> Option<String> {
        self.unmet_condition(condition)
    }

    fn pass(&mut self) {
        std::thread::sleep(CHECK_INTERVAL);
    }

    fn at(&self) -> Duration {
        Duration::from_micros(self.began.elapsed().as_micros() as u64)
    }
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        self.nodes.iter_mut().for_each(|node| node.server = None);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns the duration of a call under a quota on real processes.
fn quota_call_time(quota: &QuotaSetup) -> StdDuration {
    StdDuration::from_micros(quota.call.as_micros()).max(MIN_QUOTA_CALL_TIME)
}

/// Creates a temporary folder with a unique name.
fn create_folder() -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    let folder =
        std::env::temp_dir().join(format!("madderbay-stand-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}
