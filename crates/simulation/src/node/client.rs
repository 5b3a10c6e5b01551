//! The client side of a server's client connection: which requests are waiting for an answer.

use crate::workload::Handler;
use madderbay::time::Timestamp;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// The largest number of pending requests on a connection. A connection carries 32 requests; clients always leave two
/// of them free.
const MAX_PENDING_REQUESTS: usize = 30;

/// A request that is waiting for its answer.
pub(crate) struct PendingRequest {
    pub(crate) handler: Handler,
    /// Identifies the request at the engine and the backends.
    pub(crate) reference: String,
    pub(crate) sent_at: Timestamp,
    /// Whether an engine has started to run the request.
    pub(crate) is_started: bool,
}

/// How an answer relates to the requests that were sent.
pub(crate) enum AnswerMatch {
    /// The answer belongs to a pending request.
    Pending(PendingRequest),
    /// The answer belongs to no request that was sent, or to one that was already answered.
    Unexpected,
    /// The answer arrives after its client gave up or after the process was killed.
    Late,
}

/// The parts of an answer that the clients evaluate.
pub(crate) struct Answer {
    pub(crate) id: u64,
    pub(crate) error_code: Option<i64>,
}

impl Answer {
    /// Parses a line from the server. Returns `None` if the line is not an answer.
    pub(crate) fn parse(line: &str) -> Option<Answer> {
        let members: Value = serde_json::from_str(line).unwrap_or_default();
        Some(Answer {
            id: members["id"].as_u64()?,
            error_code: members["error"]["code"].as_i64(),
        })
    }
}

/// The requests that were sent over one connection.
#[derive(Default)]
pub(crate) struct ClientRequests {
    last_id: u64,
    pending: BTreeMap<u64, PendingRequest>,
    /// The ids of answered requests, kept until their answer deadlines.
    answered: BTreeSet<u64>,
}

impl ClientRequests {
    /// Allocates the id of the next request.
    pub(crate) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Reports whether the connection has [`MAX_PENDING_REQUESTS`] pending requests.
    pub(crate) fn is_full(&self) -> bool {
        self.pending.len() >= MAX_PENDING_REQUESTS
    }

    /// Records a request that is sent.
    pub(crate) fn insert(&mut self, id: u64, request: PendingRequest) {
        self.pending.insert(id, request);
    }

    /// Matches an answer with the requests that were sent. A pending request that it answers is no longer pending.
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

    /// Removes a request at its answer deadline. Returns the request if it was not answered.
    pub(crate) fn expire(&mut self, id: u64) -> Option<PendingRequest> {
        self.answered.remove(&id);
        self.pending.remove(&id)
    }

    /// Records that an engine has started to run a request.
    pub(crate) fn mark_started(&mut self, reference: &str) {
        let mut pending = self.pending.values_mut();
        if let Some(request) = pending.find(|request| request.reference == reference) {
            request.is_started = true;
        }
    }

    /// Reports whether a pending request has this reference and an idempotency key.
    pub(crate) fn has_idempotency_key(&self, reference: &str) -> bool {
        self.pending
            .values()
            .any(|request| request.reference == reference && request.handler.has_idempotency_key())
    }

    /// Drops all pending requests because the connection is gone.
    pub(crate) fn drop_pending(&mut self) {
        self.pending.clear();
    }
}
