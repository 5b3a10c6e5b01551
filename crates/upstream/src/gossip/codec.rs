//! The encoding of gossip payloads: postcard, inside a datagram of the membership protocol, which checks the datagram
//! and bounds its size. The order of the fields is part of the format: postcard writes them in the order of their
//! declaration.

use serde::{Deserialize, Serialize};

/// Numbers of calls are sent in units of one eighth of a call.
const UNITS_PER_CALL: f64 = 8.0;

/// The error returned if a gossip payload cannot be decoded.
#[derive(Debug, thiserror::Error)]
#[error("malformed gossip payload: {0}")]
pub struct GossipDecodeError(#[from] postcard::Error);

/// A gossip payload: what its sender observed itself. It contains nothing that the sender received from others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Whether the sender's process was stalled recently, so that a missing reply may be its own fault.
    pub stalled: bool,
    /// Number of backends of which the sender has recent results.
    pub backends_seen: u16,
    /// How many of these look faulty to the sender.
    pub backends_failing: u16,
    /// The sender's recent first attempts, over all groups of backends.
    pub first_attempts: u32,
    /// The sender's recent retries, over all groups of backends.
    pub retries: u32,
    /// Reports on individual backends.
    pub reports: Vec<BackendReport>,
}

impl GossipMessage {
    /// Encodes the payload.
    pub fn encode(&self) -> Vec<u8> {
        // Serializing these types to memory cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a payload.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a message of this format.
    pub fn decode(bytes: &[u8]) -> Result<GossipMessage, GossipDecodeError> {
        Ok(postcard::from_bytes(bytes)?)
    }
}

/// What the sender observed of one backend.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendReport {
    /// [`name_hash`] of the backend's name.
    pub name_hash: u32,
    /// Recent successes, in eighths.
    pub successes: u16,
    /// Recent failures, in eighths.
    pub failures: u16,
    /// How long ago this was observed, in milliseconds.
    pub age_ms: u16,
}

/// Converts a number of calls to eighths, as in a report. Saturates at the largest number that a report can hold.
pub(crate) fn to_eighths(calls: f64) -> u16 {
    (calls * UNITS_PER_CALL)
        .round()
        .clamp(0.0, f64::from(u16::MAX)) as u16
}

/// Converts a number in eighths, as in a report, to a number of calls.
pub(crate) fn from_eighths(eighths: u16) -> f64 {
    f64::from(eighths) / UNITS_PER_CALL
}

/// Returns the hash that identifies a backend in gossip.
pub fn name_hash(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}
