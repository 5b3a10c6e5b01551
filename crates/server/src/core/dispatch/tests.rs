//! Tests of what the end of an attempt says about its backend, and whether the call may have run.

use super::*;

fn outcome_of(outcome: Outcome, replied: bool) -> AttemptOutcome {
    let end = AttemptEnd {
        upstream_connection: 1,
        outcome,
        replied,
    };
    end.attempt_outcome()
}

/// Guards against treating a call that its backend did not run as cancelled: a call that may not
/// run twice then got no retry.
#[test]
fn call_that_its_backend_did_not_run_may_be_retried() {
    let refused = outcome_of(Outcome::Unreachable, true);
    assert_eq!(refused, AttemptOutcome::NotRun);
    assert!(refused.never_executed());
    assert_eq!(
        outcome_of(Outcome::Unreachable, false),
        AttemptOutcome::NotConnected
    );
}

#[test]
fn call_that_may_have_run_is_never_reported_as_not_run() {
    for outcome in [
        Outcome::Failed,
        Outcome::TimedOut,
        Outcome::Disconnected,
        Outcome::Cancelled,
        Outcome::AlreadyEnded,
    ] {
        for replied in [false, true] {
            assert!(
                !outcome_of(outcome, replied).never_executed(),
                "{outcome:?}"
            );
        }
    }
}
