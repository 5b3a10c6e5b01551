//! Bodies of all kinds of datagrams except SWIM. Postcard encodes fields in the order of their
//! declaration and enum variants by their index, so neither may be reordered.

use crate::datagram_size::MAX_BODY_BYTES;
use crate::error::{DatagramError, EncodeError};
use crate::identity::MemberIdentity;
use compact_str::CompactString;
use foca::Member;
use serde::{Deserialize, Serialize};

/// Tells a server what the sender's view contains for that server's name, or answers such a notice.
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
    /// Digests of the buckets of the sender's view. The page omits members of buckets whose digests
    /// are equal.
    pub(crate) buckets: Vec<u32>,
}

/// Members in the sender's view, ordered by name.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RosterPage {
    pub(crate) from: MemberIdentity,
    pub(crate) members: Vec<Member<MemberIdentity>>,
    /// Whether this is the last page of the roster.
    pub(crate) last: bool,
}

/// Subsystems that exchange messages with the same subsystem of other servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subsystem {
    /// Quotas and replicated counters.
    Quota,
    /// State of upstream backends.
    Upstream,
}

/// A message to the same subsystem of another server. The membership does not interpret the
/// payload.
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

/// Encodes a body. Fails if it does not fit in a datagram.
pub(crate) fn encode_body<T: Serialize>(body: &T) -> Result<Vec<u8>, EncodeError> {
    let bytes = postcard::to_stdvec(body)?;
    if bytes.len() > MAX_BODY_BYTES {
        return Err(EncodeError::TooLong { bytes: bytes.len() });
    }
    Ok(bytes)
}
