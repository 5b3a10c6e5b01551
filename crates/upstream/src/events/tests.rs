//! Operators' pages and tests quote these lines.

use super::*;

fn state_change(from: State, to: State) -> String {
    let name = "b1".into();
    BackendEvent::StateChanged { name, from, to }.to_string()
}

fn evidence() -> OutlierEvidence {
    OutlierEvidence {
        successes: 0.0,
        failures: 3.0,
        overdue: 2,
        slowdown: Some(9.8),
        reported_failures: 1.25,
        reporting_zones: 2,
        witnesses: 4,
    }
}

#[test]
fn ejection_line_gives_time_and_evidence() {
    let ejected = BackendEvent::Ejected {
        name: "b1".into(),
        evidence: evidence(),
        ejection_time: Duration::from_millis(2_140),
    };
    let line = [
        "b1: ejected for 2.1 s: own 3.0 bad, 0.0 good (2 silent)",
        " (10 times as slow as the others); heard 1.2 from 4 of 2 zones",
    ]
    .concat();
    assert_eq!(ejected.to_string(), line);
    let alone = OutlierEvidence {
        overdue: 0,
        slowdown: None,
        witnesses: 0,
        ..evidence()
    };
    assert_eq!(alone.to_string(), "own 3.0 bad, 0.0 good; nothing heard");
}

#[test]
fn state_lines_use_the_words_of_the_control_socket() {
    assert_eq!(
        state_change(State::Ejected, State::Probing),
        "b1: ejected to trial"
    );
    assert_eq!(
        state_change(State::SlowStart, State::Active),
        "b1: rising to in"
    );
}

#[test]
fn panic_and_configuration_lines_name_what_changed() {
    let panic = |active| {
        let name = "b0".into();
        BackendEvent::PanicModeChanged {
            name,
            active,
            outliers: 6,
            backends: 10,
        }
        .to_string()
    };
    assert_eq!(
        panic(true),
        "group of b0: 6 of 10 look bad; nobody is left out"
    );
    assert_eq!(
        panic(false),
        "group of b0: 6 of 10 look bad; the worst are left out again"
    );
    let configured = |present| {
        let name = "b1".into();
        BackendEvent::ConfigurationChanged { name, present }.to_string()
    };
    assert_eq!(configured(true), "b1: set");
    assert_eq!(configured(false), "b1: no longer set");
}

#[test]
fn pending_events_are_bounded() {
    let event = || BackendEvent::ConfigurationChanged {
        name: "b1".into(),
        present: true,
    };
    let mut queue = EventQueue::default();
    let accepted = (0..100).filter(|_| queue.push(event())).count();
    assert_eq!(
        (accepted, queue.take().len()),
        (MAX_PENDING_EVENTS, MAX_PENDING_EVENTS)
    );
    assert!(queue.push(event()), "taken events leave their place");
}
