//! What is shown of backends and counted, for operators and tests.

use crate::backend_state::BackendState;
use compact_str::CompactString;
use madderbay::time::Duration;
use std::net::SocketAddr;

/// One backend as it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendStatus {
    /// Its name.
    pub name: CompactString,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: CompactString,
    /// Its state.
    pub state: BackendState,
    /// Its weight in selection as a fraction of the weight that the operator set, 0 to 1.
    pub weight: f64,
    /// Recent successes and failures seen by this server; older ones count less.
    pub observed: f64,
    /// Recent failures seen by this server; older ones count less.
    pub failures: f64,
    /// Attempts of this server in flight.
    pub in_flight: usize,
    /// Recent mean time of a successful call, where there was any.
    pub typical_latency: Option<Duration>,
    /// Other servers whose reports on it count.
    pub witnesses: usize,
    /// What those reports weigh, in failures of this server's own.
    pub gossip_failures: f64,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    /// First attempts of calls.
    pub first_attempts: u64,
    /// Later attempts of calls, hedges among them.
    pub retries: u64,
    /// Retries that were wanted and that the retry budget did not allow.
    pub retries_over_budget: u64,
    /// Hedges.
    pub hedges: u64,
    /// Ejections by evaluation; a backend that fails its probes is not counted again.
    pub ejections: u64,
    /// Gossip payloads received.
    pub datagrams_received: u64,
    /// Gossip payloads that were malformed or of an unknown peer.
    pub datagrams_rejected: u64,
    /// Gossip payloads sent.
    pub datagrams_sent: u64,
    /// Bytes of these.
    pub bytes_sent: u64,
    /// Events dropped because too many waited to be taken.
    pub events_dropped: u64,
}
