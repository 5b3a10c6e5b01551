//! A fleet of real servers, each between its own fake engine, catalogue and registry.
//!
//! [`ProcessFleet`](crate::fleet::processes::ProcessFleet) owns the server processes, their files
//! and their fakes. Datagrams between servers pass through
//! [`DatagramRelays`](crate::fleet::relay::DatagramRelays), which carry out the faults of the
//! network. Conditions are checked at the servers' control sockets. The fleet never touches
//! anything but its own processes, loopback and a folder of its own.

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

/// The time between two checks of a condition, long enough that checking costs the servers little.
const CHECK_INTERVAL: StdDuration = StdDuration::from_millis(50);
/// The shortest time of a call under a quota, so that few requests keep many calls in flight.
const MIN_QUOTA_CALL_TIME: StdDuration = StdDuration::from_millis(300);
/// Slots of a catalogue at which no call ever waits for one.
const UNLIMITED_CATALOGUE_SLOTS: usize = 100_000;
/// Slots of the catalogue of a single server.
const CATALOGUE_SLOTS: usize = 8;
/// The time of a call at the catalogue of a single server.
const CATALOGUE_CALL_TIME: StdDuration = StdDuration::from_millis(5);
/// The cores of each fake engine.
const ENGINE_CORES: f64 = 2.0;

/// One server and what is around it.
struct Node {
    /// The process while it runs.
    server: Option<Server>,
    /// The index of the server whose name it has; its own as a rule.
    name: usize,
    /// Stopped by SIGSTOP.
    stopped: bool,
    engine: Engine,
    catalogue: Catalogue,
    registry: Registry,
    /// The calls at a time that it has demand for.
    demand: u32,
    /// The capacity of the quota in its operator file.
    capacity: u32,
    loads: Vec<ClientLoad>,
    /// Where it receives datagrams itself, behind its relay.
    datagram_address: Option<SocketAddr>,
    control_socket: PathBuf,
}

impl Node {
    /// Whether it can answer at its control socket.
    fn answers(&self) -> bool {
        self.server.is_some() && !self.stopped
    }

    fn running(&self) -> Result<&Server, ActionError> {
        self.server.as_ref().ok_or(ActionError::NotRunning)
    }
}

/// A fleet of real server processes under faults. Dropping it kills them.
pub struct ProcessFleet {
    /// How the fleet is set up.
    pub setup: FleetSetup,
    /// Further sections for the operator files of all servers.
    pub operator: String,
    /// Further sections for the operator file of each server.
    pub each: Vec<String>,
    binary: PathBuf,
    /// The platform's settings of all servers, JSON.
    settings: String,
    relays: DatagramRelays,
    nodes: Vec<Node>,
    /// The group of the partition that each server is in; all are in one without a partition.
    partition: Vec<usize>,
    began: Instant,
    /// Holds the control sockets.
    folder: PathBuf,
}

impl ProcessFleet {
    /// A fleet of which no server is started yet. `works` is what the engines run, `settings` the
    /// platform's settings of each server. Under a quota all servers share one catalogue, on which
    /// no call waits.
    ///
    /// # Panics
    ///
    /// If its folder or its fakes can't be made.
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

    /// The same with one given catalogue for all servers, or with one of its own for each.
    ///
    /// # Panics
    ///
    /// If its folder or its fakes can't be made.
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

    /// The fake engine of a server.
    pub fn engine(&self, server: usize) -> &Engine {
        &self.nodes[server].engine
    }

    /// The fake catalogue of a server; under a quota it is the same for all.
    pub fn catalogue(&self, server: usize) -> &Catalogue {
        &self.nodes[server].catalogue
    }

    /// The process of a server, while it runs.
    pub fn server(&self, server: usize) -> Option<&Server> {
        self.nodes[server].server.as_ref()
    }

    /// The processor time that all servers that run have used, in seconds.
    pub fn cpu(&self) -> f64 {
        let running = self.nodes.iter().filter_map(|node| node.server.as_ref());
        running.map(Server::cpu).sum()
    }

    /// The path of a server's control socket.
    pub fn socket(&self, server: usize) -> &Path {
        &self.nodes[server].control_socket
    }

    /// Where a server receives datagrams itself, behind its relay; `None` before its first start.
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

/// The time of a call under a quota on real processes.
fn quota_call_time(quota: &QuotaSetup) -> StdDuration {
    StdDuration::from_micros(quota.call.as_micros()).max(MIN_QUOTA_CALL_TIME)
}

/// Makes a folder that no other fleet has.
fn create_folder() -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    let folder =
        std::env::temp_dir().join(format!("madderbay-stand-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}
