//! The operators' pages quote these lines.

use super::*;
use crate::connectivity::{Connectivity, ConnectivityEvidence};

fn state_changed(from: Option<MemberState>, to: MemberState, reason: ChangeReason) -> String {
    let (name, address) = ("n2".into(), ([127, 0, 0, 1], 7_946).into());
    MembershipEvent::StateChanged {
        name,
        address,
        from,
        to,
        reason,
    }
    .to_string()
}

#[test]
fn displays_state_changes() {
    let since_received = Some(Duration::from_millis(1_500));
    let (alive, suspect, down) = (MemberState::Alive, MemberState::Suspect, MemberState::Down);
    assert_eq!(
        state_changed(None, MemberState::Joining, ChangeReason::Discovered),
        "n2 at 127.0.0.1:7946: unknown to joining: met"
    );
    assert_eq!(
        state_changed(
            Some(alive),
            suspect,
            ChangeReason::ProbeFailed { since_received }
        ),
        "n2 at 127.0.0.1:7946: alive to suspect: does not answer, heard itself 1500 ms ago"
    );
    let expired = ChangeReason::SuspicionExpired {
        since_received: None,
    };
    assert_eq!(
        state_changed(Some(suspect), down, expired),
        "n2 at 127.0.0.1:7946: suspect to down: did not refute it, never heard itself"
    );
    assert_eq!(
        state_changed(
            Some(alive),
            alive,
            ChangeReason::Restarted { from: 5, to: 9 }
        ),
        "n2 at 127.0.0.1:7946: alive to alive: life 9 after 5"
    );
}

#[test]
fn displays_changes_of_this_server() {
    let paused = MembershipEvent::Paused {
        duration: Duration::from_millis(250),
    };
    assert_eq!(
        paused.to_string(),
        "held up for 250 ms; accuses nobody for a while"
    );
    let renewed = MembershipEvent::IdentityRenewed { revision: 3 };
    assert_eq!(
        renewed.to_string(),
        "held down by others; goes on as turn 3"
    );
    let superseded = MembershipEvent::IncarnationSuperseded { incarnation: 7 };
    let line = "life 7 stands under this name; this one begins past it";
    assert_eq!(superseded.to_string(), line);
    let conflict = MembershipEvent::NameConflict {
        address: ([127, 0, 0, 1], 7_946).into(),
    };
    let line = "this name is taken by 127.0.0.1:7946; silent while that lives";
    assert_eq!(conflict.to_string(), line);
    assert_eq!(
        MembershipEvent::NameRegained.to_string(),
        "this name is free again"
    );
}

#[test]
fn displays_changes_of_connectivity() {
    let at = Timestamp::from_micros(5_000_000);
    let evidence = ConnectivityEvidence {
        active: 2,
        missing: 1,
        last_received: Some(Timestamp::from_micros(4_900_000)),
        ..ConnectivityEvidence::default()
    };
    let status = ConnectivityStatus {
        level: Connectivity::Partial,
        since: at,
        evidence,
    };
    let event = MembershipEvent::ConnectivityChanged { status, at };
    assert_eq!(
        event.to_string(),
        "hears part: 2 in, 1 missing, last word 100 ms ago"
    );
}
