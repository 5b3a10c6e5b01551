//! The operator's settings: the backends, and the limits for their selection, ejection, retries and gossip.

use compact_str::CompactString;
use madderbay::interface::HandlerId;
use std::net::SocketAddr;

/// One backend as the operator configured it.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendSettings {
    /// Unique name. Its hash identifies the backend in gossip.
    pub name: CompactString,
    /// Address that the backend listens on.
    pub address: SocketAddr,
    /// The zone that the backend is in.
    pub zone: CompactString,
    /// Share of the calls that the backend gets, relative to the weights of the others.
    pub weight: f64,
    /// Indices of the handlers that the backend serves, sorted. Backends with the same handlers form a group.
    pub handlers: Vec<HandlerId>,
}

impl BackendSettings {
    /// Reports whether both describe the same backend, that is, have the same name and address.
    pub(crate) fn is_same_backend(&self, other: &BackendSettings) -> bool {
        self.name == other.name && self.address == other.address
    }
}

/// Limits and switches of selection, ejection, retries and gossip.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This server's own zone. If it is empty, all backends count as local.
    pub zone: CompactString,
    /// The fraction of a group's backends that may be out of selection at a time, 0 to 1.
    pub max_ejected_fraction: f64,
    /// The fraction of the local zone's configured weight that has to be available for all calls to stay local, 0 to 1.
    pub min_local_fraction: f64,
    /// Retries allowed per first attempt, including hedges.
    pub retry_ratio: f64,
    /// Whether hedged requests are sent.
    pub hedging: bool,
    /// Whether this server exchanges reports on backends with other servers and takes theirs into account.
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
