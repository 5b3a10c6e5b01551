//! The retry policy: whether it is safe and worthwhile to attempt a call once more after a failed attempt.
//!
//! [`RetryPolicy`] decides by the properties of the call, [`RetryTarget`] by the available backends. Each refusal
//! states its reason. Nothing here selects a backend, spends from the retry budget, draws a random number or sends
//! anything.

use crate::attempt::AttemptOutcome;
use crate::backend_id::BackendId;
use madderbay::time::Duration;

/// A call whose last attempt failed and that has no other attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedCall {
    /// How the last attempt ended.
    pub outcome: AttemptOutcome,
    /// Whether the call may run twice.
    pub is_idempotent: bool,
    /// Time until the deadline of the call. Zero if the deadline has passed or was never set.
    pub time_left: Duration,
}

/// Why a call gets no further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RetryRefusal {
    /// The previous attempt may have run, and the call may not run twice.
    #[error("the call may have run and is not idempotent")]
    MayHaveRun,
    /// A call typically takes at least as long as the time that is left.
    #[error("not enough time is left before the deadline")]
    NoTimeLeft,
    /// The handler of the call has no backends. They may have been removed since the previous attempt.
    #[error("the handler has no backends")]
    NoBackends,
    /// The attempt has to go to another backend than the previous one, and no other backend is in selection.
    #[error("no other backend is in selection")]
    NoOtherBackend,
    /// The retry budget of the group of backends is spent.
    #[error("the retry budget is spent")]
    BudgetSpent,
}

/// Decides whether a call may be attempted once more, by the properties of the call alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Typical latency of a call, or zero if it is not known.
    pub typical_latency: Duration,
}

impl RetryPolicy {
    /// Checks whether a failed call may be retried at once.
    ///
    /// # Errors
    /// Returns [`RetryRefusal::MayHaveRun`] if the call is not idempotent and may have run, otherwise
    /// [`RetryRefusal::NoTimeLeft`] if a further attempt would typically not end before the deadline.
    pub fn check(&self, call: FailedCall) -> Result<(), RetryRefusal> {
        if !call.outcome.never_executed() && !call.is_idempotent {
            return Err(RetryRefusal::MayHaveRun);
        }
        self.check_time_left(call.time_left)
    }

    /// Checks whether there is time for a further attempt.
    ///
    /// # Errors
    /// Returns [`RetryRefusal::NoTimeLeft`] unless more time is left than a call typically takes.
    pub(crate) fn check_time_left(&self, time_left: Duration) -> Result<(), RetryRefusal> {
        if time_left > self.typical_latency {
            Ok(())
        } else {
            Err(RetryRefusal::NoTimeLeft)
        }
    }
}

/// Which backends a further attempt of a call may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryTarget {
    /// Only another backend: a retry at once, or a hedge.
    OtherBackend,
    /// Another backend if one is in selection, otherwise the same one: a retry after a backoff.
    AnyBackend,
}

impl RetryTarget {
    /// Checks, before a backend is selected, whether the group of the call has a backend for the attempt.
    ///
    /// # Errors
    /// Returns [`RetryRefusal::NoOtherBackend`] if the attempt has to go to another backend and the group has only one.
    pub(crate) fn check_group(self, has_alternatives: bool) -> Result<(), RetryRefusal> {
        if self == RetryTarget::OtherBackend && !has_alternatives {
            return Err(RetryRefusal::NoOtherBackend);
        }
        Ok(())
    }

    /// Checks whether the attempt may go to the selected backend. This is the previous one if all others are out of
    /// selection.
    ///
    /// # Errors
    /// Returns [`RetryRefusal::NoOtherBackend`] if the attempt has to go to another backend and the previous one was
    /// selected.
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
