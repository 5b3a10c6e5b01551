//! The simulated network between the servers: their addresses, and the network faults that a history injects.

use crate::fault::{DatagramFaults, Fault};
use crate::ids::{BackendId, ServerId};
use madderbay::time::Duration;
use madderbay_testkit::fleet::network::SimulatedNetwork;
use madderbay_testkit::fleet::script::Action;
use std::net::{IpAddr, SocketAddr};

/// The delay of a message to another process on the same machine.
pub(crate) const LOCAL_DELAY: Duration = Duration::from_micros(100);
/// The delay of a message to or from a backend.
pub(crate) const UPSTREAM_DELAY: Duration = Duration::from_millis(1);
/// The shortest and the longest delay of a datagram without a fault.
const DATAGRAM_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_micros(200), Duration::from_millis(2));
/// The shortest delay of a datagram while datagrams are delayed by a fault.
const MIN_FAULTY_DELAY: Duration = Duration::from_millis(1);
/// Added to the longest delay that a fault names, in milliseconds.
const DELAY_MARGIN_MS: u64 = 2;

const GOSSIP_PORT: u16 = 7_946;
const BACKEND_PORT: u16 = 7_700;
/// The number of addresses that share their third byte.
const HOSTS_PER_BLOCK: usize = 250;

/// Returns the address of an index in `127.NETWORK.0.0/16`.
fn address(network: u8, index: usize, port: u16) -> SocketAddr {
    let block = (index / HOSTS_PER_BLOCK) as u8;
    let host = (index % HOSTS_PER_BLOCK) as u8 + 1;
    ([127, network, block, host], port).into()
}

/// Returns the index from which [`address`] made an address.
fn index_of(address: SocketAddr) -> Option<usize> {
    let IpAddr::V4(ip) = address.ip() else {
        return None;
    };
    let [_, _, block, host] = ip.octets().map(usize::from);
    (block * HOSTS_PER_BLOCK + host).checked_sub(1)
}

/// Returns the address at which a server receives datagrams.
pub(crate) fn server_address(server: ServerId) -> SocketAddr {
    address(1, server.0, GOSSIP_PORT)
}

/// Returns the address at which a backend receives calls.
pub(crate) fn backend_address(backend: BackendId) -> SocketAddr {
    address(2, backend.0, BACKEND_PORT)
}

/// Returns the backend at an address.
pub(crate) fn backend_at(address: SocketAddr) -> BackendId {
    BackendId(index_of(address).unwrap_or_default())
}

/// The links between the servers, and the faults of datagrams on them.
pub(crate) struct FleetNetwork {
    servers: usize,
    links: SimulatedNetwork,
}

impl FleetNetwork {
    /// Creates a network without faults.
    pub(crate) fn new(servers: usize, seed: u64) -> FleetNetwork {
        FleetNetwork {
            servers,
            links: SimulatedNetwork::new(servers, seed, DATAGRAM_DELAY_RANGE),
        }
    }

    /// Returns the server at an address, if there is one.
    pub(crate) fn server_at(&self, address: SocketAddr) -> Option<ServerId> {
        let index = index_of(address).filter(|index| *index < self.servers)?;
        Some(ServerId(index))
    }

    /// Transmits a datagram. Returns each copy that arrives, with its delay.
    pub(crate) fn transmit(
        &mut self,
        from: ServerId,
        to: ServerId,
        bytes: &[u8],
    ) -> Vec<(Duration, Vec<u8>)> {
        self.links.carry(from.0, to.0, bytes)
    }

    /// Injects a network fault. Other faults have no effect here.
    pub(crate) fn inject(&mut self, fault: Fault) {
        let action = match fault {
            Fault::PartitionHalves => {
                let (even, odd) = (0..self.servers).partition(|server| server % 2 == 0);
                Action::Cut(vec![even, odd])
            }
            Fault::Isolate(server) => Action::Cut(vec![vec![server.0], self.all_but(server)]),
            Fault::BlockOutgoing(server) => Action::OneWay(server.0, self.all_but(server)),
            Fault::Heal => Action::Heal,
            Fault::Datagrams(faults) => datagram_action(faults),
            Fault::ClearDatagramFaults => Action::Network {
                loss: None,
                duplication: None,
                corruption: None,
                delay: None,
            },
            _ => return,
        };
        self.links.act(&action);
    }

    fn all_but(&self, server: ServerId) -> Vec<usize> {
        (0..self.servers)
            .filter(|other| *other != server.0)
            .collect()
    }
}

fn datagram_action(faults: DatagramFaults) -> Action {
    let max_delay = Duration::from_millis(faults.max_delay_ms + DELAY_MARGIN_MS);
    Action::Network {
        loss: Some(faults.loss),
        duplication: Some(faults.duplication),
        corruption: Some(faults.corruption),
        delay: Some((MIN_FAULTY_DELAY, max_delay)),
    }
}
