//! What is done about the upstream call of a run: made, postponed, skipped, made again, or given up.
//!
//! Owns nothing; asks the [`CallAccount`] for capacity. The answers are carried out elsewhere.

use super::call_account::CallAccount;
use super::deadlines::answer_by;
use crate::interface::Outcome;
use crate::time::{Duration, Timestamp};

/// Unit of the pause before a failed call is made again: doubled once for each failed call of the request, of whichever
/// of its calls, so that the first pause is two units.
const BACKOFF_UNIT: Duration = Duration::from_millis(40);
/// Doublings of the backoff at the most.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Failed calls of one request from which an optional call is skipped.
const MAX_FAILED_OPTIONAL_CALLS: u32 = 2;
/// Fraction of rejected calls above which a retry of an optional call only adds load.
const MAX_REJECTED_FRACTION: f64 = 0.25;
/// Least timeout of a call.
const MIN_CALL_TIMEOUT: Duration = Duration::from_millis(1);

/// What is done about a call that a run waits at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallDecision {
    /// The request fails: it would be late and then worthless, and another run makes better use of the capacity.
    Fail,
    /// The run goes on without the call, for a partial answer.
    Skip,
    /// The call waits for capacity.
    Wait,
    /// The call is made, and given up after the timeout.
    Send {
        /// Longest time for which the call is waited for.
        timeout: Duration,
    },
}

/// What the decision on a call rests on, besides the account.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallInputs {
    /// Whether the run can do without the call.
    pub(super) is_optional: bool,
    /// Whether an answer past the objective has no weight.
    pub(super) is_late_answer_useless: bool,
    /// Whether the run has spent its allowance while a handler exceeds its setpoint.
    pub(super) is_allowance_spent: bool,
    /// Whether the calls of the handler's groups in flight are below their ceilings.
    pub(super) is_within_ceilings: bool,
    /// Whether optional calls give way to calls that wait: under ceilings, required calls go first.
    pub(super) yields_to_waiting_calls: bool,
    /// Rank of the request's weight among the latest arrivals, 0 to 1.
    pub(super) rank: f64,
    /// When the answer of the request is in time.
    pub(super) objective: Timestamp,
    /// When the client stops waiting.
    pub(super) deadline: Timestamp,
}

/// Decides on the call that a run waits at.
///
/// An optional call is skipped once the allowance is spent, where it would be late, and where the requests of higher
/// weight need the capacity. A required call waits for capacity. One that would be late for a worthless answer fails its
/// request, but only while other calls are in flight: else nobody makes better use of the capacity.
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

/// A call is waited for while its result is of use, and until it counts as stuck.
fn call_timeout(now: Timestamp, call: &CallInputs, account: &CallAccount) -> Duration {
    let useful_until = if call.is_optional || call.is_late_answer_useless {
        call.objective
    } else {
        answer_by(call.deadline)
    };
    let until = useful_until.min(now + account.stuck_timeout());
    (until - now).max(MIN_CALL_TIMEOUT)
}

/// What is done about a call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryDecision {
    /// The run goes on without the call.
    Skip,
    /// The request fails: the call may have run and must not run twice, or there is no time for another.
    Fail,
    /// The call is made again after the pause.
    Retry {
        /// Pause before the retry.
        backoff: Duration,
    },
}

/// A call that failed, and what the decision on a retry rests on.
#[derive(Clone, Copy, Debug)]
pub(super) struct FailedCall {
    /// How it ended.
    pub(super) outcome: Outcome,
    /// Failed calls of the request, this one included.
    pub(super) failures: u32,
    /// Whether the run can do without the call.
    pub(super) is_optional: bool,
    /// Whether the call may run twice.
    pub(super) is_idempotent: bool,
    /// When the answer of the request is in time.
    pub(super) objective: Timestamp,
}

/// Decides whether a failed call is made again. One with an effect only after an outcome that proves it did not run.
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

/// The pause after that many failed calls of one request.
fn backoff_after(failures: u32) -> Duration {
    let doublings = failures.min(MAX_BACKOFF_DOUBLINGS);
    BACKOFF_UNIT.mul_f64(f64::from(1u32 << doublings))
}

#[cfg(test)]
mod tests;
