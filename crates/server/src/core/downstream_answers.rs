//! What goes out to clients: the answers of requests and of health checks.
//!
//! Owns: the downstream connections, and the status that answers carry. Is given: an answer and who it is for; it
//! writes the answer to the connection's outbox and counts it. Never decides which answer a request gets, and does not
//! know which requests have one: [`answers`](super::answers) sees to it that each gets one.

use super::server_status::ServerStatus;
use crate::downstream::connections::Connections;
use crate::downstream::response;
use crate::support::metrics::Counters;
use madderbay::time::{Duration, Timestamp};

/// Who an answer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Recipient {
    /// The number of the downstream connection.
    pub(super) connection: u64,
    /// The JSON-RPC id of the call on that connection.
    pub(super) rpc_id: u64,
}

/// The final answer of a request.
#[derive(Clone, Copy, Debug)]
pub(super) enum Answer<'a> {
    /// The request ran and has a result.
    Completed {
        /// The result as the engine wrote it: a JSON string with its quotes.
        result: &'a str,
        /// The run went on without an optional call.
        is_partial: bool,
    },
    /// The request failed after a possible effect.
    Failed,
    /// The request was rejected and never ran.
    Rejected {
        /// How long the client is advised to stay away; zero for no advice.
        retry_after: Duration,
        /// No other server would admit it either.
        is_final: bool,
    },
}

impl<'a> Answer<'a> {
    /// The answer of a run: failed without a result.
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

    /// Counts the answer as what it is.
    fn count(self, counters: &mut Counters) {
        match self {
            Answer::Completed { is_partial, .. } => counters.request_completed(is_partial),
            Answer::Failed => counters.request_failed(),
            Answer::Rejected { .. } => counters.request_rejected(),
        }
    }
}

/// The downstream connections, with what answers say of this server.
#[derive(Default)]
pub(super) struct DownstreamAnswers {
    connections: Connections,
    status: ServerStatus,
}

impl DownstreamAnswers {
    /// The connections.
    pub(super) fn connections(&self) -> &Connections {
        &self.connections
    }

    /// The connections, for what happens on them beside answers.
    pub(super) fn connections_mut(&mut self) -> &mut Connections {
        &mut self.connections
    }

    /// What this server tells others of itself.
    pub(super) fn status(&self) -> &ServerStatus {
        &self.status
    }

    /// The same, for the decision module's actions to change.
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

    /// A request was answered or withdrawn, and is not open on its connection any more.
    pub(super) fn request_settled(&mut self, recipient: Recipient) {
        self.connections
            .request_settled(recipient.connection, recipient.rpc_id);
    }

    /// Answers a health check: not healthy while draining.
    pub(super) fn answer_health_check(&mut self, now: Timestamp, recipient: Recipient) {
        let is_healthy = self.status.is_healthy() && !self.status.is_draining();
        let load_report = self.status.load_report();
        self.connections.answer(now, recipient.connection, |out| {
            response::health(out, recipient.rpc_id, is_healthy, load_report);
        });
    }

    /// Begins draining: health checks and the registry are told so, and every connection is notified that it is to
    /// end.
    pub(super) fn begin_draining(&mut self) {
        self.status.begin_draining();
        self.connections.drain();
    }
}
