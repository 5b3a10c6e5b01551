use super::*;
use crate::tests::{at, identity};

fn probe(name: &str, number: u8) -> Probe {
    Probe {
        target: identity(name),
        number,
    }
}

/// Repeats a probe from 1,000 ms on; a ping is due every 22.5 ms.
fn retry_of_started_probe() -> ProbeRetry {
    let mut retry = ProbeRetry::new(Duration::from_millis(500), Duration::from_millis(200));
    assert_eq!(retry.next_timeout(), None);
    retry.start(at(1_000), probe("a", 7));
    retry
}

#[test]
fn repeats_unanswered_probe_ten_times() {
    let mut retry = retry_of_started_probe();
    let mut pings = 0;
    while let Some(due) = retry.next_timeout() {
        assert_eq!(due, at(1_000) + Duration::from_micros(22_500 * pings));
        assert!(retry.take_due(due).is_some_and(|p| p.number == 7));
        assert!(retry.take_due(due).is_none(), "one ping at a time");
        pings += 1;
    }
    assert_eq!(pings, 10);
    retry.start(at(2_000), probe("a", 7));
    assert_eq!(
        retry.next_timeout(),
        None,
        "the same probe is not repeated again"
    );
}

#[test]
fn stops_when_the_probe_is_answered() {
    let mut retry = retry_of_started_probe();
    retry.record_answer(&probe("b", 7).target, 7);
    retry.record_answer(&probe("a", 7).target, 6);
    assert!(
        retry.next_timeout().is_some(),
        "answers to other probes do not count"
    );
    retry.record_answer(&probe("a", 7).target, 7);
    assert_eq!(retry.next_timeout(), None);
    retry.start(at(2_000), probe("a", 8));
    assert_eq!(retry.next_timeout(), Some(at(2_000)));
}
