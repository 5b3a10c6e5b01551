//! Identity of a server: its name, address, incarnation and lifecycle phase.
//!
//! Also defines which of two identities with the same name is newer.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum length of the name of a server or a zone, in bytes: the limit of a DNS label.
pub const MAX_NAME_BYTES: usize = 63;
/// Incarnations from this value on are invalid. It corresponds to the year 10,889 in Unix
/// milliseconds.
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

/// Orders identities that have the same name. An identity with a higher version replaces one with a
/// lower version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct IdentityVersion {
    /// Start time of the process in Unix milliseconds, or a higher value if an earlier incarnation
    /// already had one.
    pub incarnation: u64,
    /// Number of times the identity changed within its incarnation.
    pub revision: u32,
}

/// Identity of a server in one incarnation. Postcard encodes the fields in this order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberIdentity {
    /// Name, unique in the fleet.
    pub name: CompactString,
    /// Address to which peers send datagrams.
    pub address: SocketAddr,
    /// Availability zone; may be empty.
    pub zone: CompactString,
    /// Start time of the process in Unix milliseconds, or a higher value if an earlier incarnation
    /// already had one.
    pub incarnation: u64,
    /// Number of times the identity changed within its incarnation.
    pub revision: u32,
    /// Lifecycle phase.
    pub phase: Phase,
}

/// Reports whether a name of a server or a zone is valid: not empty, at most [`MAX_NAME_BYTES`]
/// long, and free of characters that would need escapes in a view, a log line or JSON text.
pub fn is_valid_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_allowed)
}

impl MemberIdentity {
    /// Returns a placeholder identity for an unknown server at an address.
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

    /// Returns the version by which identities of the same name are ordered.
    pub fn version(&self) -> IdentityVersion {
        IdentityVersion {
            incarnation: self.incarnation,
            revision: self.revision,
        }
    }

    /// Orders this identity relative to another of the same name; the greater one replaces the
    /// other. The address breaks ties.
    pub(crate) fn compare_precedence(&self, other: &MemberIdentity) -> std::cmp::Ordering {
        (self.version(), self.address).cmp(&(other.version(), other.address))
    }

    /// Returns the identity with the next revision of this incarnation and the given phase.
    pub(crate) fn next_revision(&self, phase: Phase) -> MemberIdentity {
        MemberIdentity {
            revision: self.revision.saturating_add(1),
            phase,
            ..self.clone()
        }
    }

    /// Reports whether name, zone, incarnation and address are valid.
    pub(crate) fn is_valid(&self) -> bool {
        let valid_zone = self.zone.is_empty() || is_valid_name(&self.zone);
        let valid_incarnation = self.incarnation < FIRST_INVALID_INCARNATION;
        is_valid_name(&self.name) && valid_zone && valid_incarnation && self.address.port() != 0
    }
}

impl foca::Identity for MemberIdentity {
    type Addr = CompactString;

    /// A running server that was declared down continues with the next revision.
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
