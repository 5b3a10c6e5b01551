//! Who a server is: its name, where it is spoken to, since which life, and how far that life has come.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Longest name of a server and of a zone, bytes: as long as a host's.
pub const MAX_NAME_BYTES: usize = 63;
/// Lives from here on are nonsense: Unix milliseconds of the year 10,889.
const LIFE_MOST: u64 = 1 << 48;

/// How far a life has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// Has not heard the whole fleet yet.
    Joining,
    In,
    /// Takes no new work.
    Draining,
    /// Has said that it goes.
    Left,
}

/// One server in one life; each word of itself that is newer has a higher `life`, or the same and a higher
/// `turn`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberIdentity {
    pub name: CompactString,
    /// Where others send to.
    pub address: SocketAddr,
    pub zone: CompactString,
    /// Unix milliseconds at the start of the life, or more where an earlier life claimed as much.
    pub incarnation: u64,
    pub turn: u32,
    pub phase: Phase,
}

/// Names and zones that may stand in a view, a log and a line of JSON as they are.
pub fn is_valid_name(name: &str) -> bool {
    let fits = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(fits)
}

impl MemberIdentity {
    /// Whoever listens at an address: what is sent to nobody by name.
    pub(crate) fn whoever(address: SocketAddr) -> MemberIdentity {
        let (name, zone) = (CompactString::default(), CompactString::default());
        MemberIdentity {
            name,
            address,
            zone,
            incarnation: 0,
            turn: 0,
            phase: Phase::In,
        }
    }

    pub fn version(&self) -> (u64, u32) {
        (self.incarnation, self.turn)
    }

    /// The same life, with something newer to say of itself.
    pub(crate) fn next(&self, phase: Phase) -> MemberIdentity {
        MemberIdentity {
            turn: self.turn.saturating_add(1),
            phase,
            ..self.clone()
        }
    }

    pub(crate) fn is_sound(&self) -> bool {
        let zone = self.zone.is_empty() || is_valid_name(&self.zone);
        is_valid_name(&self.name)
            && zone
            && self.incarnation < LIFE_MOST
            && self.address.port() != 0
    }
}

impl foca::Identity for MemberIdentity {
    type Addr = CompactString;

    /// Held down though it lives: the next turn of the same life.
    fn renew(&self) -> Option<MemberIdentity> {
        Some(self.next(self.phase))
    }

    fn addr(&self) -> CompactString {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &MemberIdentity) -> bool {
        (self.version(), self.address) > (other.version(), other.address)
    }
}
