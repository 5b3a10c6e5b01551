//! Bodies of all kinds but SWIM. Postcard encodes fields in the order of their declaration and enum
//! variants by their index, so neither may be reordered.

use crate::datagram_size::MAX_BODY_BYTES;
use crate::error::{DatagramError, EncodeError};
use crate::identity::MemberIdentity;
use compact_str::CompactString;
use foca::Member;
use serde::{Deserialize, Serialize};

/// Tells a server what the sender's view holds under that server's name, or answers such a notice.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Notice {
    pub(crate) from: MemberIdentity,
    pub(crate) member: Member<MemberIdentity>,
}

/// Requests a page of the receiver's roster.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RosterRequest {
    pub(crate) from: MemberIdentity,
    /// The page starts after this name.
    pub(crate) after: CompactString,
    /// The sender's digest by bucket; buckets that are equal are omitted from the page.
    pub(crate) buckets: Vec<u32>,
}

/// Members of the sender's view, ordered by name.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RosterPage {
    pub(crate) from: MemberIdentity,
    pub(crate) members: Vec<Member<MemberIdentity>>,
    /// Whether no page follows.
    pub(crate) last: bool,
}

/// Subsystems of a server that exchange messages through the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subsystem {
    /// Quotas and replicated counters.
    Quota,
    /// Upstream backends.
    Upstream,
}

/// A message between the same subsystems of two servers. Its payload is opaque here.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct SubsystemMessage<'a> {
    pub(crate) from: MemberIdentity,
    pub(crate) subsystem: Subsystem,
    #[serde(borrow)]
    pub(crate) payload: &'a [u8],
}

/// Decodes a body.
pub(crate) fn decode_body<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, DatagramError> {
    postcard::from_bytes(bytes).map_err(|_| DatagramError::InvalidBody)
}

/// Encodes a body. Fails if it does not fit a datagram.
pub(crate) fn encode_body<T: Serialize>(body: &T) -> Result<Vec<u8>, EncodeError> {
    let bytes = postcard::to_stdvec(body)?;
    if bytes.len() > MAX_BODY_BYTES {
        return Err(EncodeError::TooLong { bytes: bytes.len() });
    }
    Ok(bytes)
}
