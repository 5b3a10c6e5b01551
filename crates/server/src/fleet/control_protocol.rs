//! What travels over the control socket. A query is one line of JSON, `{"ask":WORD}`; its answer is lines of JSON of
//! bounded length: a head, records of one kind, and [`END_LINE`]. A refused query is answered by an [`ErrorLine`].
//!
//! The members' names on the wire are fixed, since operators' scripts read them; where they differ from the fields'
//! names, serde renames them. Members are written in the order of the fields.

use serde::{Deserialize, Serialize};

/// Longest query with its line feed, in bytes.
pub(super) const MAX_QUERY_BYTES: u64 = 256;
/// Longest line of an answer, in bytes; names are bounded far more tightly.
pub(super) const MAX_ANSWER_LINE_BYTES: u64 = 4 << 10;
/// The last line of every answer.
pub(super) const END_LINE: &str = "{\"end\":true}";

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
    /// Every subject.
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
    /// The word for the subject.
    #[serde(rename = "ask")]
    pub(super) word: String,
}

/// Why a query was rejected.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ErrorLine {
    /// One sentence for the operator.
    #[serde(rename = "wrong")]
    pub(super) reason: String,
}

/// The head of an answer about members. Times are ages in milliseconds.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct MembershipHead {
    /// This server.
    pub(super) name: String,
    /// How much of the fleet this server receives from.
    #[serde(rename = "hears")]
    pub(super) coverage: String,
    /// How long the coverage has been so.
    pub(super) since_ms: u64,
    /// Other members that are not down.
    pub(super) active: usize,
    /// Other members that are down without having left, while the view remembers them.
    pub(super) missing: usize,
    /// Age of the last datagram of any member.
    #[serde(rename = "last_ms")]
    pub(super) last_received_ms: Option<u64>,
    /// Hash of the view, in hexadecimal; equal views have equal digests.
    pub(super) digest: String,
}

/// One member of the fleet.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct MemberRecord {
    /// Its name, unique in the fleet.
    pub(super) name: String,
    /// Its state in the view.
    pub(super) state: String,
    /// Its zone.
    pub(super) zone: String,
    /// Where its datagrams are sent.
    pub(super) address: String,
    /// Distinguishes its starts; a later one has a greater number.
    #[serde(rename = "life")]
    pub(super) incarnation: u64,
    /// Changes of its identity within the incarnation.
    #[serde(rename = "turn")]
    pub(super) revision: u32,
    /// Age of its last datagram; nothing if none arrived, and for this server.
    #[serde(rename = "heard_ms")]
    pub(super) last_received_ms: Option<u64>,
    /// The health score that it reports: 0 if healthy, at most 8.
    #[serde(rename = "held_up")]
    pub(super) health_score: u8,
}

/// The head of an answer about quotas and counters.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct QuotasHead {
    /// This server.
    pub(super) name: String,
}

/// The head of an answer about backends, which distinguishes it from the others.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct BackendsHead {
    /// Always true.
    pub(super) backends: bool,
}

/// A quota, or what was counted for one key.
#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub(super) enum QuotasRecord {
    /// A quota.
    Quota(QuotaRecord),
    /// What was counted for one key.
    Count(CountRecord),
}

/// One quota of calls in flight, as this server knows it. Times are durations in milliseconds.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct QuotaRecord {
    /// The budget's name.
    pub(super) name: String,
    /// Calls in flight of the whole fleet.
    #[serde(rename = "whole")]
    pub(super) capacity: u32,
    /// What this server may use without any lease; 0 until that is usable.
    #[serde(rename = "own")]
    pub(super) base_quota: u32,
    /// Leased to other servers.
    #[serde(rename = "lent")]
    pub(super) granted: u32,
    /// Leased from other servers.
    #[serde(rename = "borrowed")]
    pub(super) leased: u32,
    /// Calls that this server may have in flight now.
    pub(super) usable: u32,
    /// Calls of this server in flight.
    #[serde(rename = "in_use")]
    pub(super) in_flight: u32,
    /// Calls that this server has work for, with some headroom.
    #[serde(rename = "wants")]
    pub(super) demand: u32,
    /// Time since a message about this budget arrived, from any server.
    #[serde(rename = "heard_ms")]
    pub(super) since_contact_ms: Option<u64>,
    /// Time until the base quota is usable.
    #[serde(rename = "waits_ms")]
    pub(super) until_usable_ms: u64,
}

/// One key of a replicated counter: an estimate of its total, and how far off that may be.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct CountRecord {
    /// The counter's name.
    pub(super) name: String,
    /// The handler or tenant.
    #[serde(rename = "of")]
    pub(super) key: String,
    /// Requests in the window, over the fleet.
    #[serde(rename = "value")]
    pub(super) estimate: f64,
    /// How far the estimate is off at most.
    #[serde(rename = "bound")]
    pub(super) max_error: f64,
    /// Servers whose counts are missing for a part of the window.
    #[serde(rename = "unheard")]
    pub(super) stale_servers: usize,
}

/// One backend, with what outlier detection counts of it.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct BackendRecord {
    /// Its name in the operator file.
    pub(super) name: String,
    /// Its state in outlier detection.
    pub(super) state: String,
    /// Its weight in selection, as a fraction of the weight that the operator set.
    pub(super) weight: f64,
    /// Recent successes and failures seen by this server.
    #[serde(rename = "seen")]
    pub(super) observed: u64,
    /// Recent failures seen by this server.
    #[serde(rename = "bad")]
    pub(super) failures: u64,
    /// Other servers whose reports on it count.
    #[serde(rename = "heard_from")]
    pub(super) witnesses: usize,
    /// What those reports weigh, in failures of this server's own.
    #[serde(rename = "heard")]
    pub(super) gossip_failures: f64,
    /// Its zone.
    pub(super) zone: String,
    /// Where it is called.
    pub(super) address: String,
    /// Attempts of this server in flight.
    #[serde(rename = "in_hand")]
    pub(super) in_flight: usize,
    /// Recent mean time of a successful call, where there was any.
    #[serde(rename = "pace_ms")]
    pub(super) typical_latency_ms: Option<f64>,
}

#[cfg(test)]
mod tests;
