//! Faults of a simulation and actions of its operator. Each holds until it is set again.

use super::BackendSimulation;
use super::ids::{SimulatedBackendId, SimulatedServerId};
use super::setup::{server_name, zone_name};
use madderbay_upstream::UpstreamManager;

/// How a backend handles its calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendFault {
    /// Calls take `factor` times as long as usual; a backend with factor 1 is healthy.
    Slow {
        /// Multiple of the usual time.
        factor: f64,
    },
    /// Calls fail at once.
    Failing,
    /// Calls are accepted and never answered.
    Silent,
    /// Connections are refused.
    Down,
}

impl BackendFault {
    /// No fault: calls take their usual time.
    pub const HEALTHY: BackendFault = BackendFault::Slow { factor: 1.0 };
}

/// A cut connection between a zone and a backend: the servers of the zone do not reach the backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneCut {
    /// Index of the zone.
    pub zone: usize,
    /// The backend that the zone does not reach.
    pub backend: SimulatedBackendId,
}

/// Partition of the gossip between servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum GossipPartition {
    /// All servers receive gossip from each other.
    #[default]
    None,
    /// Gossip does not pass between the first half of the servers and the others.
    Halves,
    /// No server receives gossip.
    Isolated,
}

impl BackendSimulation {
    /// Sets how a backend handles calls from now on. If it is down or failing, its calls in flight
    /// are disconnected.
    pub fn set_backend_fault(&mut self, backend: SimulatedBackendId, fault: BackendFault) {
        self.backends[backend.index()].fault = fault;
        if matches!(fault, BackendFault::Down | BackendFault::Failing) {
            self.disconnect(backend);
        }
    }

    /// Sets whether a server is cut off from all backends.
    pub fn set_cut_off(&mut self, server: SimulatedServerId, is_cut_off: bool) {
        self.servers[server.index()].is_cut_off = is_cut_off;
    }

    /// Sets the zones that do not reach certain backends.
    pub fn set_zone_cuts(&mut self, cuts: Vec<ZoneCut>) {
        self.zone_cuts = cuts;
    }

    /// Sets the partition of the gossip between servers.
    pub fn set_gossip_partition(&mut self, partition: GossipPartition) {
        self.gossip_partition = partition;
    }

    /// Sets the backends for which a server falsely reports to the others that all calls fail.
    pub fn set_falsely_reported(
        &mut self,
        server: SimulatedServerId,
        backends: Vec<SimulatedBackendId>,
    ) {
        self.servers[server.index()].falsely_reported = backends;
    }

    /// Sets the number of calls per second that arrive at each server from now on.
    pub fn set_calls_per_second(&mut self, calls: f64) {
        self.setup.calls_per_second = calls;
    }

    /// Restarts a server: it begins another incarnation without any knowledge of the backends.
    pub fn restart(&mut self, restarted: SimulatedServerId) {
        let seed = self.random.rand_u64();
        let zone = self.servers[restarted.index()].zone;
        let mut upstream = UpstreamManager::new(
            self.now,
            seed,
            self.setup.settings_in(zone),
            self.setup.all_backends(),
        );
        for other in SimulatedServerId::first(self.servers.len()) {
            if other != restarted {
                let peer = &self.servers[other.index()];
                let zone = zone_name(peer.zone);
                upstream.update_peer(&server_name(other), peer.incarnation, &zone, true);
            }
        }
        let server = &mut self.servers[restarted.index()];
        server.upstream = upstream;
        server.incarnation += 1;
        self.introduce(restarted);
    }

    /// Reloads all servers with this list of backends.
    pub fn reload(&mut self, backends: &[SimulatedBackendId]) {
        for server in &mut self.servers {
            let listed = self.setup.backend_settings(backends.iter().copied());
            let settings = self.setup.settings_in(server.zone);
            server.upstream.reload(self.now, settings, listed);
        }
    }
}
