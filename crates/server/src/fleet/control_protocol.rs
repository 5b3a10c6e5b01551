//! The protocol of the control socket. A query is one line of JSON, `{"ask":WORD}`. Its answer consists of lines of
//! JSON of bounded length: a head, records of one kind, and [`END_LINE`]. A rejected query is answered with an
//! [`ErrorLine`].
//!
//! The JSON keys are fixed because operators' scripts read them; serde renames the fields whose names differ. Keys
//! are written in the order of the fields.

use serde::{Deserialize, Serialize};

/// Maximum length of a query in bytes, including its line feed.
pub(super) const MAX_QUERY_BYTES: u64 = 256;
/// Maximum length of a line of an answer, in bytes. Lines stay far below it, because names are much shorter.
pub(super) const MAX_ANSWER_LINE_BYTES: u64 = 4 << 10;
/// The last line of every answer.
pub(super) const END_LINE: &str = "{\"end\":true}";

/// The subject of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// This server's view of the fleet's membership.
    Members,
    /// The quotas and counters that the fleet shares.
    Quotas,
    /// The backends that this server calls.
    Backends,
}

impl Subject {
    /// All subjects.
    const ALL: [Subject; 3] = [Subject::Members, Subject::Quotas, Subject::Backends];

    /// Returns the word that stands for the subject in a query.
    pub(super) fn word(self) -> &'static str {
        match self {
            Subject::Members => "members",
            Subject::Quotas => "shared",
            Subject::Backends => "routes",
        }
    }

    /// Returns the subject that a word of a query stands for, or `None` for an unknown word.
    pub(super) fn from_word(word: &str) -> Option<Subject> {
        Subject::ALL.into_iter().find(|s| s.word() == word)
    }
}

/// One query. The server rejects a query whose word is unknown.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Query {
    /// The word for the subject.
    #[serde(rename = "ask")]
    pub(super) word: String,
}

/// The answer to a rejected query.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ErrorLine {
    /// Why the query was rejected, as one sentence for the operator.
    #[serde(rename = "wrong")]
    pub(super) reason: String,
}

/// The head of an answer about members. Times are ages in milliseconds.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct MembershipHead {
    /// Name of this server.
    pub(super) name: String,
    /// How much of the fleet this server receives from.
    #[serde(rename = "hears")]
    pub(super) coverage: String,
    /// Time since the coverage last changed.
    pub(super) since_ms: u64,
    /// Number of other members that are not down.
    pub(super) active: usize,
    /// Number of other members that are down without having left and that the view still remembers.
    pub(super) missing: usize,
    /// Age of the last datagram received from any member.
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
    /// Address to which its datagrams are sent.
    pub(super) address: String,
    /// Number of its incarnation; a later incarnation has a greater number.
    #[serde(rename = "life")]
    pub(super) incarnation: u64,
    /// Number of changes of its identity within the incarnation.
    #[serde(rename = "turn")]
    pub(super) revision: u32,
    /// Age of the last datagram received from it; `None` if none was received, and for this server itself.
    #[serde(rename = "heard_ms")]
    pub(super) last_received_ms: Option<u64>,
    /// The local health score that it reports, from 0 (healthy) to 8.
    #[serde(rename = "held_up")]
    pub(super) health_score: u8,
}

/// The head of an answer about quotas and counters.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct QuotasHead {
    /// Name of this server.
    pub(super) name: String,
}

/// The head of an answer about backends, which distinguishes it from the others.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct BackendsHead {
    /// Always true.
    pub(super) backends: bool,
}

/// A record about a quota, or about one key of a counter.
#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub(super) enum QuotasRecord {
    /// A quota.
    Quota(QuotaRecord),
    /// The estimated count of one key.
    Count(CountRecord),
}

/// One quota of calls in flight, as this server knows it. Times are durations in milliseconds.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct QuotaRecord {
    /// The budget's name.
    pub(super) name: String,
    /// Number of calls that the whole fleet may have in flight.
    #[serde(rename = "whole")]
    pub(super) capacity: u32,
    /// Quota that this server may use without any lease; 0 until it is usable.
    #[serde(rename = "own")]
    pub(super) base_quota: u32,
    /// Quota leased to other servers.
    #[serde(rename = "lent")]
    pub(super) granted: u32,
    /// Quota leased from other servers.
    #[serde(rename = "borrowed")]
    pub(super) leased: u32,
    /// Number of calls that this server may have in flight now.
    pub(super) usable: u32,
    /// Number of calls that this server has in flight.
    #[serde(rename = "in_use")]
    pub(super) in_flight: u32,
    /// Number of calls that this server has work for, with some headroom.
    #[serde(rename = "wants")]
    pub(super) demand: u32,
    /// Time since a message about this budget last arrived from any server.
    #[serde(rename = "heard_ms")]
    pub(super) since_contact_ms: Option<u64>,
    /// Time until the base quota is usable.
    #[serde(rename = "waits_ms")]
    pub(super) until_usable_ms: u64,
}

/// One key of a replicated counter: an estimate of its total, and the maximum error of the estimate.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct CountRecord {
    /// The counter's name.
    pub(super) name: String,
    /// Name of the handler or tenant.
    #[serde(rename = "of")]
    pub(super) key: String,
    /// Estimated number of requests in the counter's window, over the whole fleet.
    #[serde(rename = "value")]
    pub(super) estimate: f64,
    /// Maximum error of the estimate.
    #[serde(rename = "bound")]
    pub(super) max_error: f64,
    /// Number of servers whose counts are missing for a part of the window.
    #[serde(rename = "unheard")]
    pub(super) stale_servers: usize,
}

/// One backend, with the figures of outlier detection.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct BackendRecord {
    /// Its name in the operator file.
    pub(super) name: String,
    /// Its state in outlier detection.
    pub(super) state: String,
    /// Its weight in selection, as a fraction of the weight that the operator set.
    pub(super) weight: f64,
    /// Number of recent successes and failures observed by this server.
    #[serde(rename = "seen")]
    pub(super) observed: u64,
    /// Number of recent failures observed by this server.
    #[serde(rename = "bad")]
    pub(super) failures: u64,
    /// Number of other servers whose reports on the backend are taken into account.
    #[serde(rename = "heard_from")]
    pub(super) witnesses: usize,
    /// Weight of those reports, expressed as a number of failures observed by this server.
    #[serde(rename = "heard")]
    pub(super) gossip_failures: f64,
    /// Its zone.
    pub(super) zone: String,
    /// Address to which its calls are sent.
    pub(super) address: String,
    /// Number of attempts that this server has in flight.
    #[serde(rename = "in_hand")]
    pub(super) in_flight: usize,
    /// Recent mean time of successful calls in milliseconds; `None` if there were none.
    #[serde(rename = "pace_ms")]
    pub(super) typical_latency_ms: Option<f64>,
}

#[cfg(test)]
mod tests;
