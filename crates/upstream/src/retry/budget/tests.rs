use super::*;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000 + ms * 1_000)
}

/// All calls fail for a minute: with a ratio of 0.1, at most a tenth of them are retried, from the first moment on.
#[test]
fn retries_stay_within_the_ratio_during_an_outage() {
    let mut budget = RetryBudget::new(at(0), 0.1);
    let (mut first_attempts, mut retries) = (0.0, 0.0);
    for ms in (0..60_000).step_by(10) {
        budget.record_first_attempt(at(ms));
        first_attempts += 1.0;
        retries += f64::from(u8::from(budget.try_spend(at(ms))));
        assert!(
            retries <= first_attempts * 0.1 + 1e-6,
            "{retries} of {first_attempts}"
        );
    }
    assert!(retries > first_attempts * 0.09);
    assert!(!RetryBudget::new(at(0), 0.0).try_spend(at(0)));
}

#[test]
fn ratio_is_halved_while_the_fleet_is_near_its_retry_limit() {
    let mut budget = RetryBudget::new(at(0), 0.1);
    budget.set_fleet(Some(AttemptCounts {
        first_attempts: 1_000.0,
        retries: 90.0,
    }));
    let retries = (0..1_000u64).filter(|ms| {
        budget.record_first_attempt(at(*ms));
        budget.try_spend(at(*ms))
    });
    let retries = retries.count();
    assert!((45..=55).contains(&retries), "{retries}");
}
