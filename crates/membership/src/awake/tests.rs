use super::*;

#[test]
fn a_pause_moves_what_is_due_and_is_told_until_it_fades() {
    let mut awake = Awake::default();
    let at = |ms: u64| Timestamp::from_micros(ms * 1_000);
    assert_eq!(awake.wake(at(1_000), Some(at(950))), None);
    assert_eq!((awake.now(), awake.told()), (at(1_000), 0));
    // Due at 1,500, woken at 6,500: what is due at 2,000 by its own clock comes 5 s later.
    assert_eq!(
        awake.wake(at(6_500), Some(at(1_500))),
        Some(Duration::from_millis(5_000))
    );
    assert_eq!(
        (awake.now(), awake.outside(at(2_000))),
        (at(1_500), at(7_000))
    );
    assert!(awake.held_up());
    assert_eq!(awake.told(), 8);
    assert_eq!(awake.wake(at(11_400), Some(at(11_400))), None);
    assert_eq!((awake.held_up(), awake.told()), (true, 1));
    awake.wake(at(11_500), None);
    assert_eq!((awake.held_up(), awake.told()), (false, 0));
}

#[test]
fn time_that_steps_back_is_no_time() {
    let mut awake = Awake::default();
    awake.wake(Timestamp::from_micros(5_000_000), None);
    awake.wake(
        Timestamp::from_micros(4_000_000),
        Some(Timestamp::from_micros(5_000_000)),
    );
    assert_eq!(awake.now(), Timestamp::from_micros(5_000_000));
}
