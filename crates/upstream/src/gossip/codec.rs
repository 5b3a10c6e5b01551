//! The payload of gossip, in postcard, inside a datagram of the membership protocol, which checks and bounds it. The
//! order of fields is the format: postcard writes them as they are declared.

use serde::{Deserialize, Serialize};

/// Numbers of calls are sent in units of an eighth.
const UNITS_PER_CALL: f64 = 8.0;

/// Why a payload of gossip could not be read.
#[derive(Debug, thiserror::Error)]
#[error("malformed gossip payload: {0}")]
pub struct GossipDecodeError(#[from] postcard::Error);

/// One payload: what its sender saw itself. Nothing in it is passed on from others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The sender's process was stalled recently, so that a missing reply may be its own fault.
    pub stalled: bool,
    /// Backends of which the sender saw any recent call.
    pub backends_seen: u16,
    /// Those of them that look faulty to the sender.
    pub backends_failing: u16,
    /// The sender's recent first attempts, of all groups.
    pub first_attempts: u32,
    /// The sender's recent retries, of all groups.
    pub retries: u32,
    /// Reports on single backends.
    pub reports: Vec<BackendReport>,
}

impl GossipMessage {
    /// The bytes of the payload.
    pub fn encode(&self) -> Vec<u8> {
        // Writing these types to memory cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a payload.
    ///
    /// # Errors
    ///
    /// Fails where the bytes are no message of this form.
    pub fn decode(bytes: &[u8]) -> Result<GossipMessage, GossipDecodeError> {
        Ok(postcard::from_bytes(bytes)?)
    }
}

/// What the sender saw of one backend.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendReport {
    /// [`name_hash`] of the backend's name.
    pub name_hash: u32,
    /// Recent successes, in eighths.
    pub successes: u16,
    /// Recent failures, in eighths.
    pub failures: u16,
    /// How long ago this was seen, in milliseconds.
    pub age_ms: u16,
}

/// A number of calls in eighths, as in a report.
pub(crate) fn to_eighths(calls: f64) -> u16 {
    (calls * UNITS_PER_CALL)
        .round()
        .clamp(0.0, f64::from(u16::MAX)) as u16
}

/// The number of calls that a report gives in eighths.
pub(crate) fn from_eighths(eighths: u16) -> f64 {
    f64::from(eighths) / UNITS_PER_CALL
}

/// The hash that stands for a backend's name in gossip.
pub fn name_hash(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}
