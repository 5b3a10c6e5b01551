//! Datagrams: a head of fixed layout, all numbers little-endian, then a body by kind, written by postcard.
//!
//! | bytes | what |
//! | --- | --- |
//! | 0..2 | `MB` |
//! | 2 | version, 3 |
//! | 3 | kind: 0 SWIM, 1 notice, 2 question for the roster, 3 a page of it, 4 words of a part beside the view |
//! | 4..12 | the fleet's name, xxh3 |
//! | 12..20 | digest of the sender's view |
//! | 20 | how far the sender was held up of late, 0 to 8 |
//! | 21..25 | crc32c of all other bytes |

use crate::identity::MemberIdentity;
use compact_str::CompactString;
use foca::Member;
use serde::{Deserialize, Serialize};

/// Longest datagram, bytes: what passes any path without being cut.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
pub const HEAD: usize = 25;
const MAGIC: [u8; 2] = *b"MB";
const VERSION: u8 = 3;

/// What a body is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Swim,
    Notice,
    Ask,
    Page,
    Beside,
}

const KINDS: [Kind; 5] = [
    Kind::Swim,
    Kind::Notice,
    Kind::Ask,
    Kind::Page,
    Kind::Beside,
];

/// The sender tells a server what it holds under that server's name.
#[derive(Debug, Serialize, Deserialize)]
pub struct Notice {
    pub from: MemberIdentity,
    pub held: Member<MemberIdentity>,
}

/// The next page of the receiver's roster, past a name: of those parts that are not as the sender's are.
#[derive(Debug, Serialize, Deserialize)]
pub struct Ask {
    pub from: MemberIdentity,
    pub after: CompactString,
    pub parts: Vec<u32>,
}

/// Those in the sender's view, in the order of their names.
#[derive(Debug, Serialize, Deserialize)]
pub struct Page {
    pub from: MemberIdentity,
    pub members: Vec<Member<MemberIdentity>>,
    pub last: bool,
}

/// Parts of the server that speak through the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subsystem {
    Quota,
    Upstream,
}

/// What another part of the server says to the same part of another: the view only brings it.
#[derive(Debug, Serialize, Deserialize)]
pub struct Beside<'a> {
    pub from: MemberIdentity,
    pub part: Subsystem,
    #[serde(borrow)]
    pub words: &'a [u8],
}

/// Why a datagram is not heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stranger {
    /// Too short, too long, or not of this protocol.
    Nonsense,
    Version,
    Checksum,
    Fleet,
    /// Its head is whole and its body is not.
    Body,
    /// An address outside the networks.
    Network,
    /// Meant for another.
    Misdirected,
    /// The table is full.
    Full,
    /// A life, or a turn of one, that is over.
    Outlived,
}

pub const STRANGERS: [(Stranger, &str); 9] = [
    (Stranger::Nonsense, "nonsense"),
    (Stranger::Version, "version"),
    (Stranger::Checksum, "checksum"),
    (Stranger::Fleet, "fleet"),
    (Stranger::Body, "body"),
    (Stranger::Network, "network"),
    (Stranger::Misdirected, "misdirected"),
    (Stranger::Full, "full"),
    (Stranger::Outlived, "outlived"),
];

/// What the head says beside its checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    pub kind: Kind,
    pub digest: u64,
    pub held_up: u8,
}

pub fn fleet(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

fn checksum(head: &[u8], body: &[u8]) -> [u8; 4] {
    crc32c::crc32c_append(crc32c::crc32c(&head[..HEAD - 4]), body).to_le_bytes()
}

pub fn write(head: Head, fleet: u64, body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend(MAGIC);
    bytes.push(VERSION);
    bytes.push(
        KINDS
            .iter()
            .position(|k| *k == head.kind)
            .unwrap_or_default() as u8,
    );
    bytes.extend(fleet.to_le_bytes());
    bytes.extend(head.digest.to_le_bytes());
    bytes.push(head.held_up);
    let sum = checksum(&[&bytes[..], &[0; 4]].concat(), body);
    bytes.extend(sum);
    bytes.extend(body);
    bytes
}

/// The head and the body, or why it is not heard.
pub fn read(bytes: &[u8], own: u64) -> Result<(Head, &[u8]), Stranger> {
    if bytes.len() < HEAD || bytes.len() > MAX_DATAGRAM_BYTES || bytes[..2] != MAGIC {
        return Err(Stranger::Nonsense);
    }
    if bytes[2] != VERSION {
        return Err(Stranger::Version);
    }
    let (head, body) = bytes.split_at(HEAD);
    if head[HEAD - 4..] != checksum(head, body) {
        return Err(Stranger::Checksum);
    }
    let eight = |at: usize| u64::from_le_bytes(head[at..at + 8].try_into().unwrap_or_default());
    if eight(4) != own {
        return Err(Stranger::Fleet);
    }
    let kind = *KINDS.get(usize::from(head[3])).ok_or(Stranger::Nonsense)?;
    Ok((
        Head {
            kind,
            digest: eight(12),
            held_up: head[20].min(8),
        },
        body,
    ))
}

pub fn body<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, Stranger> {
    postcard::from_bytes(bytes).map_err(|_| Stranger::Body)
}

/// A body as bytes; none where it would not fit a datagram.
pub fn bytes<T: Serialize>(what: &T) -> Option<Vec<u8>> {
    postcard::to_stdvec(what)
        .ok()
        .filter(|b| b.len() <= MAX_DATAGRAM_BYTES - HEAD)
}
