//! Graceful shutdown: which requests are still served, and by when all of them are answered.
//!
//! [`Drain`] records when the shutdown began and when the process stops. It answers no requests itself.

use super::deadlines::{ANSWER_MARGIN, answer_by};
use crate::time::{Duration, Timestamp};

/// A graceful shutdown that has begun.
///
/// Two margins separate the last answer from the stop of the process: no deadline is later than `ANSWER_MARGIN` before
/// the stop, and each answer is sent another `ANSWER_MARGIN` before its deadline.
#[derive(Clone, Copy, Debug)]
pub(super) struct Drain {
    began: Timestamp,
    latest_deadline: Timestamp,
}

impl Drain {
    /// Begins a shutdown now; the process stops after `time_left`.
    pub(super) fn new(now: Timestamp, time_left: Duration) -> Drain {
        Drain {
            began: now,
            latest_deadline: answer_by(now + time_left),
        }
    }

    /// Reports whether a request that reached the machine at that time arrived after the grace period and is to be
    /// rejected. The period ends one `ANSWER_MARGIN` early, so that the requests admitted last are still answered
    /// within it.
    pub(super) fn is_past_grace_period(&self, reached: Timestamp, grace: Duration) -> bool {
        reached > self.began + grace.saturating_sub(ANSWER_MARGIN)
    }

    /// Returns the latest deadline of any request: the last instant at which a client may wait for this server.
    pub(super) fn latest_deadline(&self) -> Timestamp {
        self.latest_deadline
    }

    /// Returns the latency objective of a request, brought forward if necessary, so that its answer is sent before the
    /// process stops.
    pub(super) fn limit_objective(&self, objective: Timestamp) -> Timestamp {
        objective.min(answer_by(self.latest_deadline))
    }
}
