//! How a simulation is set up, and the names and addresses in it.

use super::ids::{SimulatedBackendId, SimulatedServerId};
use compact_str::{CompactString, format_compact};
use madderbay::interface::HandlerId;
use madderbay::time::Duration;
use madderbay_upstream::{BackendSettings, Settings};
use std::net::{IpAddr, SocketAddr};

/// The handler of all calls.
pub(super) const HANDLER: HandlerId = HandlerId::new(0);
/// Backends for each third octet of the addresses.
const BACKENDS_PER_SUBNET: usize = 250;
/// The port of every backend.
const PORT: u16 = 7_700;

/// How servers select backends, and whether they retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// The program's upstream manager with gossip.
    ManagerWithGossip,
    /// The program's upstream manager without gossip.
    ManagerWithoutGossip,
    /// One backend after the other, without retries or ejections.
    RoundRobin,
    /// The backend with the fewest attempts in flight, and up to two retries where they are
    /// allowed.
    LeastInFlight,
}

/// How a simulation is set up.
#[derive(Clone, Debug)]
pub struct BackendFleetSetup {
    /// The number of servers.
    pub servers: usize,
    /// The number of backends.
    pub backends: usize,
    /// The number of zones, over which servers and backends are spread evenly.
    pub zones: usize,
    /// Calls that arrive at each server in a second.
    pub calls_per_second: f64,
    /// The mean time that a healthy backend takes for a call.
    pub mean_call_time: Duration,
    /// Calls that a backend works on at a time; others queue there.
    pub backend_concurrency: usize,
    /// The timeout of a call with all its attempts.
    pub timeout: Duration,
    /// Whether calls are idempotent.
    pub is_idempotent: bool,
    /// How servers select backends.
    pub routing: RoutingPolicy,
    /// The settings of the upstream managers, but for zone and gossip.
    pub settings: Settings,
}

impl BackendFleetSetup {
    /// Servers and backends in one zone, with idempotent calls and the program's policy.
    pub fn new(servers: usize, backends: usize) -> BackendFleetSetup {
        BackendFleetSetup {
            servers,
            backends,
            zones: 1,
            calls_per_second: 20.0,
            mean_call_time: Duration::from_millis(20),
            backend_concurrency: 1_000,
            timeout: Duration::from_millis(1_000),
            is_idempotent: true,
            routing: RoutingPolicy::ManagerWithGossip,
            settings: Settings::default(),
        }
    }

    /// The settings of a server in a zone.
    pub(super) fn settings_in(&self, zone: usize) -> Settings {
        let zone = if self.zones > 1 {
            zone_name(zone)
        } else {
            CompactString::default()
        };
        Settings {
            zone,
            gossip: self.routing == RoutingPolicy::ManagerWithGossip,
            ..self.settings.clone()
        }
    }

    /// The settings of some backends.
    pub(super) fn backend_settings(
        &self,
        backends: impl IntoIterator<Item = SimulatedBackendId>,
    ) -> Vec<BackendSettings> {
        backends
            .into_iter()
            .map(|backend| backend_settings(backend, self.zones))
            .collect()
    }

    /// The settings of all backends.
    pub(super) fn all_backends(&self) -> Vec<BackendSettings> {
        self.backend_settings(SimulatedBackendId::first(self.backends))
    }
}

pub(super) fn server_name(server: SimulatedServerId) -> CompactString {
    format_compact!("n{}", server.index() + 1)
}

/// The server of a name.
pub(super) fn server_of_name(name: &str) -> SimulatedServerId {
    let number: usize = name.trim_start_matches('n').parse().unwrap_or(1);
    SimulatedServerId::new(number - 1)
}

pub(super) fn zone_name(zone: usize) -> CompactString {
    format_compact!("z{zone}")
}

pub(super) fn backend_name(backend: SimulatedBackendId) -> CompactString {
    format_compact!("b{}", backend.index())
}

fn backend_settings(backend: SimulatedBackendId, zones: usize) -> BackendSettings {
    let subnet = (backend.index() / BACKENDS_PER_SUBNET) as u8;
    let host = (backend.index() % BACKENDS_PER_SUBNET) as u8;
    BackendSettings {
        name: backend_name(backend),
        address: ([127, 2, subnet, host], PORT).into(),
        zone: zone_name(backend.index() % zones),
        weight: 1.0,
        handlers: vec![HANDLER],
    }
}

/// The backend that listens at an address.
pub(super) fn backend_at(address: SocketAddr) -> SimulatedBackendId {
    let index = match address.ip() {
        IpAddr::V4(ip) => {
            let [_, _, subnet, host] = ip.octets();
            usize::from(subnet) * BACKENDS_PER_SUBNET + usize::from(host)
        }
        IpAddr::V6(_) => 0,
    };
    SimulatedBackendId::new(index)
}
