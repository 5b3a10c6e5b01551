use super::*;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1_000)
}

#[test]
fn measures_from_the_last_fault_to_lasting_convergence() {
    let mut tracker = ConvergenceTracker::new(at(0));
    tracker.observe(at(1_000), true);
    tracker.record_fault(at(2_000));
    assert_eq!(tracker.convergence_s(), None);
    tracker.observe(at(3_000), true);
    tracker.observe(at(4_000), false);
    assert!(!tracker.has_converged());
    tracker.observe(at(5_000), true);
    tracker.observe(at(6_000), true);
    assert_eq!(tracker.convergence_s(), Some(3.0));
}
