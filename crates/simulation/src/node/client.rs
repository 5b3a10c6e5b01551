//! The client connection of a server, as its clients see it: which requests wait for an answer.

use crate::workload::Handler;
use madderbay::time::Timestamp;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// A connection carries 32 requests; with fewer to spare than two, clients send none.
const MAX_PENDING_REQUESTS: usize = 30;

/// A request that waits for its answer.
pub(crate) struct PendingRequest {
    pub(crate) handler: Handler,
    /// The reference by which the engine and the backends know it.
    pub(crate) reference: String,
    pub(crate) sent_at: Timestamp,
    /// Whether an engine began to run it.
    pub(crate) is_started: bool,
}

/// How an answer matches the requests that were sent.
pub(crate) enum AnswerMatch {
    /// It answers a request that waits.
    Pending(PendingRequest),
    /// It answers no request, or one that was answered before.
    Unexpected,
    /// It comes after its client gave up, or after the process was killed.
    Late,
}

/// The answer to a request, as far as clients look at it.
pub(crate) struct Answer {
    pub(crate) id: u64,
    pub(crate) error_code: Option<i64>,
}

impl Answer {
    /// Reads a line of the server; none if it is not an answer.
    pub(crate) fn parse(line: &str) -> Option<Answer> {
        let members: Value = serde_json::from_str(line).unwrap_or_default();
        Some(Answer {
            id: members["id"].as_u64()?,
            error_code: members["error"]["code"].as_i64(),
        })
    }
}

/// Owns the requests that were sent over one connection.
#[derive(Default)]
pub(crate) struct ClientRequests {
    last_id: u64,
    pending: BTreeMap<u64, PendingRequest>,
    /// Those that were answered, until their time is over.
    answered: BTreeSet<u64>,
}

impl ClientRequests {
    /// Uses up the id of the next request.
    pub(crate) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Whether the connection carries as many requests as clients send over one.
    pub(crate) fn is_full(&self) -> bool {
        self.pending.len() >= MAX_PENDING_REQUESTS
    }

    /// A request is sent.
    pub(crate) fn insert(&mut self, id: u64, request: PendingRequest) {
        self.pending.insert(id, request);
    }

    /// An answer arrives.
    pub(crate) fn match_answer(&mut self, id: u64) -> AnswerMatch {
        if let Some(request) = self.pending.remove(&id) {
            self.answered.insert(id);
            AnswerMatch::Pending(request)
        } else if id > self.last_id || self.answered.contains(&id) {
            AnswerMatch::Unexpected
        } else {
            AnswerMatch::Late
        }
    }

    /// The time of a request is over. Returns it if it was not answered.
    pub(crate) fn expire(&mut self, id: u64) -> Option<PendingRequest> {
        self.answered.remove(&id);
        self.pending.remove(&id)
    }

    /// An engine begins to run a request.
    pub(crate) fn mark_started(&mut self, reference: &str) {
        let mut pending = self.pending.values_mut();
        if let Some(request) = pending.find(|request| request.reference == reference) {
            request.is_started = true;
        }
    }

    /// Whether a request that waits has this reference and an idempotency key.
    pub(crate) fn has_idempotency_key(&self, reference: &str) -> bool {
        self.pending
            .values()
            .any(|request| request.reference == reference && request.handler.has_idempotency_key())
    }

    /// The connection is gone.
    pub(crate) fn drop_pending(&mut self) {
        self.pending.clear();
    }
}
