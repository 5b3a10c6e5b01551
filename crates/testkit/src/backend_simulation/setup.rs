//! How a simulation is set up, and the names and addresses in it.

use compact_str::{CompactString, format_compact};
use madderbay::interface::HandlerId;
use madderbay::time::Duration;
use madderbay_upstream::{BackendSettings, Settings};
use std::net::{IpAddr, SocketAddr};

/// Backends for each third octet of the addresses.
const BACKENDS_PER_SUBNET: usize = 250;
/// The port of every backend.
const PORT: u16 = 7_700;

/// What a backend does with its calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendFault {
    /// Calls take this many times as long as usual; 1 is healthy.
    Slow(f64),
    /// Calls are answered at once as failed.
    Fails,
    /// Calls are accepted and never answered.
    Silent,
    /// Connections are refused.
    Down,
}

/// How servers select backends and retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// The program's upstream manager with gossip.
    Shared,
    /// The program's upstream manager without gossip.
    Alone,
    /// One backend after the other, without retries or ejections.
    RoundRobin,
    /// The backend with the fewest attempts in flight, and up to two retries where they are
    /// allowed.
    LeastInHand,
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
    /// Calls a second that arrive at each server.
    pub rate: f64,
    /// The mean time that a healthy backend takes for a call.
    pub call: Duration,
    /// Calls that a backend works on at a time; others queue there.
    pub slots: usize,
    /// The timeout of a call with all its attempts.
    pub patience: Duration,
    /// Whether calls are idempotent.
    pub replayable: bool,
    /// How servers select backends.
    pub way: RoutingPolicy,
    /// The settings of the upstream managers, but for zone and gossip.
    pub settings: Settings,
}

impl BackendFleetSetup {
    /// Servers and backends in one zone, with idempotent calls and the program's policy.
    pub fn of(servers: usize, backends: usize) -> BackendFleetSetup {
        BackendFleetSetup {
            servers,
            backends,
            zones: 1,
            rate: 20.0,
            call: Duration::from_millis(20),
            slots: 1_000,
            patience: Duration::from_millis(1_000),
            replayable: true,
            way: RoutingPolicy::Shared,
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
            gossip: self.way == RoutingPolicy::Shared,
            ..self.settings.clone()
        }
    }

    pub(super) fn all_backends(&self) -> Vec<BackendSettings> {
        (0..self.backends)
            .map(|backend| backend_settings(backend, self.zones))
            .collect()
    }
}

pub(super) fn server_name(server: usize) -> CompactString {
    format_compact!("n{}", server + 1)
}

/// The index of a server by its name.
pub(super) fn server_index(name: &str) -> usize {
    let number: usize = name.trim_start_matches('n').parse().unwrap_or(1);
    number - 1
}

pub(super) fn zone_name(zone: usize) -> CompactString {
    format_compact!("z{zone}")
}

pub(super) fn backend_name(backend: usize) -> CompactString {
    format_compact!("b{backend}")
}

pub(super) fn backend_settings(backend: usize, zones: usize) -> BackendSettings {
    let subnet = (backend / BACKENDS_PER_SUBNET) as u8;
    let host = (backend % BACKENDS_PER_SUBNET) as u8;
    BackendSettings {
        name: backend_name(backend),
        address: ([127, 2, subnet, host], PORT).into(),
        zone: zone_name(backend % zones),
        weight: 1.0,
        handlers: vec![HandlerId::new(0)],
    }
}

/// The index of a backend by its address.
pub(super) fn backend_index(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => {
            let [_, _, subnet, host] = ip.octets();
            usize::from(subnet) * BACKENDS_PER_SUBNET + usize::from(host)
        }
        IpAddr::V6(_) => 0,
    }
}
