//! Identity of a server: its name, address, incarnation and lifecycle phase.
//!
//! Defines which of two identities of one name is newer. It holds no state.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Longest name of a server or a zone, in bytes: the limit of a DNS label.
pub const MAX_NAME_BYTES: usize = 63;
/// Incarnations from this value on are invalid: Unix milliseconds of the year 10,889.
const FIRST_INVALID_INCARNATION: u64 = 1 << 48;

/// Lifecycle phase of an incarnation. Phases only advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// Has not received the complete view yet.
    Joining,
    /// Takes part in the fleet.
    Joined,
    /// Accepts no new work.
    Draining,
    /// Has announced its departure.
    Left,
}

/// Orders the identities of one name: a higher version replaces a lower one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdentityVersion {
    /// Unix milliseconds at the start of the process.
    pub incarnation: u64,
    /// Number of changes within the incarnation.
    pub revision: u32,
}

/// One server in one incarnation. Postcard encodes the fields in this order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberIdentity {
    /// Unique name in the fleet.
    pub name: CompactString,
    /// Address to which peers send datagrams.
    pub address: SocketAddr,
    /// Availability zone; may be empty.
    pub zone: CompactString,
    /// Unix milliseconds at the start of the process, or more if an earlier incarnation had a
    /// higher value.
    pub incarnation: u64,
    /// Number of changes of the identity within its incarnation.
    pub revision: u32,
    /// Lifecycle phase.
    pub phase: Phase,
}

/// Whether a name of a server or a zone may appear in a view, a log line and a JSON text without
/// escapes.
pub fn is_valid_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_allowed)
}

impl MemberIdentity {
    /// The identity of an unknown server at an address.
    pub(crate) fn unknown(address: SocketAddr) -> MemberIdentity {
        MemberIdentity {
            name: CompactString::default(),
            address,
            zone: CompactString::default(),
            incarnation: 0,
            revision: 0,
            phase: Phase::Joined,
        }
    }

    /// The version by which identities of one name are ordered.
    pub fn version(&self) -> IdentityVersion {
        IdentityVersion {
            incarnation: self.incarnation,
            revision: self.revision,
        }
    }

    /// Whether this identity replaces another of the same name. The address breaks ties.
    pub(crate) fn compare_precedence(&self, other: &MemberIdentity) -> std::cmp::Ordering {
        (self.version(), self.address).cmp(&(other.version(), other.address))
    }

    /// The same incarnation with the next revision, in a phase.
    pub(crate) fn next_revision(&self, phase: Phase) -> MemberIdentity {
        MemberIdentity {
            revision: self.revision.saturating_add(1),
            phase,
            ..self.clone()
        }
    }

    /// Whether name, zone, incarnation and address are within their bounds.
    pub(crate) fn is_valid(&self) -> bool {
        let valid_zone = self.zone.is_empty() || is_valid_name(&self.zone);
        let valid_incarnation = self.incarnation < FIRST_INVALID_INCARNATION;
        is_valid_name(&self.name) && valid_zone && valid_incarnation && self.address.port() != 0
    }
}

impl foca::Identity for MemberIdentity {
    type Addr = CompactString;

    /// A server that was declared down while it runs continues with the next revision.
    fn renew(&self) -> Option<MemberIdentity> {
        Some(self.next_revision(self.phase))
    }

    fn addr(&self) -> CompactString {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &MemberIdentity) -> bool {
        self.compare_precedence(other).is_gt()
    }
}
