//! Decisions on the upstream call of a run: whether it is sent, delayed, skipped, retried or given up.
//!
//! The functions keep no state and ask the [`CallAccount`] for capacity. The decisions are carried out in `calls`.

use super::call_account::CallAccount;
use super::deadlines::answer_by;
use crate::interface::Outcome;
use crate::time::{Duration, Timestamp};

/// Unit of the backoff before a failed call is retried. It is doubled once for each failed call of the request,
/// whichever of its calls failed, so the first backoff is two units.
const BACKOFF_UNIT: Duration = Duration::from_millis(40);
/// Largest number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Number of failed calls of one request from which an optional call is skipped.
const MAX_FAILED_OPTIONAL_CALLS: u32 = 2;
/// Fraction of rejected calls above which a retry of an optional call would only add load.
const MAX_REJECTED_FRACTION: f64 = 0.25;
/// Shortest timeout of a call.
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(1);

/// Decision on the call that a run waits at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallDecision {
    /// Fail the request: its answer would be late and therefore worthless, and another run makes better use of the
    /// capacity.
    Fail,
    /// Let the run continue without the call, for a partial answer.
    Skip,
    /// Let the call wait for capacity.
    Wait,
    /// Send the call, and give it up after the timeout.
    Send {
        /// Longest time to wait for the call.
        timeout: Duration,
    },
}

/// Inputs of the decision on a call, besides the account.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallInputs {
    /// Whether the run can continue without the call.
    pub(super) is_optional: bool,
    /// Whether an answer after the latency objective has no priority weight.
    pub(super) is_late_answer_useless: bool,
    /// Whether the run has used up its allowance while a handler exceeds its setpoint.
    pub(super) is_allowance_spent: bool,
    /// Whether the calls in flight of the handler's groups are below their ceilings.
    pub(super) is_within_ceilings: bool,
    /// Whether an optional call yields to calls that wait for capacity: under ceilings, required calls go first.
    pub(super) yields_to_waiting_calls: bool,
    /// Priority weight rank of the request among the latest arrivals, 0 to 1.
    pub(super) rank: f64,
    /// Instant until which the answer of the request meets its latency objective.
    pub(super) objective: Timestamp,
    /// When the client stops waiting.
    pub(super) deadline: Timestamp,
}

/// Decides on the call that a run waits at.
///
/// An optional call is skipped if the run has used up its allowance, if the call would be late, or if requests of
/// higher weight need the capacity. A required call waits for capacity. If it would be late and a late answer is
/// worthless, the request fails, but only while other calls are in flight: otherwise nothing makes better use of the
/// capacity.
pub(super) fn decide_call(
    now: Timestamp,
    call: &CallInputs,
    account: &mut CallAccount,
) -> CallDecision {
    let is_late = account.expected_end(now) > call.objective;
    let would_be_worthless = is_late && !call.is_optional && call.is_late_answer_useless;
    if would_be_worthless && account.has_calls_in_flight() {
        return CallDecision::Fail;
    }
    if call.is_optional {
        let is_not_useful = call.is_allowance_spent || is_late;
        let has_no_capacity = call.yields_to_waiting_calls || !call.is_within_ceilings;
        if is_not_useful || has_no_capacity || !account.allows_call(now, call.rank) {
            return CallDecision::Skip;
        }
    }
    if !call.is_within_ceilings || !account.allows_call(now, 1.0) {
        return CallDecision::Wait;
    }
    CallDecision::Send {
        timeout: call_timeout(now, call, account),
    }
}

/// Returns how long to wait for a call: while its result is useful, and until it counts as stuck.
fn call_timeout(now: Timestamp, call: &CallInputs, account: &CallAccount) -> Duration {
    let useful_until = if call.is_optional || call.is_late_answer_useless {
        call.objective
    } else {
        answer_by(call.deadline)
    };
    let until = useful_until.min(now + account.stuck_timeout());
    (until - now).max(MIN_CALL_TIMEOUT)
}

/// Decision on a call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryDecision {
    /// Let the run continue without the call.
    Skip,
    /// Fail the request: the call may have run and must not run twice, or there is no time for a retry.
    Fail,
    /// Retry the call after the backoff.
    Retry {
        /// Pause before the retry.
        backoff: Duration,
    },
}

/// A call that failed, and the inputs of the decision on its retry.
#[derive(Clone, Copy, Debug)]
pub(super) struct FailedCall {
    /// How the call ended.
    pub(super) outcome: Outcome,
    /// Number of failed calls of the request, including this one.
    pub(super) failures: u32,
    /// Whether the run can continue without the call.
    pub(super) is_optional: bool,
    /// Whether the call is safe to run twice.
    pub(super) is_idempotent: bool,
    /// Instant until which the answer of the request meets its latency objective.
    pub(super) objective: Timestamp,
}

/// Decides whether a failed call is retried. A call that is not idempotent is retried only after an outcome that proves
/// that it did not run.
pub(super) fn decide_retry(
    now: Timestamp,
    call: &FailedCall,
    account: &CallAccount,
) -> RetryDecision {
    let backoff = backoff_after(call.failures);
    let is_late = account.expected_end(now + backoff) > call.objective;
    let is_not_worth_retrying = is_late
        || call.failures >= MAX_FAILED_OPTIONAL_CALLS
        || account.rejected_fraction() > MAX_REJECTED_FRACTION;
    let risks_double_run = call.outcome.may_have_run() && !call.is_idempotent;
    if call.is_optional && is_not_worth_retrying {
        RetryDecision::Skip
    } else if risks_double_run || is_late {
        RetryDecision::Fail
    } else {
        RetryDecision::Retry { backoff }
    }
}

/// Returns the backoff after this number of failed calls of one request.
fn backoff_after(failures: u32) -> Duration {
    let doublings = failures.min(MAX_BACKOFF_DOUBLINGS);
    BACKOFF_UNIT.mul_f64(f64::from(1u32 << doublings))
}

#[cfg(test)]
mod tests;
