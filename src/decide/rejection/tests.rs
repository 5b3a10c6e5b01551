use super::{RejectionInputs, RejectionKind, RejectionPolicy, ServerPace};
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

/// A request in time, at a server like the others.
fn inputs() -> RejectionInputs {
    RejectionInputs {
        expected_wait_secs: 0.5,
        is_past_objective: false,
        others_do_better: false,
        is_slow_alone: false,
    }
}

/// A policy that has seen nothing but retries.
fn flooded(marks_retries: bool) -> RejectionPolicy {
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
fn advises_one_to_three_waits_up_to_the_longest_that_clients_honour() {
    let mut random = Rand64::new(7);
    for _ in 0..100 {
        let rejection = policy(true).decide(&inputs(), &mut random);
        let waits = rejection.retry_after.as_secs_f64() / 0.5;
        assert!((1.0..3.0).contains(&waits), "{waits} waits");
    }
    let crowded = RejectionInputs {
        expected_wait_secs: 60.0,
        ..inputs()
    };
    let rejection = policy(true).decide(&crowded, &mut random);
    assert_eq!(rejection.retry_after, MAX_RETRY_AFTER);
}

#[test]
fn rejection_past_objective_is_final_unless_this_server_others_do_better() {
    let late = RejectionInputs {
        is_past_objective: true,
        ..inputs()
    };
    assert_eq!(kind(&policy(true), &late), RejectionKind::Final);
    let draining = RejectionInputs {
        others_do_better: true,
        ..late
    };
    assert_eq!(
        kind(&policy(true), &draining),
        RejectionKind::RetryElsewhere
    );
}

#[test]
fn rejection_is_final_where_retries_show_that_others_reject_too() {
    assert_eq!(
        kind(&policy(true), &inputs()),
        RejectionKind::RetryElsewhere
    );
    assert_eq!(kind(&flooded(true), &inputs()), RejectionKind::Final);
}

#[test]
fn rejections_of_a_slow_server_prove_nothing_where_retries_are_not_marked() {
    let slow = RejectionInputs {
        is_slow_alone: true,
        ..inputs()
    };
    assert_eq!(kind(&flooded(false), &inputs()), RejectionKind::Final);
    assert_eq!(kind(&flooded(false), &slow), RejectionKind::RetryElsewhere);
    assert_eq!(kind(&flooded(true), &slow), RejectionKind::Final);
}

#[test]
fn starts_stand_in_for_first_attempts_only_where_retries_are_not_marked() {
    for marks_retries in [false, true] {
        let mut policy = flooded(marks_retries);
        let before = policy.retry_fraction();
        policy.on_start();
        assert_eq!(policy.retry_fraction() < before, !marks_retries);
    }
}

#[test]
fn server_is_slow_alone_while_cold_or_slower_than_its_crowding_explains() {
    let usual = ServerPace {
        is_warming_up: false,
        slowdown: 1.0,
        crowding: 2.0,
        mean_run_secs: 0.3,
        best_run_secs: 0.1,
    };
    assert!(!usual.is_slow_alone());
    let cold = ServerPace {
        is_warming_up: true,
        ..usual
    };
    assert!(cold.is_slow_alone());
    let slow = ServerPace {
        mean_run_secs: 0.4,
        ..usual
    };
    assert!(slow.is_slow_alone());
}
