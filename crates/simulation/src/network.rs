//! The network between the servers: their addresses, and the faults that a history injects into it.

use crate::fault::{DatagramFaults, Fault};
use crate::ids::{BackendId, ServerId};
use madderbay::time::Duration;
use madderbay_testkit::fleet::network::SimulatedNetwork;
use madderbay_testkit::fleet::script::Action;
use std::net::{IpAddr, SocketAddr};

/// The time to what runs on the same machine.
pub(crate) const LOCAL_DELAY: Duration = Duration::from_micros(100);
/// The time to a backend, and back.
pub(crate) const UPSTREAM_DELAY: Duration = Duration::from_millis(1);
/// The least and the greatest time of a datagram without a fault.
const DATAGRAM_DELAY: (Duration, Duration) = (Duration::from_micros(200), Duration::from_millis(2));
/// The least time of a datagram while datagrams are delayed.
const MIN_FAULTY_DELAY: Duration = Duration::from_millis(1);
/// Added to the longest delay that a fault names, in milliseconds.
const DELAY_MARGIN_MS: u64 = 2;

const GOSSIP_PORT: u16 = 7_946;
const BACKEND_PORT: u16 = 7_700;
/// Addresses that share their third byte.
const HOSTS_OF_BLOCK: usize = 250;

/// An address in `127.NETWORK.0.0/16` for an index.
fn address(network: u8, index: usize, port: u16) -> SocketAddr {
    let block = (index / HOSTS_OF_BLOCK) as u8;
    let host = (index % HOSTS_OF_BLOCK) as u8 + 1;
    ([127, network, block, host], port).into()
}

/// The index that [`address`] was made for.
fn index_of(address: SocketAddr) -> Option<usize> {
    let IpAddr::V4(ip) = address.ip() else {
        return None;
    };
    let [_, _, block, host] = ip.octets().map(usize::from);
    (block * HOSTS_OF_BLOCK + host).checked_sub(1)
}

/// Where a server receives datagrams.
pub(crate) fn server_address(server: ServerId) -> SocketAddr {
    address(1, server.0, GOSSIP_PORT)
}

/// Where a backend receives calls.
pub(crate) fn backend_address(backend: BackendId) -> SocketAddr {
    address(2, backend.0, BACKEND_PORT)
}

/// The backend at an address.
pub(crate) fn backend_at(address: SocketAddr) -> BackendId {
    BackendId(index_of(address).unwrap_or_default())
}

/// Owns the connections between servers and what becomes of datagrams on them.
pub(crate) struct FleetNetwork {
    servers: usize,
    links: SimulatedNetwork,
}

impl FleetNetwork {
    /// A network without faults.
    pub(crate) fn new(servers: usize, seed: u64) -> FleetNetwork {
        FleetNetwork {
            servers,
            links: SimulatedNetwork::new(servers, seed, DATAGRAM_DELAY),
        }
    }

    /// The server at an address, if there is one.
    pub(crate) fn server_at(&self, address: SocketAddr) -> Option<ServerId> {
        let index = index_of(address).filter(|index| *index < self.servers)?;
        Some(ServerId(index))
    }

    /// What arrives of a datagram, and after which time.
    pub(crate) fn carry(
        &mut self,
        from: ServerId,
        to: ServerId,
        bytes: &[u8],
    ) -> Vec<(Duration, Vec<u8>)> {
        self.links.carry(from.0, to.0, bytes)
    }

    /// Injects a fault of the network; other faults change nothing here.
    pub(crate) fn inject(&mut self, fault: Fault) {
        let action = match fault {
            Fault::Halves => {
                let (even, odd) = (0..self.servers).partition(|server| server % 2 == 0);
                Action::Cut(vec![even, odd])
            }
            Fault::Isolate(server) => Action::Cut(vec![vec![server.0], self.all_but(server)]),
            Fault::OneWay(server) => Action::OneWay(server.0, self.all_but(server)),
            Fault::Heal => Action::Heal,
            Fault::Datagrams(faults) => datagram_action(faults),
            Fault::Calm => Action::Network {
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
