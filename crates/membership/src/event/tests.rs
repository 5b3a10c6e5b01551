//! The operator documentation quotes the lines that these tests check.

use super::*;
use crate::connectivity::{Connectivity, ConnectivityEvidence};

fn state_change_line(from: Option<MemberState>, to: MemberState, reason: ChangeReason) -> String {
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
        state_change_line(None, MemberState::Joining, ChangeReason::Discovered),
        "member joining, name=n2, address=127.0.0.1:7946, from=unknown, reason=discovered"
    );
    assert_eq!(
        state_change_line(
            Some(alive),
            suspect,
            ChangeReason::ProbeFailed { since_received }
        ),
        "member suspect, name=n2, address=127.0.0.1:7946, from=alive, reason=probe-failed, \
         last_received_ms=1500"
    );
    let expired = ChangeReason::SuspicionExpired {
        since_received: None,
    };
    assert_eq!(
        state_change_line(Some(suspect), down, expired),
        "member down, name=n2, address=127.0.0.1:7946, from=suspect, reason=suspicion-expired, \
         last_received_ms=never"
    );
    assert_eq!(
        state_change_line(
            Some(alive),
            alive,
            ChangeReason::Restarted { from: 5, to: 9 }
        ),
        "member alive, name=n2, address=127.0.0.1:7946, from=alive, reason=restarted, \
         from_incarnation=5, incarnation=9"
    );
}

#[test]
fn displays_changes_of_this_server() {
    let paused = MembershipEvent::Paused {
        duration: Duration::from_millis(250),
    };
    assert_eq!(paused.to_string(), "process paused, duration_ms=250");
    let renewed = MembershipEvent::IdentityRenewed { revision: 3 };
    assert_eq!(
        renewed.to_string(),
        "identity renewed after being declared down, revision=3"
    );
    let superseded = MembershipEvent::IncarnationSuperseded { incarnation: 7 };
    let line = "former incarnation superseded, incarnation=7";
    assert_eq!(superseded.to_string(), line);
    let conflict = MembershipEvent::NameConflict {
        address: ([127, 0, 0, 1], 7_946).into(),
    };
    let line = "name owned by another server, address=127.0.0.1:7946";
    assert_eq!(conflict.to_string(), line);
    assert_eq!(MembershipEvent::NameRegained.to_string(), "name regained");
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
        "connectivity partial, active=2, missing=1, last_received_ms=100"
    );
}
