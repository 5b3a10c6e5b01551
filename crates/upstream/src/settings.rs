//! What the operator sets: the backends, and the bounds within which they are selected and judged.

use compact_str::CompactString;
use madderbay::interface::HandlerId;
use std::net::SocketAddr;

/// One backend as the operator set it.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendSettings {
    /// Unique name; its hash stands for the backend in gossip.
    pub name: CompactString,
    /// Where it listens.
    pub address: SocketAddr,
    /// The zone it stands in.
    pub zone: CompactString,
    /// Its share of the calls, relative to the weights of the others.
    pub weight: f64,
    /// Indices of the handlers that it serves, sorted. Backends with the same handlers form a group.
    pub handlers: Vec<HandlerId>,
}

impl BackendSettings {
    /// Whether both describe the same backend: name and address are equal.
    pub(crate) fn is_same_backend(&self, other: &BackendSettings) -> bool {
        self.name == other.name && self.address == other.address
    }
}

/// Bounds and switches of selection, ejection, retries and gossip.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This server's own zone; empty where all backends are equally near.
    pub zone: CompactString,
    /// The fraction of a group that may be ejected at a time, 0 to 1.
    pub max_ejected_fraction: f64,
    /// The fraction of the local zone's weight that has to be available for all calls to stay local, 0 to 1.
    pub min_local_fraction: f64,
    /// Retries allowed for each first attempt, hedges among them.
    pub retry_ratio: f64,
    /// Whether hedged requests are sent.
    pub hedging: bool,
    /// Whether judgements are sent to other servers, and theirs are considered.
    pub gossip: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            zone: CompactString::default(),
            max_ejected_fraction: 0.3,
            min_local_fraction: 0.7,
            retry_ratio: 0.1,
            hedging: true,
            gossip: true,
        }
    }
}
