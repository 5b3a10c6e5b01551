//! Snapshot of the view, for operators.

use crate::connectivity::ConnectivityStatus;
use compact_str::CompactString;
use std::fmt;
use std::net::SocketAddr;

/// State of a member. The displayed words are part of the operator interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MemberState {
    /// Has not received the complete view yet.
    Joining,
    /// Takes part in the fleet.
    Alive,
    /// Did not answer probes and has not refuted the suspicion yet.
    Suspect,
    /// Accepts no new work.
    Draining,
    /// Did not refute the suspicion in time.
    Down,
    /// Has announced its departure.
    Left,
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            MemberState::Joining => "joining",
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Draining => "draining",
            MemberState::Down => "down",
            MemberState::Left => "left",
        })
    }
}

/// One member of a view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Name, unique in the fleet.
    pub name: CompactString,
    /// The member's state in this server's view.
    pub state: MemberState,
    /// Availability zone; may be empty.
    pub zone: CompactString,
    /// Address to which peers send datagrams.
    pub address: SocketAddr,
    /// Start time of the process in Unix milliseconds, or a higher value if an earlier incarnation
    /// already had one.
    pub incarnation: u64,
    /// Number of times the identity changed within its incarnation.
    pub revision: u32,
    /// Milliseconds since the member's last datagram; `None` if no datagram has arrived, and for
    /// this server itself.
    pub last_received_ms: Option<u64>,
    /// Health score that the member reports: 0 if healthy, at most 8.
    pub health_score: u8,
}

/// The members of the fleet as one server sees them, including that server itself.
#[derive(Clone, Debug)]
pub struct View {
    /// Name of this server.
    pub name: CompactString,
    /// How much of the fleet this server receives from.
    pub connectivity: ConnectivityStatus,
    /// Milliseconds since the connectivity level changed.
    pub since_ms: u64,
    /// Milliseconds since the last datagram from any member; `None` if no datagram has arrived.
    pub last_received_ms: Option<u64>,
    /// Digest of the view; equal digests mean equal views.
    pub digest: u64,
    /// All members, ordered by name.
    pub members: Vec<MemberView>,
}
