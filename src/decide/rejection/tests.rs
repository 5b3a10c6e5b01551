use super::{RejectionInputs, RejectionKind, RejectionPolicy, ServerSpeed};
use crate::interface::Downstream;
use crate::time::Duration;
use oorandom::Rand64;

const MAX_RETRY_AFTER: Duration = Duration::from_millis(5_000);

fn policy(marks_retries: bool) -> RejectionPolicy {
    RejectionPolicy::new(&Downstream {
        max_retry_after: MAX_RETRY_AFTER,
        marks_retries,
        ..Downstream::default()
    })
}

/// Returns the inputs of a request that is in time, on a server that is no slower than the others.
fn inputs() -> RejectionInputs {
    RejectionInputs {
        expected_wait_secs: 0.5,
        is_past_objective: false,
        is_failing_or_draining: false,
        has_local_slowdown: false,
    }
}

/// Returns a policy that has seen only retries, and has rejected them all.
fn policy_after_retries(marks_retries: bool) -> RejectionPolicy {
    let mut policy = policy(marks_retries);
    for _ in 0..200 {
        policy.on_arrival(true);
        policy.on_rejection();
    }
    policy
}

fn kind(policy: &RejectionPolicy, inputs: &RejectionInputs) -> RejectionKind {
    policy.decide(inputs, &mut Rand64::new(7)).kind
}

#[test]
fn retry_after_is_one_to_three_expected_waits_up_to_the_maximum() {
    let mut random = Rand64::new(7);
    for _ in 0..100 {
        let rejection = policy(true).decide(&inputs(), &mut random);
        let waits = rejection.retry_after.as_secs_f64() / 0.5;
        assert!((1.0..3.0).contains(&waits), "{waits} waits");
    }
    let long_wait = RejectionInputs {
        expected_wait_secs: 60.0,
        ..inputs()
    };
    let rejection = policy(true).decide(&long_wait, &mut random);
    assert_eq!(rejection.retry_after, MAX_RETRY_AFTER);
}

#[test]
fn rejection_past_objective_is_final_unless_server_is_failing_or_draining() {
    let late = RejectionInputs {
        is_past_objective: true,
        ..inputs()
    };
    assert_eq!(kind(&policy(true), &late), RejectionKind::Final);
    let draining = RejectionInputs {
        is_failing_or_draining: true,
        ..late
    };
    assert_eq!(
        kind(&policy(true), &draining),
        RejectionKind::RetryElsewhere
    );
}

#[test]
fn rejection_is_final_when_most_arrivals_are_retries() {
    assert_eq!(
        kind(&policy(true), &inputs()),
        RejectionKind::RetryElsewhere
    );
    assert_eq!(
        kind(&policy_after_retries(true), &inputs()),
        RejectionKind::Final
    );
}

#[test]
fn local_slowdown_prevents_final_rejections_when_retries_are_unmarked() {
    let slow = RejectionInputs {
        has_local_slowdown: true,
        ..inputs()
    };
    assert_eq!(
        kind(&policy_after_retries(false), &inputs()),
        RejectionKind::Final
    );
    assert_eq!(
        kind(&policy_after_retries(false), &slow),
        RejectionKind::RetryElsewhere
    );
    assert_eq!(
        kind(&policy_after_retries(true), &slow),
        RejectionKind::Final
    );
}

#[test]
fn starts_lower_retry_fraction_only_when_retries_are_unmarked() {
    for marks_retries in [false, true] {
        let mut policy = policy_after_retries(marks_retries);
        let before = policy.retry_fraction();
        policy.on_start();
        assert_eq!(policy.retry_fraction() < before, !marks_retries);
    }
}

#[test]
fn local_slowdown_is_warm_up_or_slower_than_run_queue_explains() {
    let usual = ServerSpeed {
        is_warming_up: false,
        slowdown: 1.0,
        run_queue_per_core: 2.0,
        mean_run_secs: 0.3,
        best_run_secs: 0.1,
    };
    assert!(!usual.has_local_slowdown());
    let cold = ServerSpeed {
        is_warming_up: true,
        ..usual
    };
    assert!(cold.has_local_slowdown());
    let slow = ServerSpeed {
        mean_run_secs: 0.4,
        ..usual
    };
    assert!(slow.has_local_slowdown());
}
