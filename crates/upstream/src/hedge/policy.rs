//! The hedge policy: which calls get a hedge, and when.
//!
//! [`HedgePolicy`] is given what is known of a call, [`hedge_delay`] what is known of the latencies of its group of
//! backends; each refusal has its reason. Nothing here measures a latency, picks a backend or sends anything.

use crate::retry::policy::RetryRefusal;
use madderbay::time::Duration;

/// A call whose first attempt is about to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeCandidate {
    /// Whether the call may run twice.
    pub is_idempotent: bool,
    /// Whether a quota of the fleet counts the calls in flight, each of them once.
    pub is_under_quota: bool,
    /// Time from the first attempt until the call is given up.
    pub timeout: Duration,
}

/// Why a call gets no hedge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HedgeRefusal {
    /// A quota of the fleet counts the calls in flight.
    #[error("a quota of the fleet counts the calls")]
    UnderQuota,
    /// The call may not run twice.
    #[error("the call is not idempotent")]
    NotIdempotent,
    /// The operator switched hedges off.
    #[error("hedges are switched off")]
    Disabled,
    /// Too few latencies of the group are known to tell when a call takes long.
    #[error("too few latencies are known")]
    LatencyUnknown,
    /// The call is given up before the hedge is due.
    #[error("the call times out before the hedge is due")]
    DueAfterTimeout,
    /// The call gets no further attempt of any kind.
    #[error(transparent)]
    NoAttempt(#[from] RetryRefusal),
}

/// Decides on the hedges of one group of backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HedgePolicy {
    /// Whether the operator allows hedges.
    pub(crate) is_enabled: bool,
}

impl HedgePolicy {
    /// Whether a call may be hedged at all, whatever its latency.
    ///
    /// # Errors
    /// The first reason against it, in the order of [`HedgeRefusal`].
    pub(crate) fn check_call(self, call: HedgeCandidate) -> Result<(), HedgeRefusal> {
        if call.is_under_quota {
            return Err(HedgeRefusal::UnderQuota);
        }
        if !call.is_idempotent {
            return Err(HedgeRefusal::NotIdempotent);
        }
        self.check_enabled()
    }

    /// Whether the operator allows hedges.
    ///
    /// # Errors
    /// [`HedgeRefusal::Disabled`].
    pub(crate) fn check_enabled(self) -> Result<(), HedgeRefusal> {
        if self.is_enabled {
            Ok(())
        } else {
            Err(HedgeRefusal::Disabled)
        }
    }
}

/// The time from the first attempt of a call until its hedge is due. `estimate` is the latency that calls of the group
/// rarely exceed, `timeout` the time until the call is given up.
///
/// # Errors
/// [`HedgeRefusal::LatencyUnknown`] without an estimate, [`HedgeRefusal::DueAfterTimeout`] where it is no shorter than
/// the timeout.
pub(crate) fn hedge_delay(
    estimate: Option<Duration>,
    timeout: Duration,
) -> Result<Duration, HedgeRefusal> {
    let delay = estimate.ok_or(HedgeRefusal::LatencyUnknown)?;
    if delay < timeout {
        Ok(delay)
    } else {
        Err(HedgeRefusal::DueAfterTimeout)
    }
}

#[cfg(test)]
mod tests;
