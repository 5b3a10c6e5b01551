//! Settings of one server's membership.

use crate::networks::AllowedNetworks;
use compact_str::CompactString;
use madderbay::time::Duration;
use std::net::SocketAddr;

/// Identity of this server, addresses of its peers, and timeouts of the protocol.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name, unique in the fleet.
    pub name: CompactString,
    /// Address to which peers send datagrams.
    pub advertise: SocketAddr,
    /// Availability zone; may be empty.
    pub zone: CompactString,
    /// Name of the fleet. Datagrams of other fleets are rejected.
    pub fleet: String,
    /// Addresses contacted at the start, and later whenever no active member has them.
    pub join: Vec<SocketAddr>,
    /// Networks to which every address must belong.
    pub allowed_networks: AllowedNetworks,
    /// Upper bound on the number of other members in the view.
    pub max_members: usize,
    /// Interval between two probes.
    pub probe_interval: Duration,
    /// Time after which other members are asked to probe a member that has not answered.
    pub probe_timeout: Duration,
    /// Time in which a suspected member can refute the suspicion before it is declared down.
    pub suspicion_timeout: Duration,
    /// Time for which the view retains members that are down.
    pub down_retention: Duration,
    /// Whether pauses of this process delay its suspicions. Without this, it behaves as plain SWIM,
    /// which serves for comparison.
    pub local_health_aware: bool,
}
