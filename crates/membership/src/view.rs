//! Snapshot of a view, for operators.

use crate::connectivity::ConnectivityStatus;
use compact_str::CompactString;
use std::fmt;
use std::net::SocketAddr;

/// State of a member. The displayed words are those of the operators' interface.
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
    /// Unique name in the fleet.
    pub name: CompactString,
    /// State in this server's view.
    pub state: MemberState,
    /// Availability zone; may be empty.
    pub zone: CompactString,
    /// Address to which peers send datagrams.
    pub address: SocketAddr,
    /// Unix milliseconds at the start of the process, or more if an earlier incarnation had a
    /// higher value.
    pub incarnation: u64,
    /// Number of changes of the identity within its incarnation.
    pub revision: u32,
    /// Milliseconds since its last datagram; nothing if none arrived, and for this server.
    pub last_received_ms: Option<u64>,
    /// Health score that it reports: 0 if healthy, at most 8.
    pub health_score: u8,
}

/// All members, this server included, ordered by name.
#[derive(Clone, Debug)]
pub struct View {
    /// Name of this server.
    pub name: CompactString,
    /// How much of the fleet this server reaches.
    pub connectivity: ConnectivityStatus,
    /// Milliseconds since the level of connectivity changed.
    pub since_ms: u64,
    /// Milliseconds since the last datagram of any member; nothing if none arrived.
    pub last_received_ms: Option<u64>,
    /// Digest of the view; equal digests mean equal views.
    pub digest: u64,
    /// All members, ordered by name.
    pub members: Vec<MemberView>,
}
