//! The faults of a simulation, and what an operator does to it. Each holds until it is set anew.

use super::BackendSimulation;
use super::ids::{SimulatedBackendId, SimulatedServerId};
use super::setup::{server_name, zone_name};
use madderbay_upstream::UpstreamManager;

/// What a backend does with its calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendFault {
    /// Calls take `factor` times as long as usual; with 1 the backend is healthy.
    Slow {
        /// The multiple of the usual time.
        factor: f64,
    },
    /// Calls are answered at once as failed.
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

/// A zone whose servers do not reach a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneCut {
    /// Index of the zone.
    pub zone: usize,
    /// The backend that is not reached from there.
    pub backend: SimulatedBackendId,
}

/// Which servers receive no gossip from each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum GossipPartition {
    /// All receive it.
    #[default]
    None,
    /// The servers of the first half and the others receive none from each other.
    Halves,
    /// No server receives any.
    Isolated,
}

impl BackendSimulation {
    /// Sets what a backend does from now on. Calls in flight at one that is down or fails are
    /// disconnected.
    pub fn set_backend_fault(&mut self, backend: SimulatedBackendId, fault: BackendFault) {
        self.backends[backend.index()].fault = fault;
        if matches!(fault, BackendFault::Down | BackendFault::Failing) {
            self.disconnect(backend);
        }
    }

    /// Sets whether nothing that a server sends reaches any backend.
    pub fn set_cut_off(&mut self, server: SimulatedServerId, is_cut_off: bool) {
        self.servers[server.index()].is_cut_off = is_cut_off;
    }

    /// Sets which zones do not reach which backends.
    pub fn set_zone_cuts(&mut self, cuts: Vec<ZoneCut>) {
        self.zone_cuts = cuts;
    }

    /// Sets which servers receive no gossip from each other.
    pub fn set_gossip_partition(&mut self, partition: GossipPartition) {
        self.gossip_partition = partition;
    }

    /// Sets the backends of which a server falsely reports to the others that all calls fail.
    pub fn set_falsely_reported(
        &mut self,
        server: SimulatedServerId,
        backends: Vec<SimulatedBackendId>,
    ) {
        self.servers[server.index()].falsely_reported = backends;
    }

    /// Sets how many calls arrive at each server in a second from now on.
    pub fn set_calls_per_second(&mut self, calls: f64) {
        self.setup.calls_per_second = calls;
    }

    /// A server begins another incarnation without any knowledge of the backends.
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

    /// All servers reload with these backends.
    pub fn reload(&mut self, backends: &[SimulatedBackendId]) {
        for server in &mut self.servers {
            let listed = self.setup.backend_settings(backends.iter().copied());
            let settings = self.setup.settings_in(server.zone);
            server.upstream.reload(self.now, settings, listed);
        }
    }
}
