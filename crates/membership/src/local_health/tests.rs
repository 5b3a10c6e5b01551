use super::*;

#[test]
fn pause_postpones_deadlines_and_raises_score_until_it_decays() {
    let mut health = LocalHealth::default();
    let at = |ms: u64| Timestamp::from_micros(ms * 1_000);
    assert_eq!(health.observe(at(1_000), Some(at(950))), None);
    assert_eq!((health.now(), health.score()), (at(1_000), 0));
    // The timer was set for 1,500 ms and fires at 6,500 ms, so a deadline at 2,000 ms moves by 5 s.
    assert_eq!(
        health.observe(at(6_500), Some(at(1_500))),
        Some(Duration::from_millis(5_000))
    );
    assert_eq!(
        (health.now(), health.to_machine_clock(at(2_000))),
        (at(1_500), at(7_000))
    );
    assert!(health.is_degraded());
    assert_eq!(health.score(), 8);
    assert_eq!(health.observe(at(11_400), Some(at(11_400))), None);
    assert_eq!((health.is_degraded(), health.score()), (true, 1));
    health.observe(at(11_500), None);
    assert_eq!((health.is_degraded(), health.score()), (false, 0));
}

#[test]
fn ignores_clock_that_steps_back() {
    let mut health = LocalHealth::default();
    health.observe(Timestamp::from_micros(5_000_000), None);
    health.observe(
        Timestamp::from_micros(4_000_000),
        Some(Timestamp::from_micros(5_000_000)),
    );
    assert_eq!(health.now(), Timestamp::from_micros(5_000_000));
}
