//! An attempt of a call: which backend it was sent to, and how it ended.

use crate::backend_id::BackendId;
use madderbay::interface::HandlerId;
use madderbay::time::Timestamp;
use std::net::SocketAddr;

/// An attempt of a call that is in flight at a backend.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamAttempt {
    /// Index of the backend in the table of the [`UpstreamManager`](crate::UpstreamManager) that began the attempt.
    pub backend: BackendId,
    /// Address that the backend listens on.
    pub address: SocketAddr,
    /// When the attempt began.
    pub started_at: Timestamp,
    pub(crate) handler: HandlerId,
    pub(crate) id: u64,
}

/// How an attempt ended. The outcomes differ in how far the attempt got: whether it never ran, may have run, or ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The backend answered in time.
    Success,
    /// The backend rejected the attempt for lack of capacity. The attempt never ran. This indicates load, not a fault.
    Rejected,
    /// No connection was established, or nothing was sent. The attempt never ran.
    NotConnected,
    /// The backend replied that it did not run the attempt, because it has no run that waits for it. This says nothing
    /// about the health of the backend.
    NotRun,
    /// The attempt ran, or may have run, and failed.
    Failed,
    /// The connection was closed before the reply. The attempt may have run.
    Disconnected,
    /// No reply arrived within the timeout. The attempt may have run.
    TimedOut,
    /// A hedge that was sent later was answered first.
    LostToHedge,
    /// This server gave up on the attempt for reasons of its own. This says nothing about the health of the backend.
    Cancelled,
}

impl AttemptOutcome {
    /// Reports whether the backend certainly did not run the call, so that a retry cannot run it twice.
    pub fn never_executed(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected | AttemptOutcome::NotConnected | AttemptOutcome::NotRun
        )
    }

    /// Reports whether the outcome indicates a fault of the backend.
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
