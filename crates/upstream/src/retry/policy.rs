//! The retry policy: whether a call whose attempt failed is worth and safe to attempt once more.
//!
//! [`RetryPolicy`] is given what is known of the call, [`RetryTarget`] what is known of the backends; each refusal has
//! its reason. Nothing here picks a backend, spends from the retry budget, draws a random number or sends anything.

use crate::attempt::AttemptOutcome;
use crate::backend_id::BackendId;
use madderbay::time::Duration;

/// A call that has no attempt in flight since its last one failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedCall {
    /// How its last attempt ended.
    pub outcome: AttemptOutcome,
    /// Whether the call may run twice.
    pub is_idempotent: bool,
    /// Time until the deadline of the call; zero where it has passed, or was never set.
    pub time_left: Duration,
}

/// Why a call gets no further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RetryRefusal {
    /// The previous attempt may have run, and the call may not run twice.
    #[error("the call may have run, and is not idempotent")]
    MayHaveRun,
    /// A call typically takes all the time that is left, or longer.
    #[error("not enough time is left")]
    NoTimeLeft,
    /// The handler of the call has no backends; they may have been removed since the previous attempt.
    #[error("the handler has no backends")]
    NoBackends,
    /// The attempt has to go to another backend than the previous one, and there is none in selection.
    #[error("there is no other backend")]
    NoOtherBackend,
    /// The retry budget of the group of backends is spent.
    #[error("the retry budget is spent")]
    BudgetSpent,
}

/// Decides whether a call is attempted once more, by the call alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// How long a call typically takes; zero where that is not known.
    pub typical_latency: Duration,
}

impl RetryPolicy {
    /// Whether a failed call may be retried at once.
    ///
    /// # Errors
    /// [`RetryRefusal::MayHaveRun`] where the call could run twice although it may not, else
    /// [`RetryRefusal::NoTimeLeft`] where a further attempt would typically end after the deadline.
    pub fn check(&self, call: FailedCall) -> Result<(), RetryRefusal> {
        if !call.outcome.never_executed() && !call.is_idempotent {
            return Err(RetryRefusal::MayHaveRun);
        }
        self.check_time_left(call.time_left)
    }

    /// Whether there is time for a further attempt.
    ///
    /// # Errors
    /// [`RetryRefusal::NoTimeLeft`] unless more time is left than a call typically takes.
    pub(crate) fn check_time_left(&self, time_left: Duration) -> Result<(), RetryRefusal> {
        if time_left > self.typical_latency {
            Ok(())
        } else {
            Err(RetryRefusal::NoTimeLeft)
        }
    }
}

/// Where a further attempt of a call may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryTarget {
    /// Only to another backend: a retry at once, or a hedge.
    OtherBackend,
    /// To another backend if there is one in selection, else to the same one: a retry after a backoff.
    AnyBackend,
}

impl RetryTarget {
    /// Whether the group of the call has a backend for the attempt, before one is picked.
    ///
    /// # Errors
    /// [`RetryRefusal::NoOtherBackend`].
    pub(crate) fn check_group(self, has_alternatives: bool) -> Result<(), RetryRefusal> {
        if self == RetryTarget::OtherBackend && !has_alternatives {
            return Err(RetryRefusal::NoOtherBackend);
        }
        Ok(())
    }

    /// Whether the attempt may go to the picked backend. That is the previous one where all others are out of selection.
    ///
    /// # Errors
    /// [`RetryRefusal::NoOtherBackend`].
    pub(crate) fn check_picked(
        self,
        previous: BackendId,
        picked: BackendId,
    ) -> Result<(), RetryRefusal> {
        if self == RetryTarget::OtherBackend && picked == previous {
            return Err(RetryRefusal::NoOtherBackend);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
