use super::{CallDecision, CallInputs, FailedCall, RetryDecision, decide_call, decide_retry};
use crate::decide::call_account::CallAccount;
use crate::interface::{Outcome, Upstream, UpstreamKind};
use crate::time::{Duration, Timestamp};

const NOW: Timestamp = Timestamp::from_micros(10_000_000);
/// Initial estimate of the call time, in seconds.
const CALL_SECS: f64 = 0.1;

fn after_millis(millis: u64) -> Timestamp {
    NOW + Duration::from_millis(millis)
}

/// Returns an account without limits.
fn unlimited() -> CallAccount {
    CallAccount::new(NOW, CALL_SECS, 0.0)
}

/// Returns an account of a shared dependency whose quota is used up by one call.
fn at_capacity() -> CallAccount {
    let mut account = unlimited();
    account.set_upstream(&Upstream {
        kind: UpstreamKind::Shared,
        quota: 1.0,
        abandoned_call_lifetime: Duration::ZERO,
        averaging_window: Duration::from_millis(5_000),
    });
    account.start_call();
    account
}

/// Returns an optional call that is in time and within all limits.
fn optional_call() -> CallInputs {
    CallInputs {
        is_optional: true,
        is_late_answer_useless: false,
        is_allowance_spent: false,
        is_within_ceilings: true,
        yields_to_waiting_calls: false,
        rank: 1.0,
        objective: after_millis(1_000),
        deadline: after_millis(4_000),
    }
}

fn required_call() -> CallInputs {
    CallInputs {
        is_optional: false,
        ..optional_call()
    }
}

#[test]
fn sends_call_within_all_limits() {
    let decision = decide_call(NOW, &required_call(), &mut unlimited());
    // Eight times the estimated call time, plus the margin.
    let timeout = Duration::from_millis(840);
    assert_eq!(decision, CallDecision::Send { timeout });
}

#[test]
fn skips_optional_call_that_is_not_useful_or_has_no_capacity() {
    let late = after_millis(50);
    let skipped = [
        CallInputs {
            is_allowance_spent: true,
            ..optional_call()
        },
        CallInputs {
            objective: late,
            ..optional_call()
        },
        CallInputs {
            yields_to_waiting_calls: true,
            ..optional_call()
        },
        CallInputs {
            is_within_ceilings: false,
            ..optional_call()
        },
    ];
    for call in skipped {
        let decision = decide_call(NOW, &call, &mut unlimited());
        assert_eq!(decision, CallDecision::Skip, "{call:?}");
    }
    let decision = decide_call(NOW, &optional_call(), &mut at_capacity());
    assert_eq!(decision, CallDecision::Skip);
}

#[test]
fn required_call_waits_for_ceilings_and_capacity() {
    let over_ceiling = CallInputs {
        is_within_ceilings: false,
        ..required_call()
    };
    let decision = decide_call(NOW, &over_ceiling, &mut unlimited());
    assert_eq!(decision, CallDecision::Wait);
    let decision = decide_call(NOW, &required_call(), &mut at_capacity());
    assert_eq!(decision, CallDecision::Wait);
}

#[test]
fn fails_request_whose_late_answer_is_worthless_while_others_use_the_capacity() {
    let worthless_if_late = CallInputs {
        is_late_answer_useless: true,
        objective: after_millis(50),
        ..required_call()
    };
    let decision = decide_call(NOW, &worthless_if_late, &mut at_capacity());
    assert_eq!(decision, CallDecision::Fail);
    // No other call uses the capacity, so the call is sent while its result can be in time.
    let timeout = Duration::from_millis(50);
    let decision = decide_call(NOW, &worthless_if_late, &mut unlimited());
    assert_eq!(decision, CallDecision::Send { timeout });
}

/// Returns a required call that the upstream rejected.
fn rejected_call() -> FailedCall {
    FailedCall {
        outcome: Outcome::Rejected,
        failures: 1,
        is_optional: false,
        is_idempotent: false,
        objective: after_millis(1_000),
    }
}

#[test]
fn retries_call_that_did_not_run_with_doubling_backoff() {
    for (failures, millis) in [(1, 80), (2, 160), (3, 320)] {
        let call = FailedCall {
            failures,
            ..rejected_call()
        };
        let backoff = Duration::from_millis(millis);
        let decision = decide_retry(NOW, &call, &unlimited());
        assert_eq!(decision, RetryDecision::Retry { backoff });
    }
}

#[test]
fn never_retries_non_idempotent_call_that_may_have_run() {
    for outcome in [Outcome::Failed, Outcome::TimedOut, Outcome::Disconnected] {
        let call = FailedCall {
            outcome,
            ..rejected_call()
        };
        let decision = decide_retry(NOW, &call, &unlimited());
        assert_eq!(decision, RetryDecision::Fail, "{outcome:?}");
        let idempotent = FailedCall {
            is_idempotent: true,
            ..call
        };
        let decision = decide_retry(NOW, &idempotent, &unlimited());
        assert!(matches!(decision, RetryDecision::Retry { .. }));
    }
}

#[test]
fn fails_request_when_there_is_no_time_for_retry() {
    let call = FailedCall {
        objective: after_millis(170),
        ..rejected_call()
    };
    assert_eq!(
        decide_retry(NOW, &call, &unlimited()),
        RetryDecision::Fail,
        "80 ms of backoff and 100 ms of call"
    );
}

#[test]
fn skips_optional_call_at_second_failure_or_when_it_would_be_late() {
    let optional = FailedCall {
        is_optional: true,
        ..rejected_call()
    };
    let decision = decide_retry(NOW, &optional, &unlimited());
    assert!(matches!(decision, RetryDecision::Retry { .. }));
    let skipped = [
        FailedCall {
            failures: 2,
            ..optional
        },
        FailedCall {
            objective: after_millis(170),
            ..optional
        },
    ];
    for call in skipped {
        let decision = decide_retry(NOW, &call, &unlimited());
        assert_eq!(decision, RetryDecision::Skip, "{call:?}");
    }
}
