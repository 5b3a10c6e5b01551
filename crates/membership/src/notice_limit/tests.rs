use super::*;

#[test]
fn allows_a_limited_number_of_notices_in_each_window() {
    let at = |ms: u64| Timestamp::from_micros(ms * 1_000);
    let mut limit = NoticeLimit::new(at(0));
    let allowed =
        |limit: &mut NoticeLimit, ms| (0..20).filter(|_| limit.try_acquire(at(ms))).count();
    assert_eq!(allowed(&mut limit, 50), 10);
    assert_eq!(allowed(&mut limit, 99), 0);
    assert_eq!(allowed(&mut limit, 100), 10);
}
