//! Datagram codec. A datagram consists of a header of fixed layout and a body that depends on its
//! kind and is encoded by postcard.
//!
//! All numbers in the header are little-endian.
//!
//! | bytes | content |
//! | --- | --- |
//! | 0..2 | `MB` |
//! | 2 | version, 3 |
//! | 3 | kind: 0 SWIM, 1 notice, 2 roster request, 3 roster page, 4 subsystem message |
//! | 4..12 | hash of the fleet's name, xxh3 |
//! | 12..20 | digest of the sender's view |
//! | 20 | health score of the sender, 0 to 8 |
//! | 21..25 | crc32c of all other bytes |
//!
//! The codec is stateless. It checks the format, version, checksum and fleet of a datagram, but not
//! whether the content is plausible.

mod body;

pub use body::Subsystem;
pub(crate) use body::{
    Notice, RosterPage, RosterRequest, SubsystemMessage, decode_body, encode_body,
};

use crate::datagram_size::{HEADER_BYTES, MAX_DATAGRAM_BYTES};
use crate::error::DatagramError;
use crate::identity::MemberIdentity;
use crate::swim_packet::SwimPacket;
use std::ops::Range;

const MAGIC: [u8; 2] = *b"MB";
const VERSION: u8 = 3;
const MAX_HEALTH_SCORE: u8 = 8;

const MAGIC_BYTES: Range<usize> = 0..2;
const VERSION_BYTE: usize = 2;
const KIND_BYTE: usize = 3;
const FLEET_BYTES: Range<usize> = 4..12;
const DIGEST_BYTES: Range<usize> = 12..20;
const HEALTH_BYTE: usize = 20;
const CHECKSUM_BYTES: Range<usize> = 21..25;

/// Kind of a datagram, which determines the format of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramKind {
    /// A SWIM message with piggybacked updates.
    Swim,
    /// What the sender's view contains for the receiver's name, or an answer to such a notice.
    Notice,
    /// A request for a page of the receiver's roster.
    RosterRequest,
    /// A page of the sender's roster.
    RosterPage,
    /// A message of a subsystem that uses the membership as its transport.
    SubsystemMessage,
}

/// Kinds, indexed by their number in the header.
const KINDS: [DatagramKind; 5] = [
    DatagramKind::Swim,
    DatagramKind::Notice,
    DatagramKind::RosterRequest,
    DatagramKind::RosterPage,
    DatagramKind::SubsystemMessage,
];

/// The fields of a header that the receiver uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Header {
    pub(crate) kind: DatagramKind,
    /// Digest of the sender's view.
    pub(crate) digest: u64,
    /// Health score of the sender: 0 if healthy, at most [`MAX_HEALTH_SCORE`].
    pub(crate) health_score: u8,
}

/// Returns the hash that identifies a fleet in datagrams.
pub(crate) fn fleet_hash(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

fn checksum(header: &[u8], body: &[u8]) -> [u8; 4] {
    let covered = &header[..CHECKSUM_BYTES.start];
    crc32c::crc32c_append(crc32c::crc32c(covered), body).to_le_bytes()
}

/// Encodes a datagram from its header and encoded body.
pub(crate) fn encode(header: Header, fleet_hash: u64, body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend(MAGIC);
    bytes.push(VERSION);
    bytes.push(header.kind as u8);
    bytes.extend(fleet_hash.to_le_bytes());
    bytes.extend(header.digest.to_le_bytes());
    bytes.push(header.health_score);
    bytes.extend(checksum(&bytes, body));
    bytes.extend(body);
    bytes
}

/// Decodes the header and returns it together with the encoded body.
///
/// # Errors
///
/// Fails if the datagram is malformed, damaged, of another protocol version or of another fleet.
pub(crate) fn decode(bytes: &[u8], fleet_hash: u64) -> Result<(Header, &[u8]), DatagramError> {
    let valid_length = (HEADER_BYTES..=MAX_DATAGRAM_BYTES).contains(&bytes.len());
    if !valid_length || bytes[MAGIC_BYTES] != MAGIC {
        return Err(DatagramError::Malformed);
    }
    if bytes[VERSION_BYTE] != VERSION {
        return Err(DatagramError::UnsupportedVersion);
    }
    let (header, body) = bytes.split_at(HEADER_BYTES);
    if header[CHECKSUM_BYTES] != checksum(header, body) {
        return Err(DatagramError::ChecksumMismatch);
    }
    if read_u64(header, FLEET_BYTES) != fleet_hash {
        return Err(DatagramError::ForeignFleet);
    }
    let kind = *KINDS
        .get(usize::from(header[KIND_BYTE]))
        .ok_or(DatagramError::Malformed)?;
    let digest = read_u64(header, DIGEST_BYTES);
    let health_score = header[HEALTH_BYTE].min(MAX_HEALTH_SCORE);
    Ok((
        Header {
            kind,
            digest,
            health_score,
        },
        body,
    ))
}

fn read_u64(header: &[u8], range: Range<usize>) -> u64 {
    u64::from_le_bytes(header[range].try_into().unwrap_or_default())
}

/// Returns the kind and the sender of a datagram, for tools that observe the network.
///
/// # Errors
///
/// Fails if the datagram is not a valid datagram of the named fleet.
pub fn inspect_datagram(
    bytes: &[u8],
    fleet: &str,
) -> Result<(DatagramKind, MemberIdentity), DatagramError> {
    let (header, body) = decode(bytes, fleet_hash(fleet))?;
    let sender = match header.kind {
        DatagramKind::Swim => SwimPacket::decode(body)?.header.src,
        DatagramKind::Notice => decode_body::<Notice>(body)?.from,
        DatagramKind::RosterRequest => decode_body::<RosterRequest>(body)?.from,
        DatagramKind::RosterPage => decode_body::<RosterPage>(body)?.from,
        DatagramKind::SubsystemMessage => decode_body::<SubsystemMessage>(body)?.from,
    };
    Ok((header.kind, sender))
}

#[cfg(test)]
mod tests;
