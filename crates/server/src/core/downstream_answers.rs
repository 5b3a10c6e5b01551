//! Answers to clients, for requests and for health checks.
//!
//! [`DownstreamAnswers`] owns the downstream connections and the status that answers carry. It
//! writes an answer to the outbox of the recipient's connection and counts it. Which answer a
//! request gets is decided elsewhere; [`answers`](super::answers) ensures that each request gets
//! one.

use super::server_status::ServerStatus;
use crate::downstream::connections::Connections;
use crate::downstream::response;
use crate::support::metrics::Counters;
use madderbay::time::{Duration, Timestamp};

/// The recipient of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Recipient {
    /// The number of the downstream connection.
    pub(super) connection: u64,
    /// The JSON-RPC id of the request on that connection.
    pub(super) rpc_id: u64,
}

/// The final answer of a request.
#[derive(Clone, Copy, Debug)]
pub(super) enum Answer<'a> {
    /// The request ran and has a result.
    Completed {
        /// The result as the engine wrote it: a JSON string with its quotes.
        result: &'a str,
        /// Whether the run continued without an optional call.
        is_partial: bool,
    },
    /// The request failed after a possible effect.
    Failed,
    /// The request was rejected and never ran.
    Rejected {
        /// How long the client is advised to stay away; zero for no advice.
        retry_after: Duration,
        /// Whether no other server would admit it either.
        is_final: bool,
    },
}

impl<'a> Answer<'a> {
    /// Returns the answer for a run: [`Answer::Failed`] if there is no result.
    pub(super) fn of_run(result: Option<&'a str>, is_partial: bool) -> Answer<'a> {
        match result {
            Some(result) => Answer::Completed { result, is_partial },
            None => Answer::Failed,
        }
    }

    /// Encodes the answer with the load report.
    fn encode(self, out: &mut Vec<u8>, rpc_id: u64, load_report: Option<f64>) {
        match self {
            Answer::Completed { result, .. } => {
                response::completed(out, rpc_id, result, load_report);
            }
            Answer::Failed => response::failed(out, rpc_id, load_report),
            Answer::Rejected {
                retry_after,
                is_final,
            } => response::rejected(out, rpc_id, retry_after, is_final, load_report),
        }
    }

    /// Counts the answer by its kind.
    fn count(self, counters: &mut Counters) {
        match self {
            Answer::Completed { is_partial, .. } => counters.request_completed(is_partial),
            Answer::Failed => counters.request_failed(),
            Answer::Rejected { .. } => counters.request_rejected(),
        }
    }
}

/// The downstream connections, and the status that answers carry.
#[derive(Default)]
pub(super) struct DownstreamAnswers {
    connections: Connections,
    status: ServerStatus,
}

impl DownstreamAnswers {
    /// Returns the connections.
    pub(super) fn connections(&self) -> &Connections {
        &self.connections
    }

    /// Returns the connections, for changes other than answers.
    pub(super) fn connections_mut(&mut self) -> &mut Connections {
        &mut self.connections
    }

    /// Returns the status that this server reports to others.
    pub(super) fn status(&self) -> &ServerStatus {
        &self.status
    }

    /// Returns the status, for the decision module's actions to change.
    pub(super) fn status_mut(&mut self) -> &mut ServerStatus {
        &mut self.status
    }

    /// Writes the final answer of a request, if its connection is still open, and counts it.
    pub(super) fn answer(
        &mut self,
        now: Timestamp,
        recipient: Recipient,
        answer: Answer,
        counters: &mut Counters,
    ) {
        let load_report = self.status.load_report();
        self.connections.answer(now, recipient.connection, |out| {
            answer.encode(out, recipient.rpc_id, load_report);
        });
        answer.count(counters);
    }

    /// Records that a request was answered or withdrawn and is no longer open on its connection.
    pub(super) fn request_settled(&mut self, recipient: Recipient) {
        self.connections
            .request_settled(recipient.connection, recipient.rpc_id);
    }

    /// Answers a health check. A server that is draining is not healthy.
    pub(super) fn answer_health_check(&mut self, now: Timestamp, recipient: Recipient) {
        let is_healthy = self.status.is_healthy() && !self.status.is_draining();
        let load_report = self.status.load_report();
        self.connections.answer(now, recipient.connection, |out| {
            response::health(out, recipient.rpc_id, is_healthy, load_report);
        });
    }

    /// Begins draining: health checks and the registry report it, and every connection is notified
    /// that it will end.
    pub(super) fn begin_draining(&mut self) {
        self.status.begin_draining();
        self.connections.drain();
    }
}
