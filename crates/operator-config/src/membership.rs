//! The view of the fleet: `[members]`.

use crate::file::{File, Section, is_name};
use ipnet::IpNet;
use std::net::{IpAddr, SocketAddr};

const MEMBERS: [&str; 11] = [
    "advertise",
    "enabled",
    "fleet",
    "join",
    "listen",
    "members",
    "memory_s",
    "networks",
    "probe_ms",
    "suspicion_ms",
    "zone",
];
const FLEET: &str = "madderbay";
/// What is never routed between sites.
const NETWORKS: [&str; 5] = [
    "127.0.0.0/8",
    "10.0.0.0/8",
    "172.16.0.0/12",
    "192.168.0.0/16",
    "fd00::/8",
];
const MEMBERS_MOST: usize = 10_000;

#[derive(Clone, Debug, PartialEq)]
pub struct Members {
    pub listen: SocketAddr,
    /// What others are told.
    pub advertise: SocketAddr,
    pub join: Vec<SocketAddr>,
    pub fleet: String,
    pub networks: Vec<IpNet>,
    pub zone: String,
    /// Others in the view at the most.
    pub most: usize,
    pub probe_ms: u64,
    pub suspicion_ms: u64,
    pub memory_s: u64,
}

pub(crate) fn word(file: &mut File, s: &Section, key: &str, otherwise: &str) -> String {
    let text = s.get(key).unwrap_or(otherwise).to_string();
    if !is_name(&text) {
        file.wrong(
            s,
            key,
            format!("'{text}' is no name of letters, digits, '-', '_' and '.', 63 at most"),
        );
    }
    text
}

fn network(text: &str) -> Option<IpNet> {
    text.parse::<IpNet>()
        .ok()
        .or_else(|| text.parse::<IpAddr>().ok().map(IpNet::from))
}

pub(crate) fn read(file: &mut File) -> Option<Members> {
    let s = file.take_one("members", &MEMBERS)?;
    let enabled = file.switch(&s, "enabled", false);
    let unset = SocketAddr::from(([0, 0, 0, 0], 0));
    if enabled && s.get("listen").is_none() {
        file.wrong(&s, "listen", "has to name an address and port");
    }
    let listen = file.address(&s, "listen", unset);
    let advertise = file.address(&s, "advertise", listen);
    if enabled
        && s.get("listen").is_some()
        && (advertise.ip().is_unspecified() || advertise.port() == 0)
    {
        let what = format!("'{advertise}' is nowhere that others can send to");
        file.wrong(
            &s,
            if s.get("advertise").is_some() {
                "advertise"
            } else {
                "listen"
            },
            what,
        );
    }
    let mut networks = vec![];
    for text in s
        .get("networks")
        .map_or(NETWORKS.to_vec(), |t| t.split(',').map(str::trim).collect())
    {
        match network(text) {
            Some(net) => networks.push(net),
            None => file.wrong(
                &s,
                "networks",
                format!("'{text}' is no network, as in 10.0.0.0/8"),
            ),
        }
    }
    let mut join = vec![];
    for text in s
        .get("join")
        .unwrap_or("")
        .split(',')
        .map(str::trim)
        .filter(|t| !t.is_empty())
    {
        match text.parse::<SocketAddr>() {
            Ok(address) => join.push(address),
            Err(_) => file.wrong(&s, "join", format!("'{text}' is no address and port")),
        }
    }
    let outside = |a: &&SocketAddr| !networks.iter().any(|n| n.contains(&a.ip()));
    let strays: Vec<(&str, SocketAddr)> =
        join.iter().filter(outside).map(|a| ("join", *a)).collect();
    let own = if s.get("advertise").is_some() {
        "advertise"
    } else {
        "listen"
    };
    let own = Some(&advertise)
        .filter(|a| a.port() != 0)
        .filter(outside)
        .map(|a| (own, *a));
    for (key, address) in strays.into_iter().chain(own) {
        file.wrong(&s, key, format!("'{address}' lies in none of the networks"));
    }
    let members = Members {
        listen,
        advertise,
        join,
        networks,
        fleet: word(file, &s, "fleet", FLEET),
        zone: word(file, &s, "zone", ""),
        most: file.number(&s, "members", 1..=MEMBERS_MOST, 2_000),
        probe_ms: file.number(&s, "probe_ms", 50..=10_000, 500),
        suspicion_ms: file.number(&s, "suspicion_ms", 200..=60_000, 3_000),
        memory_s: file.number(&s, "memory_s", 1..=86_400, 60),
    };
    if members.suspicion_ms < 2 * members.probe_ms {
        let what = "a suspicion outlasts two probes, or one lost datagram takes a server down";
        file.wrong(&s, "suspicion_ms", what);
    }
    enabled.then_some(members)
}
