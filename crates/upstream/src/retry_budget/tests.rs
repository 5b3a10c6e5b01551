use super::*;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000 + ms * 1_000)
}

/// All calls fail for a minute: no more than a tenth are made again, from the first moment on.
#[test]
fn a_full_outage_meets_a_tenth_more_at_the_most() {
    let mut repeats = Repeats::new(at(0), 0.1);
    let (mut firsts, mut again) = (0.0, 0.0);
    for ms in (0..60_000).step_by(10) {
        repeats.first(at(ms));
        firsts += 1.0;
        again += f64::from(u8::from(repeats.take(at(ms))));
        assert!(again <= firsts * 0.1 + 1e-6, "{again} of {firsts}");
    }
    assert!(again > firsts * 0.09);
    assert!(!Repeats::new(at(0), 0.0).take(at(0)));
}

#[test]
fn a_fleet_that_repeats_much_repeats_less() {
    let mut repeats = Repeats::new(at(0), 0.1);
    repeats.heard(Some((1_000.0, 90.0)));
    let again = (0..1_000u64).filter(|ms| {
        repeats.first(at(*ms));
        repeats.take(at(*ms))
    });
    let again = again.count();
    assert!((45..=55).contains(&again), "{again}");
}

#[test]
fn a_second_try_waits_for_nearly_all_calls() {
    let mut repeats = Repeats::new(at(0), 0.1);
    (0..29).for_each(|_| repeats.took(Duration::from_millis(20)));
    repeats.look();
    assert_eq!(repeats.hedge_after(at(1)), None);
    (0..2).for_each(|_| repeats.took(Duration::from_millis(300)));
    repeats.look();
    let after = repeats.hedge_after(at(1)).expect("enough came");
    assert!(
        (Duration::from_millis(200)..Duration::from_millis(310)).contains(&after),
        "{after:?}"
    );
}
