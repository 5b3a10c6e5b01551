//! Operators' pages and tests quote these log lines.

use super::*;

fn state_change(from: BackendState, to: BackendState) -> String {
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
        "backend ejected, name=b1, seconds=2.1, failures=3.0, successes=0.0, overdue=2, slowdown=10",
        ", witnesses=4, reported_failures=1.2, zones=2",
    ]
    .concat();
    assert_eq!(ejected.to_string(), line);
    let alone = OutlierEvidence {
        overdue: 0,
        slowdown: None,
        witnesses: 0,
        ..evidence()
    };
    assert_eq!(
        alone.to_string(),
        "failures=3.0, successes=0.0, witnesses=0"
    );
}

#[test]
fn state_lines_name_both_states() {
    assert_eq!(
        state_change(BackendState::Ejected, BackendState::Probing),
        "backend probing, name=b1, from=ejected"
    );
    assert_eq!(
        state_change(BackendState::SlowStart, BackendState::Active),
        "backend active, name=b1, from=slow-start"
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
        "panic mode started, group_of=b0, outliers=6, backends=10"
    );
    assert_eq!(
        panic(false),
        "panic mode ended, group_of=b0, outliers=6, backends=10"
    );
    let configured = |present| {
        let name = "b1".into();
        BackendEvent::ConfigurationChanged { name, present }.to_string()
    };
    assert_eq!(configured(true), "backend added, name=b1");
    assert_eq!(configured(false), "backend removed, name=b1");
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
    assert!(queue.push(event()), "taking events makes room for new ones");
}
