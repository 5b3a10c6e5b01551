//! What servers say to each other of backends, by postcard, in the members' datagrams, which are checked and
//! bounded there. Counts are in eighths, ages in milliseconds.

use serde::{Deserialize, Serialize};

/// Why a payload of gossip could not be read.
#[derive(Debug, thiserror::Error)]
#[error("malformed gossip payload: {0}")]
pub struct GossipDecodeError(#[from] postcard::Error);

/// One datagram: what its sender saw, of its own alone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// It was held up of late: its silence may be its own.
    pub stalled: bool,
    /// Backends that it has seen any call of, and those of them that look bad to it.
    pub backends_seen: u16,
    pub backends_failing: u16,
    /// Its first tries and repeats of late, all groups together.
    pub first_attempts: u32,
    pub retries: u32,
    pub reports: Vec<BackendReport>,
}

impl GossipMessage {
    pub fn encode(&self) -> Vec<u8> {
        // Writing to memory fails for nothing that stands here.
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

/// Of one backend, by its name's hash.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendReport {
    pub name_hash: u32,
    pub successes: u16,
    pub failures: u16,
    pub age_ms: u16,
}

pub const EIGHTH: f64 = 8.0;

pub fn count(n: f64) -> u16 {
    (n * EIGHTH).round().clamp(0.0, f64::from(u16::MAX)) as u16
}

/// A backend's name as it goes over the wire.
pub fn name_hash(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}
