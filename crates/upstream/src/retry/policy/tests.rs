use super::*;

const SECOND: Duration = Duration::from_millis(1_000);

/// The policy of a group whose calls typically take 20 ms.
const POLICY: RetryPolicy = RetryPolicy {
    typical_latency: Duration::from_millis(20),
};

fn failed_call(outcome: AttemptOutcome, is_idempotent: bool, time_left: Duration) -> FailedCall {
    FailedCall {
        outcome,
        is_idempotent,
        time_left,
    }
}

#[test]
fn retries_any_call_that_certainly_never_ran() {
    for outcome in [
        AttemptOutcome::Rejected,
        AttemptOutcome::NotConnected,
        AttemptOutcome::NotRun,
    ] {
        for is_idempotent in [false, true] {
            let call = failed_call(outcome, is_idempotent, SECOND);
            assert_eq!(POLICY.check(call), Ok(()), "{call:?}");
        }
    }
}

#[test]
fn retries_a_call_that_may_have_run_only_if_it_is_idempotent() {
    for outcome in [
        AttemptOutcome::Failed,
        AttemptOutcome::Disconnected,
        AttemptOutcome::TimedOut,
        AttemptOutcome::LostToHedge,
        AttemptOutcome::Cancelled,
    ] {
        let idempotent = failed_call(outcome, true, SECOND);
        assert_eq!(POLICY.check(idempotent), Ok(()), "{outcome:?}");
        let other = failed_call(outcome, false, SECOND);
        assert_eq!(
            POLICY.check(other),
            Err(RetryRefusal::MayHaveRun),
            "{outcome:?}"
        );
    }
}

#[test]
fn refuses_a_retry_that_would_typically_end_after_the_deadline() {
    let check = |micros| {
        let time_left = Duration::from_micros(micros);
        POLICY.check(failed_call(AttemptOutcome::Rejected, true, time_left))
    };
    assert_eq!(check(0), Err(RetryRefusal::NoTimeLeft));
    assert_eq!(check(20_000), Err(RetryRefusal::NoTimeLeft));
    assert_eq!(check(20_001), Ok(()));
}

#[test]
fn requires_time_left_when_the_typical_latency_is_unknown() {
    let policy = RetryPolicy {
        typical_latency: Duration::ZERO,
    };
    assert_eq!(
        policy.check_time_left(Duration::ZERO),
        Err(RetryRefusal::NoTimeLeft)
    );
    assert_eq!(policy.check_time_left(Duration::from_micros(1)), Ok(()));
}

#[test]
fn possible_execution_takes_precedence_over_missing_time() {
    let call = failed_call(AttemptOutcome::Failed, false, Duration::ZERO);
    assert_eq!(POLICY.check(call), Err(RetryRefusal::MayHaveRun));
}

#[test]
fn only_a_retry_after_a_backoff_may_go_to_the_same_backend() {
    let (previous, other) = (BackendId::new(3), BackendId::new(4));
    let refused = Err(RetryRefusal::NoOtherBackend);

    let at_once = RetryTarget::OtherBackend;
    assert_eq!(at_once.check_group(true), Ok(()));
    assert_eq!(at_once.check_group(false), refused);
    assert_eq!(at_once.check_picked(previous, other), Ok(()));
    assert_eq!(at_once.check_picked(previous, previous), refused);

    let after_backoff = RetryTarget::AnyBackend;
    assert_eq!(after_backoff.check_group(false), Ok(()));
    assert_eq!(after_backoff.check_picked(previous, previous), Ok(()));
}
