//! One attempt of a call: where it went, and how it ended.

use crate::backend_id::BackendId;
use madderbay::interface::HandlerId;
use madderbay::time::Timestamp;
use std::net::SocketAddr;

/// One attempt that is in flight at a backend.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamAttempt {
    /// The backend, in the table of the manager that began the attempt.
    pub backend: BackendId,
    /// Where the backend listens.
    pub address: SocketAddr,
    /// When the attempt was made.
    pub started_at: Timestamp,
    pub(crate) handler: HandlerId,
    pub(crate) id: u64,
}

/// How an attempt ended, by how far it came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It was answered in time.
    Success,
    /// The backend rejected it for lack of capacity. It never ran; this shows load and no fault.
    Rejected,
    /// There was no connection, or nothing was sent. It never ran.
    NotConnected,
    /// The backend says that it did not run it, since no run waits for it there. It shows nothing about the backend.
    NotRun,
    /// It ran, or may have run, and failed.
    Failed,
    /// The connection ended before the reply. It may have run.
    Disconnected,
    /// There was no reply within the time allowed. It may have run.
    TimedOut,
    /// A hedge that was sent later was answered first.
    LostToHedge,
    /// This server gave it up for reasons of its own. It shows nothing about the backend.
    Cancelled,
}

impl AttemptOutcome {
    /// Whether it is certain that the backend did not run the call, so that a retry cannot run it twice.
    pub fn never_executed(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected | AttemptOutcome::NotConnected | AttemptOutcome::NotRun
        )
    }

    /// Whether the attempt failed in a way that shows a fault of the backend.
    pub(crate) fn is_failure(self) -> bool {
        match self {
            AttemptOutcome::NotConnected
            | AttemptOutcome::Failed
            | AttemptOutcome::Disconnected
            | AttemptOutcome::TimedOut => true,
            AttemptOutcome::Success
            | AttemptOutcome::Rejected
            | AttemptOutcome::NotRun
            | AttemptOutcome::LostToHedge
            | AttemptOutcome::Cancelled => false,
        }
    }
}
