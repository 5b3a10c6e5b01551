use super::*;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1_000)
}

#[test]
fn counts_from_the_last_fault_to_the_first_agreement_that_lasts() {
    let mut tracker = SettlingTracker::new(at(0));
    tracker.observe(at(1_000), true);
    tracker.fault_injected(at(2_000));
    assert_eq!(tracker.settling_s(), None);
    tracker.observe(at(3_000), true);
    tracker.observe(at(4_000), false);
    assert!(!tracker.is_settled());
    tracker.observe(at(5_000), true);
    tracker.observe(at(6_000), true);
    assert_eq!(tracker.settling_s(), Some(3.0));
}
