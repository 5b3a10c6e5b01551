//! A small fleet on an ideal network, for the integration tests.

use madderbay::time::{Duration, Timestamp};
use madderbay_membership::{AllowedNetworks, Membership, Settings};
use std::net::SocketAddr;

/// Largest number of other members in a server's view.
pub(crate) const MAX_MEMBERS: usize = 5;

/// A datagram with its destination.
pub(crate) struct SentDatagram {
    pub(crate) to: SocketAddr,
    pub(crate) bytes: Vec<u8>,
}

/// Returns the address of the n-th server.
pub(crate) fn address(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], 1_000 + n).into()
}

pub(crate) fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000 + ms * 1_000)
}

fn settings(n: u16, fleet: &str) -> Settings {
    Settings {
        name: format!("n{n}").into(),
        advertise: address(n),
        zone: "north".into(),
        fleet: fleet.into(),
        join: vec![address(1)],
        allowed_networks: AllowedNetworks::new(["127.0.0.0/8".parse().expect("a network")]),
        max_members: MAX_MEMBERS,
        probe_interval: Duration::from_millis(500),
        probe_timeout: Duration::from_millis(200),
        suspicion_timeout: Duration::from_millis(3_000),
        down_retention: Duration::from_millis(10_000),
        local_health_aware: true,
    }
}

/// Returns the n-th server of a fleet.
pub(crate) fn server_of(n: u16, fleet: &str) -> Membership {
    Membership::new(at(0), 1_764_576_000_000, u64::from(n), settings(n, fleet))
}

/// Returns the n-th server of the fleet that the tests use.
pub(crate) fn server(n: u16) -> Membership {
    server_of(n, "bookings")
}

/// Runs the servers from one time to another and delivers their datagrams. Returns all datagrams in
/// the order of sending.
pub(crate) fn run(servers: &mut [Membership], from_ms: u64, to_ms: u64) -> Vec<SentDatagram> {
    let mut all = vec![];
    for ms in (from_ms..to_ms).step_by(10) {
        let mut sent = vec![];
        for server in servers.iter_mut() {
            server.handle_timeout(at(ms));
            let from = server.local_identity().address;
            sent.extend(
                server
                    .take_outgoing()
                    .into_iter()
                    .map(|(to, bytes)| (from, SentDatagram { to, bytes })),
            );
        }
        for (from, datagram) in sent {
            let receiver = servers
                .iter_mut()
                .find(|s| s.local_identity().address == datagram.to);
            if let Some(receiver) = receiver {
                receiver.handle_datagram(at(ms), from, &datagram.bytes);
            }
            all.push(datagram);
        }
    }
    all
}
