//! Setup of a simulation, and the names and addresses that it uses.

use super::ids::{SimulatedBackendId, SimulatedServerId};
use compact_str::{CompactString, format_compact};
use madderbay::interface::HandlerId;
use madderbay::time::Duration;
use madderbay_upstream::{BackendSettings, Settings};
use std::net::{IpAddr, SocketAddr};

/// Handler of all calls.
pub(super) const HANDLER: HandlerId = HandlerId::new(0);
/// Number of backends that share the third octet of their addresses.
const BACKENDS_PER_SUBNET: usize = 250;
/// Port of every backend.
const PORT: u16 = 7_700;

/// How servers select backends, and whether they retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Select by the program's upstream manager with gossip.
    ManagerWithGossip,
    /// Select by the program's upstream manager without gossip.
    ManagerWithoutGossip,
    /// Select the backends in turn, without retries or ejections.
    RoundRobin,
    /// Select the backend with the fewest attempts in flight, with up to two retries where the
    /// retry policy allows them.
    LeastInFlight,
}

/// Setup of a simulation.
#[derive(Clone, Debug)]
pub struct BackendFleetSetup {
    /// Number of servers.
    pub servers: usize,
    /// Number of backends.
    pub backends: usize,
    /// Number of zones, over which servers and backends are spread evenly.
    pub zones: usize,
    /// Calls per second that arrive at each server.
    pub calls_per_second: f64,
    /// Mean time that a healthy backend takes for a call.
    pub mean_call_time: Duration,
    /// Number of calls that a backend works on at a time; others queue there.
    pub backend_concurrency: usize,
    /// Timeout of a call, which covers all its attempts.
    pub timeout: Duration,
    /// Whether calls are idempotent.
    pub is_idempotent: bool,
    /// How servers select backends.
    pub routing: RoutingPolicy,
    /// Settings of the upstream managers, except zone and gossip, which the simulation sets.
    pub settings: Settings,
}

impl BackendFleetSetup {
    /// Creates a setup with one zone, idempotent calls and the program's policy with gossip.
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

    /// Returns the settings of a server in a zone.
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

    /// Returns the settings of the given backends.
    pub(super) fn backend_settings(
        &self,
        backends: impl IntoIterator<Item = SimulatedBackendId>,
    ) -> Vec<BackendSettings> {
        backends
            .into_iter()
            .map(|backend| backend_settings(backend, self.zones))
            .collect()
    }

    /// Returns the settings of all backends.
    pub(super) fn all_backends(&self) -> Vec<BackendSettings> {
        self.backend_settings(SimulatedBackendId::first(self.backends))
    }
}

pub(super) fn server_name(server: SimulatedServerId) -> CompactString {
    format_compact!("n{}", server.index() + 1)
}

/// Returns the server with a name.
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

/// Returns the backend that listens on an address.
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
