use super::*;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1_000)
}

const LATENCY: Duration = Duration::from_millis(20);

#[test]
fn counts_failures_but_no_rejections() {
    let mut history = CallHistory::default();
    history.record(at(0), AttemptOutcome::Failed, Duration::ZERO, false);
    history.record(at(0), AttemptOutcome::Rejected, Duration::ZERO, false);
    assert_eq!(
        history.counts(),
        CallCounts {
            successes: 0.0,
            failures: 1.0
        }
    );
}

#[test]
fn latency_needs_several_successes() {
    let mut history = CallHistory::default();
    for ms in [1, 2, 3] {
        assert_eq!(history.latency_seconds(at(ms)), None);
        history.record(at(ms), AttemptOutcome::Success, LATENCY, false);
    }
    let latency = history
        .latency_seconds(at(3))
        .expect("three calls succeeded");
    assert!((latency - 0.02).abs() < 1e-9);
}

#[test]
fn latency_expires() {
    let latency = MeanLatency {
        samples: 3.0,
        updated_at: at(3),
        ..MeanLatency::default()
    };
    let history = CallHistory {
        latency,
        ..CallHistory::default()
    };
    assert_eq!(history.latency_seconds(at(10_004)), None);
}

#[test]
fn results_decay_with_time() {
    let mut history = CallHistory::default();
    history.record(at(0), AttemptOutcome::Failed, Duration::ZERO, false);
    for ms in [1, 2, 3] {
        history.record(at(ms), AttemptOutcome::Success, LATENCY, false);
    }
    history.decay(at(5_003));
    let CallCounts {
        successes,
        failures,
    } = history.counts();
    assert!(successes < 0.3 && failures < 0.4, "{successes} {failures}");
}

#[test]
fn consecutive_failures_discount_earlier_successes() {
    let mut history = CallHistory::default();
    (0..8).for_each(|_| history.record(at(0), AttemptOutcome::Success, LATENCY, false));
    (0..3).for_each(|_| history.record(at(1), AttemptOutcome::TimedOut, LATENCY, false));
    let successes = history.counts().successes;
    assert!(
        successes < 3.0,
        "{successes} of eight before three failures"
    );
}

#[test]
fn slow_success_counts_as_half_a_failure() {
    let mut history = CallHistory::default();
    history.record(
        at(0),
        AttemptOutcome::Success,
        Duration::from_millis(900),
        true,
    );
    assert_eq!(
        history.counts(),
        CallCounts {
            successes: 0.0,
            failures: SLOW_CALL_WEIGHT
        }
    );
}
