//! The hedge policy: which calls get a hedge, and when.
//!
//! [`HedgePolicy`] decides by the properties of a call, [`hedge_delay`] by the latencies of its group of backends. Each
//! refusal states its reason. Nothing here measures a latency, selects a backend or sends anything.

use crate::retry::policy::RetryRefusal;
use madderbay::time::Duration;

/// A call whose first attempt is about to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeCandidate {
    /// Whether the call may run twice.
    pub is_idempotent: bool,
    /// Whether a quota of the fleet limits the calls in flight. Such a quota counts each call once.
    pub is_under_quota: bool,
    /// Time from the start of the first attempt until the call is given up.
    pub timeout: Duration,
}

/// Why a call gets no hedge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HedgeRefusal {
    /// A quota of the fleet counts the calls in flight.
    #[error("a fleet quota counts the calls in flight")]
    UnderQuota,
    /// The call may not run twice.
    #[error("the call is not idempotent")]
    NotIdempotent,
    /// The operator disabled hedging.
    #[error("hedging is disabled")]
    Disabled,
    /// Too few latencies of the group are known to tell when a call takes unusually long.
    #[error("too few latencies are known to derive a hedge delay")]
    LatencyUnknown,
    /// The call is given up before a hedge would be due.
    #[error("the call times out before the hedge is due")]
    DueAfterTimeout,
    /// The call gets no further attempt of any kind, retry or hedge.
    #[error(transparent)]
    NoAttempt(#[from] RetryRefusal),
}

/// Decides which calls of a group of backends may be hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HedgePolicy {
    /// Whether the operator enabled hedging.
    pub(crate) is_enabled: bool,
}

impl HedgePolicy {
    /// Checks whether a call may be hedged at all, regardless of its latency.
    ///
    /// # Errors
    /// Returns the first reason against a hedge, in the order of [`HedgeRefusal`].
    pub(crate) fn check_call(self, call: HedgeCandidate) -> Result<(), HedgeRefusal> {
        if call.is_under_quota {
            return Err(HedgeRefusal::UnderQuota);
        }
        if !call.is_idempotent {
            return Err(HedgeRefusal::NotIdempotent);
        }
        self.check_enabled()
    }

    /// Checks whether the operator enabled hedging.
    ///
    /// # Errors
    /// Returns [`HedgeRefusal::Disabled`] if not.
    pub(crate) fn check_enabled(self) -> Result<(), HedgeRefusal> {
        if self.is_enabled {
            Ok(())
        } else {
            Err(HedgeRefusal::Disabled)
        }
    }
}

/// Returns the time from the start of the first attempt of a call until its hedge is due. `estimate` is the latency
/// that calls of the group rarely exceed, `timeout` the time until the call is given up.
///
/// # Errors
/// Returns [`HedgeRefusal::LatencyUnknown`] without an estimate, and [`HedgeRefusal::DueAfterTimeout`] if the estimate
/// is not shorter than the timeout.
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
