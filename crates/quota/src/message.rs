//! Messages between the servers of a fleet about budgets and counters, and their codec.
//!
//! Datagrams are encoded with postcard, so the order of the fields and of the variants is the wire
//! format and must not change. The membership layer sends and receives the datagrams, verifies
//! them and limits their size; this module does no I/O.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// One datagram from one server to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Datagram {
    /// Incarnation number of the sender.
    pub(crate) from_incarnation: u64,
    /// Incarnation number of the intended receiver; 0 while the sender does not know it.
    pub(crate) to_incarnation: u64,
    /// Slot of the sender's base quotas; 0 if it has none.
    pub(crate) from_slot: u32,
    pub(crate) messages: Vec<Message>,
}

/// One message. The position of the variant encodes its kind on the wire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    LeaseRequest(LeaseRequest),
    LeaseGrant(LeaseGrant),
    LeaseReturn(LeaseReturn),
    LeaseRecall(LeaseRecall),
    CounterPoll(CounterPoll),
    CounterReply(CounterReply),
    UnitsAvailable(UnitsAvailable),
}

/// Request of a lessee for units of a budget from a lessor.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LeaseRequest {
    pub(crate) budget_hash: u32,
    /// Identifies the request; increases with each request of an incarnation.
    pub(crate) request_id: u32,
    /// Units requested in total, including those that the lessor has already granted.
    pub(crate) units: u32,
    /// Calls that the lessee may have in flight without this lessor's units.
    pub(crate) other_units: u32,
    /// Calls that the lessee has in flight or wants to start, with headroom.
    pub(crate) demand: u32,
    /// Weight of the lessee among the lessees that compete for idle units.
    pub(crate) weight: f32,
}

/// Answer of a lessor to a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LeaseGrant {
    pub(crate) budget_hash: u32,
    pub(crate) request_id: u32,
    /// Units granted in total. Replaces earlier grants.
    pub(crate) units: u32,
    /// Units that the lessor could grant in addition.
    pub(crate) available: u32,
}

/// Return of units of a grant, and of all earlier grants, from a lessee to the lessor.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LeaseReturn {
    pub(crate) budget_hash: u32,
    /// Identifier of the request that the grant answered.
    pub(crate) request_id: u32,
    /// Units that the lessee keeps.
    pub(crate) kept_units: u32,
}

/// Recall of granted units by a lessor.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LeaseRecall {
    pub(crate) budget_hash: u32,
    /// Units that the lessee may keep.
    pub(crate) kept_units: u32,
}

/// Request for the counter snapshots that the receiver has.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct CounterPoll {
    /// Echoed in the reply, so that the sender can bound the reply's age by its own clock.
    pub(crate) poll_id: u32,
}

/// Reply to a [`CounterPoll`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct CounterReply {
    pub(crate) poll_id: u32,
    pub(crate) snapshots: Vec<CounterSnapshot>,
}

/// Offer of idle units by a lessor to a lessee whose latest request was not fully granted.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct UnitsAvailable {
    pub(crate) budget_hash: u32,
    /// Units offered in addition to those that the lessee has.
    pub(crate) units: u32,
}

/// Counts of one incarnation of a server, as of its latest complete time slot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CounterSnapshot {
    /// Hash of the counter's name: see [`name_hash`].
    pub counter_hash: u32,
    /// Name of the server whose counts these are.
    pub server: CompactString,
    /// Incarnation of that server.
    pub incarnation: u64,
    /// Number of the latest complete time slot.
    pub time_slot: u64,
    /// Lower bound on the time from the end of that slot to the sending of the snapshot, in
    /// milliseconds.
    pub min_age_ms: u32,
    /// Upper bound on the same time, in milliseconds.
    pub max_age_ms: u32,
    /// The keys with the largest counts.
    pub heavy_keys: Vec<KeyCounts>,
    /// Upper bound on the count of any key in addition to its listed counts.
    pub max_unlisted: u32,
    /// Upper bound on the count of any key that is not listed.
    pub max_light_key: u32,
    /// Sketch of the keys that are not listed: sums by hashed cell over all time slots.
    pub sketch: Vec<u32>,
}

/// Counts of one key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyCounts {
    /// Hash of the key's name: see [`name_hash`].
    pub key: u32,
    /// Counts by time slot, the latest slot first. Trailing zeros are omitted.
    pub counts: Vec<u32>,
}

/// Error in decoding or encoding a datagram.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(crate) enum CodecError {
    #[error("datagram can't be decoded: {0}")]
    Decode(postcard::Error),
    #[error("datagram can't be encoded: {0}")]
    Encode(postcard::Error),
}

impl Message {
    /// Returns the hash of the budget that a lease message refers to; `None` for a counter message.
    pub(crate) fn budget_hash(&self) -> Option<u32> {
        match self {
            Message::LeaseRequest(request) => Some(request.budget_hash),
            Message::LeaseGrant(grant) => Some(grant.budget_hash),
            Message::LeaseReturn(returned) => Some(returned.budget_hash),
            Message::LeaseRecall(recall) => Some(recall.budget_hash),
            Message::UnitsAvailable(offer) => Some(offer.budget_hash),
            Message::CounterPoll(_) | Message::CounterReply(_) => None,
        }
    }
}

impl Datagram {
    pub(crate) fn decode(bytes: &[u8]) -> Result<Datagram, CodecError> {
        postcard::from_bytes(bytes).map_err(CodecError::Decode)
    }

    pub(crate) fn encode(&self) -> Result<Vec<u8>, CodecError> {
        postcard::to_stdvec(self).map_err(CodecError::Encode)
    }
}

impl CounterSnapshot {
    /// Returns the length of the encoded snapshot in bytes.
    pub(crate) fn encoded_len(&self) -> Result<usize, CodecError> {
        postcard::to_stdvec(self)
            .map(|bytes| bytes.len())
            .map_err(CodecError::Encode)
    }
}

/// Returns the hash that identifies the name of a budget, counter or key in datagrams.
pub fn name_hash(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}

#[cfg(test)]
mod tests;
