use super::*;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1_000)
}

fn count_taken(limiter: &mut RateLimiter, now: Timestamp, attempts: usize) -> usize {
    (0..attempts).filter(|_| limiter.try_take(now)).count()
}

#[test]
fn restores_all_permits_once_the_interval_is_over() {
    let refill = Refill::EachInterval(Duration::from_millis(1_000));
    let mut limiter = RateLimiter::new(at(500), 3, refill);
    assert_eq!(count_taken(&mut limiter, at(500), 2), 2);
    assert_eq!(count_taken(&mut limiter, at(1_499), 4), 1);
    assert_eq!(limiter.refused(), 3);
    assert!(!limiter.refill(at(1_499)));
    assert!(limiter.refill(at(1_500)));
    assert_eq!(count_taken(&mut limiter, at(1_500), 9), 3);
    assert_eq!(limiter.take_refused(), 3 + 6);
    assert_eq!(limiter.refused(), 0);
}

#[test]
fn restores_permits_per_second_up_to_the_burst() {
    let mut limiter = RateLimiter::new(at(0), 10, Refill::PerSecond(100.0));
    assert_eq!(count_taken(&mut limiter, at(0), 50), 10);
    assert!(!limiter.has_permit());
    assert_eq!(count_taken(&mut limiter, at(20), 50), 2);
    assert_eq!(count_taken(&mut limiter, at(5_000), 50), 10);
}

#[test]
fn accumulates_fractions_of_permits() {
    let mut limiter = RateLimiter::new(at(0), 10, Refill::PerSecond(100.0));
    let admitted = (0..1_000).filter(|ms| limiter.try_take(at(*ms))).count();
    // Ten at once, and the whole permits of 999 milliseconds.
    assert!((108..=109).contains(&admitted), "{admitted} in a second");
}

#[test]
fn restores_no_permits_while_the_clock_stands_still() {
    for refill in [
        Refill::EachInterval(Duration::from_millis(1)),
        Refill::PerSecond(1e6),
    ] {
        let mut limiter = RateLimiter::new(at(7), 2, refill);
        assert_eq!(count_taken(&mut limiter, at(7), 100), 2);
    }
}
