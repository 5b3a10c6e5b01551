//! Settings of the fleet's membership (`[members]`).

use crate::error::Problem;
use crate::file::OperatorFile;
use crate::keys::{AddressKey, ENABLED, NameKey, NumberKey, split_list};
use crate::section::Section;
use ipnet::IpNet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4};

/// Defaults to the address of the key `listen`.
const ADVERTISE: AddressKey = AddressKey {
    name: "advertise",
    default: UNSET_ADDRESS,
};
const FLEET: NameKey<'static> = NameKey {
    name: "fleet",
    default: "madderbay",
};
const JOIN: &str = "join";
/// Required if the membership is enabled; the default is used only if the key is absent.
const LISTEN: AddressKey = AddressKey {
    name: "listen",
    default: UNSET_ADDRESS,
};
const MAX_MEMBERS: NumberKey<usize> = NumberKey {
    name: "members",
    range: 1..=10_000,
    default: 2_000,
};
const DOWN_RETENTION_S: NumberKey<u64> = NumberKey {
    name: "memory_s",
    range: 1..=86_400,
    default: 60,
};
const NETWORKS: &str = "networks";
const PROBE_MS: NumberKey<u64> = NumberKey {
    name: "probe_ms",
    range: 50..=10_000,
    default: 500,
};
const SUSPICION_MS: NumberKey<u64> = NumberKey {
    name: "suspicion_ms",
    range: 200..=60_000,
    default: 3_000,
};
const ZONE: NameKey<'static> = NameKey {
    name: "zone",
    default: "",
};
const KEYS: &[&str] = &[
    ADVERTISE.name,
    ENABLED.name,
    FLEET.name,
    JOIN,
    LISTEN.name,
    MAX_MEMBERS.name,
    DOWN_RETENTION_S.name,
    NETWORKS,
    PROBE_MS.name,
    SUSPICION_MS.name,
    ZONE.name,
];

/// Represents an address that is not set; port 0 is not a valid port.
const UNSET_ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));
/// Networks that are allowed by default: those that are not routed between sites.
const DEFAULT_NETWORKS: [&str; 5] = [
    "127.0.0.0/8",
    "10.0.0.0/8",
    "172.16.0.0/12",
    "192.168.0.0/16",
    "fd00::/8",
];
/// Minimum length of a suspicion, in probe intervals.
const MIN_PROBES_IN_SUSPICION: u64 = 2;

/// Settings of the fleet's membership.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipConfig {
    /// Address on which this server receives datagrams.
    pub listen: SocketAddr,
    /// Address to which other servers send their datagrams.
    pub advertise: SocketAddr,
    /// Addresses of members that are contacted at the start.
    pub join: Vec<SocketAddr>,
    /// Name of the fleet.
    pub fleet: String,
    /// Networks to one of which every address of the fleet must belong.
    pub networks: Vec<IpNet>,
    /// Availability zone of this server; may be empty.
    pub zone: String,
    /// Upper bound on the number of other members in the view.
    pub max_members: usize,
    /// Interval between two probes of members, in milliseconds.
    pub probe_ms: u64,
    /// Time that a suspected member has to refute the suspicion, in milliseconds.
    pub suspicion_ms: u64,
    /// Time for which members that are down are remembered, in seconds.
    pub down_retention_s: u64,
}

/// Reads `[members]`.
pub(crate) fn read(file: &mut OperatorFile) -> Option<MembershipConfig> {
    let section = file.take_one("members", KEYS)?;
    let enabled = file.word(&section, &ENABLED);
    let listen = file.address(&section, &LISTEN);
    let advertise = file.address(&section, &ADVERTISE.with_default(listen));
    let members = MembershipConfig {
        listen,
        advertise,
        join: read_join(file, &section),
        networks: read_networks(file, &section),
        fleet: file.name(&section, &FLEET),
        zone: file.name(&section, &ZONE),
        max_members: file.number(&section, MAX_MEMBERS),
        probe_ms: file.number(&section, PROBE_MS),
        suspicion_ms: file.number(&section, SUSPICION_MS),
        down_retention_s: file.number(&section, DOWN_RETENTION_S),
    };
    if enabled {
        check_reachable(file, &section, advertise);
    }
    check_networks(file, &section, &members);
    if members.suspicion_ms < MIN_PROBES_IN_SUSPICION * members.probe_ms {
        file.key_error(&section, SUSPICION_MS.name, Problem::SuspicionTooShort);
    }
    enabled.then_some(members)
}

fn read_join(file: &mut OperatorFile, section: &Section) -> Vec<SocketAddr> {
    let mut addresses = vec![];
    for text in split_list(section.get(JOIN).unwrap_or("")) {
        match text.parse() {
            Ok(address) => addresses.push(address),
            Err(_) => file.key_error(section, JOIN, Problem::InvalidAddress(text.into())),
        }
    }
    addresses
}

/// Reads the networks. An empty entry is an error, unlike with [`split_list`], which skips it.
fn read_networks(file: &mut OperatorFile, section: &Section) -> Vec<IpNet> {
    let texts: Vec<&str> = match section.get(NETWORKS) {
        Some(text) => text.split(',').map(str::trim).collect(),
        None => DEFAULT_NETWORKS.to_vec(),
    };
    let mut networks = vec![];
    for text in texts {
        match parse_network(text) {
            Some(network) => networks.push(network),
            None => file.key_error(section, NETWORKS, Problem::InvalidNetwork(text.into())),
        }
    }
    networks
}

/// Parses a network, or a single address as a network of one address.
fn parse_network(text: &str) -> Option<IpNet> {
    let network = text.parse::<IpNet>().ok();
    network.or_else(|| text.parse::<IpAddr>().ok().map(IpNet::from))
}

/// Reports an error if other servers can't send datagrams to this one.
fn check_reachable(file: &mut OperatorFile, section: &Section, advertise: SocketAddr) {
    if section.get(LISTEN.name).is_none() {
        file.key_error(section, LISTEN.name, Problem::NoListenAddress);
    } else if advertise.ip().is_unspecified() || advertise.port() == 0 {
        let problem = Problem::UnusableAdvertisedAddress(advertise);
        file.key_error(section, advertising_key(section), problem);
    }
}

/// Reports addresses that belong to none of the networks, including the address that this server
/// advertises.
fn check_networks(file: &mut OperatorFile, section: &Section, members: &MembershipConfig) {
    let advertised = Some(&members.advertise).filter(|address| address.port() != 0);
    let advertised = advertised.map(|address| (advertising_key(section), address));
    let join = members.join.iter().map(|address| (JOIN, address));
    for (key, address) in join.chain(advertised) {
        if !members.networks.iter().any(|n| n.contains(&address.ip())) {
            file.key_error(section, key, Problem::OutsideOfNetworks(*address));
        }
    }
}

/// Returns the key from which the advertised address is taken.
fn advertising_key(section: &Section) -> &'static str {
    if section.get(ADVERTISE.name).is_some() {
        ADVERTISE.name
    } else {
        LISTEN.name
    }
}
