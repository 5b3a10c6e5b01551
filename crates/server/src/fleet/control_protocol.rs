//! What travels over the control socket. A query is one line of JSON, `{"ask":WORD}`; its answer is lines of JSON of
//! bounded length: a head, records of one kind, and [`END`]. A refused query is answered by an [`ErrorLine`].
//!
//! The members' names on the wire are fixed, since operators' scripts read them; where they differ from the fields'
//! names, serde renames them. Members are written in the order of the fields.

use serde::{Deserialize, Serialize};

/// Longest query with its line feed, in bytes.
pub(super) const MAX_QUERY_BYTES: u64 = 256;
/// Longest line of an answer, in bytes; names are bounded far more tightly.
pub(super) const MAX_ANSWER_LINE_BYTES: u64 = 4 << 10;
/// The last line of every answer.
pub(super) const END: &str = "{\"end\":true}";

/// What can be asked about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The view of the fleet's membership.
    Members,
    /// Quotas and counters that the fleet shares.
    Quotas,
    /// The backends that this server calls.
    Backends,
}

impl Subject {
    const ALL: [Subject; 3] = [Subject::Members, Subject::Quotas, Subject::Backends];

    /// The word for it in a query.
    pub(super) fn word(self) -> &'static str {
        match self {
            Subject::Members => "members",
            Subject::Quotas => "shared",
            Subject::Backends => "routes",
        }
    }

    /// The subject that a query's word stands for, if there is one.
    pub(super) fn from_word(word: &str) -> Option<Subject> {
        Subject::ALL.into_iter().find(|s| s.word() == word)
    }
}

/// One query. The word may be unknown: that is for the server to reject.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Query {
    #[serde(rename = "ask")]
    pub(super) word: String,
}

/// Why a query was rejected.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ErrorLine {
    #[serde(rename = "wrong")]
    pub(super) reason: String,
}

/// The head of an answer about members. Times are ages in milliseconds.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct MembershipHead {
    pub(super) name: String,
    #[serde(rename = "hears")]
    pub(super) coverage: String,
    pub(super) since_ms: u64,
    pub(super) active: usize,
    pub(super) missing: usize,
    #[serde(rename = "last_ms")]
    pub(super) last_received_ms: Option<u64>,
    pub(super) digest: String,
}

/// One member of the fleet.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct MemberRecord {
    pub(super) name: String,
    pub(super) state: String,
    pub(super) zone: String,
    pub(super) address: String,
    #[serde(rename = "life")]
    pub(super) incarnation: u64,
    #[serde(rename = "turn")]
    pub(super) revision: u32,
    #[serde(rename = "heard_ms")]
    pub(super) last_received_ms: Option<u64>,
    #[serde(rename = "held_up")]
    pub(super) health_score: u8,
}

/// A quota, or what was counted for one key.
#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub(super) enum SharedRecord {
    Quota(QuotaRecord),
    Count(CountRecord),
}

/// One quota of calls in flight, as this server knows it. Times are durations in milliseconds.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct QuotaRecord {
    pub(super) name: String,
    #[serde(rename = "whole")]
    pub(super) capacity: u32,
    #[serde(rename = "own")]
    pub(super) base_quota: u32,
    #[serde(rename = "lent")]
    pub(super) granted: u32,
    #[serde(rename = "borrowed")]
    pub(super) leased: u32,
    pub(super) usable: u32,
    #[serde(rename = "in_use")]
    pub(super) in_flight: u32,
    #[serde(rename = "wants")]
    pub(super) demand: u32,
    #[serde(rename = "heard_ms")]
    pub(super) since_contact_ms: Option<u64>,
    #[serde(rename = "waits_ms")]
    pub(super) until_usable_ms: u64,
}

/// One key of a replicated counter: an estimate of its total, and how far off that may be.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct CountRecord {
    pub(super) name: String,
    #[serde(rename = "of")]
    pub(super) key: String,
    #[serde(rename = "value")]
    pub(super) estimate: f64,
    #[serde(rename = "bound")]
    pub(super) max_error: f64,
    #[serde(rename = "unheard")]
    pub(super) stale_servers: usize,
}

/// One backend, with what outlier detection counts of it.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct BackendRecord {
    pub(super) name: String,
    pub(super) state: String,
    pub(super) weight: f64,
    #[serde(rename = "seen")]
    pub(super) observed: u64,
    #[serde(rename = "bad")]
    pub(super) failures: u64,
    #[serde(rename = "heard_from")]
    pub(super) witnesses: usize,
    #[serde(rename = "heard")]
    pub(super) gossip_failures: f64,
    pub(super) zone: String,
    pub(super) address: String,
    #[serde(rename = "in_hand")]
    pub(super) in_flight: usize,
    #[serde(rename = "pace_ms")]
    pub(super) typical_latency_ms: Option<f64>,
}
