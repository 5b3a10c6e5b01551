//! The status of backends and the counters, for operators and tests.

use crate::backend_state::BackendState;
use compact_str::CompactString;
use madderbay::time::Duration;
use std::net::SocketAddr;

/// The current status of one backend.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendStatus {
    /// Name of the backend.
    pub name: CompactString,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Zone that it is in.
    pub zone: CompactString,
    /// State of the backend, as this server sees it.
    pub state: BackendState,
    /// Weight in selection as a fraction of the configured weight, 0 to 1.
    pub weight: f64,
    /// Recent successes and failures seen by this server. The number decays with age.
    pub observed: f64,
    /// Recent failures seen by this server. The number decays with age.
    pub failures: f64,
    /// Number of attempts of this server in flight at the backend.
    pub in_flight: usize,
    /// Recent mean latency of the successful calls, if there was any.
    pub typical_latency: Option<Duration>,
    /// Number of other servers whose reports on the backend count.
    pub witnesses: usize,
    /// Weight of these reports, expressed as a number of failures seen by this server itself.
    pub gossip_failures: f64,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    /// First attempts of calls.
    pub first_attempts: u64,
    /// Later attempts of calls, including hedges.
    pub retries: u64,
    /// Retries and hedges that were requested but not allowed by the retry budget.
    pub retries_over_budget: u64,
    /// Hedges sent.
    pub hedges: u64,
    /// Ejections by evaluation. A backend that is ejected again because a probe failed is not counted again.
    pub ejections: u64,
    /// Gossip payloads received.
    pub datagrams_received: u64,
    /// Gossip payloads that were malformed or came from an unknown peer.
    pub datagrams_rejected: u64,
    /// Gossip payloads sent.
    pub datagrams_sent: u64,
    /// Total size of the gossip payloads sent, in bytes.
    pub bytes_sent: u64,
    /// Events dropped because too many were waiting to be taken.
    pub events_dropped: u64,
}
