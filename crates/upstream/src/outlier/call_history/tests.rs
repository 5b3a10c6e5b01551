use super::*;

#[test]
fn evidence_fades_and_a_pace_needs_some_calls() {
    let at = |ms: u64| Timestamp::from_micros(ms * 1_000);
    let mut e = Evidence::default();
    e.add(at(0), AttemptOutcome::Failed, Duration::ZERO, false);
    e.add(at(0), AttemptOutcome::Rejected, Duration::ZERO, false);
    assert_eq!((e.good(), e.bad), (0.0, 1.0));
    for ms in [1, 2, 3] {
        assert_eq!(e.pace(at(ms)), None);
        e.add(
            at(ms),
            AttemptOutcome::Success,
            Duration::from_millis(20),
            false,
        );
    }
    assert!((e.pace(at(3)).expect("three came") - 0.02).abs() < 1e-9);
    e.fade(at(5_003));
    assert!(e.good() < 0.3 && e.bad < 0.4, "{} {}", e.good(), e.bad);
    let mut e = Evidence::default();
    (0..8).for_each(|_| {
        e.add(
            at(0),
            AttemptOutcome::Success,
            Duration::from_millis(20),
            false,
        )
    });
    (0..3).for_each(|_| {
        e.add(
            at(1),
            AttemptOutcome::TimedOut,
            Duration::from_millis(20),
            false,
        )
    });
    assert!(
        e.good() < 3.0,
        "{}: what was well before three that were not",
        e.good()
    );
    let mut late = Evidence::default();
    late.add(
        at(0),
        AttemptOutcome::Success,
        Duration::from_millis(900),
        true,
    );
    assert_eq!((late.good(), late.bad), (0.0, LATE));
    let e = Evidence {
        paced: 3.0,
        pace_at: at(3),
        ..Evidence::default()
    };
    assert_eq!(e.pace(at(10_004)), None, "too old");
}
