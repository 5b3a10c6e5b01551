//! A simulated server, and its introduction to the other servers.

use super::ids::{SimulatedBackendId, SimulatedServerId};
use super::setup::{server_name, zone_name};
use super::{BackendFleetSetup, BackendSimulation, START};
use madderbay_upstream::UpstreamManager;

/// State of one simulated server.
pub(super) struct SimulatedServer {
    /// Index of its zone.
    pub(super) zone: usize,
    pub(super) upstream: UpstreamManager,
    /// Number of attempts in flight to each backend, by the backend's index.
    pub(super) in_flight: Vec<u32>,
    /// Index of the backend that round robin used last.
    pub(super) last_used: usize,
    /// Whether the server is cut off: nothing that it sends reaches any backend.
    pub(super) is_cut_off: bool,
    /// Backends for which the server falsely reports that all calls fail.
    pub(super) falsely_reported: Vec<SimulatedBackendId>,
    pub(super) incarnation: u64,
}

impl SimulatedServer {
    /// Creates a server in its first incarnation.
    pub(super) fn new(
        id: SimulatedServerId,
        setup: &BackendFleetSetup,
        seed: u64,
    ) -> SimulatedServer {
        let zone = id.index() % setup.zones;
        let settings = setup.settings_in(zone);
        SimulatedServer {
            zone,
            upstream: UpstreamManager::new(START, seed, settings, setup.all_backends()),
            in_flight: vec![0; setup.backends],
            last_used: id.index(),
            is_cut_off: false,
            falsely_reported: vec![],
            incarnation: 1,
        }
    }
}

impl BackendSimulation {
    /// Makes all other servers regard a server as active, in its present incarnation.
    pub(super) fn introduce(&mut self, introduced: SimulatedServerId) {
        let server = &self.servers[introduced.index()];
        let incarnation = server.incarnation;
        let zone = zone_name(server.zone);
        let name = server_name(introduced);
        for (index, other) in self.servers.iter_mut().enumerate() {
            if index != introduced.index() {
                other.upstream.update_peer(&name, incarnation, &zone, true);
            }
        }
    }
}
