//! Tests of the order of deadlines and of the tick.

use super::*;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

/// Returns deadlines without the maintenance that is due at the start.
fn deadlines() -> Deadlines {
    let mut deadlines = Deadlines::new(at(0));
    assert_eq!(deadlines.pop_due(at(0)), Some(Deadline::Maintenance));
    deadlines
}

#[test]
fn reaches_deadlines_by_instant_then_kind_then_id() {
    let mut deadlines = deadlines();
    deadlines.insert(at(20), Deadline::Hedge(1));
    deadlines.insert(at(20), Deadline::CallTimeout(2));
    deadlines.insert(at(20), Deadline::CallTimeout(1));
    deadlines.insert(at(10), Deadline::DurableAnswer(9));
    deadlines.insert(at(21), Deadline::CallTimeout(3));
    let due = std::iter::from_fn(|| deadlines.pop_due(at(20)));
    assert_eq!(
        due.collect::<Vec<_>>(),
        [
            Deadline::DurableAnswer(9),
            Deadline::CallTimeout(1),
            Deadline::CallTimeout(2),
            Deadline::Hedge(1),
        ]
    );
    assert_eq!(deadlines.next(), Some(at(21)));
}

#[test]
fn removes_deadline_only_at_its_instant() {
    let mut deadlines = deadlines();
    deadlines.insert(at(10), Deadline::Hedge(1));
    deadlines.remove(at(11), Deadline::Hedge(1));
    assert_eq!(deadlines.next(), Some(at(10)));
    deadlines.remove(at(10), Deadline::Hedge(1));
    assert_eq!(deadlines.next(), None);
}

#[test]
fn schedules_next_tick_from_previous_deadline() {
    let mut deadlines = deadlines();
    let interval = Duration::from_millis(10);
    deadlines.tick_timer().set(at(0), interval);
    assert_eq!(deadlines.next(), Some(at(10)));
    assert!(!deadlines.is_tick_overdue(at(12), Duration::from_millis(2)));
    assert!(deadlines.is_tick_overdue(at(13), Duration::from_millis(2)));
    // This tick is reached 3 ms late; the next one is not counted from then.
    assert_eq!(deadlines.tick_timer().take_due(at(13)), Some(at(10)));
    deadlines.tick_timer().set(at(13), interval);
    assert_eq!(deadlines.next(), Some(at(20)));
}

#[test]
fn replaces_deadlines_of_idle_connections() {
    let mut deadlines = deadlines();
    deadlines.insert(at(5), Deadline::ConnectionIdle(1));
    deadlines.insert(at(6), Deadline::FirstRequest(1));
    let idle = IdleDeadline {
        connection: 2,
        at: at(9),
    };
    deadlines.replace_idle([idle].into_iter());
    assert_eq!(deadlines.pop_due(at(9)), Some(Deadline::FirstRequest(1)));
    assert_eq!(deadlines.pop_due(at(9)), Some(Deadline::ConnectionIdle(2)));
    assert_eq!(deadlines.pop_due(at(9)), None);
}
