use super::*;

#[test]
fn timers_fire_by_deadline_then_in_the_order_in_which_they_were_set() {
    let at = |ms: u64| Timestamp::from_micros(ms * 1_000);
    let mut queue = TimerQueue::new();
    queue.set(at(2), "c");
    queue.set(at(1), "a");
    queue.set(at(1), "b");
    assert_eq!((queue.len(), queue.next_deadline()), (3, Some(at(1))));
    assert_eq!(queue.pop_due(at(0)), None);
    let due: Vec<&str> = std::iter::from_fn(|| queue.pop_due(at(1))).collect();
    assert_eq!(due, ["a", "b"]);
    assert_eq!(queue.next_deadline(), Some(at(2)));
    queue.clear();
    assert_eq!(queue.next_deadline(), None);
}
