use super::*;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1_000)
}

/// Returns the indices of the faults that are due by `end_ms`, in the order in which they are popped.
fn due_until(queue: &mut EventQueue, end_ms: u64) -> Vec<usize> {
    let next = || queue.pop_until(at(end_ms));
    std::iter::from_fn(next)
        .map(|(_, event)| match event {
            Event::FaultDue(index) => index,
            _ => unreachable!("only faults are scheduled here"),
        })
        .collect()
}

#[test]
fn events_pop_by_due_time_then_in_scheduling_order() {
    let mut queue = EventQueue::default();
    for (index, due_ms) in [30, 10, 20, 10, 30].into_iter().enumerate() {
        queue.push(at(due_ms), Event::FaultDue(index));
    }
    assert_eq!(due_until(&mut queue, 30), [1, 3, 2, 0, 4]);
}

#[test]
fn events_due_after_the_end_stay_queued() {
    let mut queue = EventQueue::default();
    queue.push(at(11), Event::FaultDue(0));
    queue.push(at(10), Event::FaultDue(1));
    assert_eq!(due_until(&mut queue, 10), [1]);
    assert_eq!(due_until(&mut queue, 11), [0]);
}
