//! A graceful shutdown: what is still served, and by when all is answered.
//!
//! Owns when it began and when the process stops. Answers nothing itself.

use super::deadlines::{ANSWER_MARGIN, answer_by};
use crate::time::{Duration, Timestamp};

/// A graceful shutdown that has begun.
///
/// Two margins lie between the last answer and the stop of the process: no deadline is later than `ANSWER_MARGIN` before
/// the stop, and each answer leaves as long again before its deadline.
#[derive(Clone, Copy, Debug)]
pub(super) struct Drain {
    began: Timestamp,
    latest_deadline: Timestamp,
}

impl Drain {
    /// Begins now; the process stops after `left`.
    pub(super) fn new(now: Timestamp, time_left: Duration) -> Drain {
        Drain {
            began: now,
            latest_deadline: answer_by(now + time_left),
        }
    }

    /// Whether a request that reached the machine at that time came after the grace period, and is rejected. The period
    /// ends a margin early, so that what is admitted last is still answered within it.
    pub(super) fn is_past_grace_period(&self, reached: Timestamp, grace: Duration) -> bool {
        reached > self.began + grace.saturating_sub(ANSWER_MARGIN)
    }

    /// The last instant at which a client may wait for this server: the latest deadline of any request.
    pub(super) fn latest_deadline(&self) -> Timestamp {
        self.latest_deadline
    }

    /// The latency objective of a request, early enough for its answer to leave before the stop.
    pub(super) fn limit_objective(&self, objective: Timestamp) -> Timestamp {
        objective.min(answer_by(self.latest_deadline))
    }
}
