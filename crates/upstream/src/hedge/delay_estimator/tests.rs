use super::*;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000 + ms * 1_000)
}

#[test]
fn hedge_delay_is_a_high_percentile_of_enough_latencies() {
    let mut estimator = HedgeDelayEstimator::new(at(0));
    (0..29).for_each(|_| estimator.record(Duration::from_millis(20)));
    estimator.evaluate();
    assert_eq!(estimator.delay(at(1)), None);
    (0..2).for_each(|_| estimator.record(Duration::from_millis(300)));
    estimator.evaluate();
    let delay = estimator.delay(at(1)).expect("enough latencies");
    let expected = Duration::from_millis(200)..Duration::from_millis(310);
    assert!(expected.contains(&delay), "{delay:?}");
}
