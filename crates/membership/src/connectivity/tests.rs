use super::*;
use crate::tests::at;

const EVIDENCE: ConnectivityEvidence = ConnectivityEvidence {
    active: 9,
    missing: 1,
    last_received: Some(Timestamp::from_micros(100_000)),
    expects_peers: true,
    name_conflict: false,
};

/// Returns a status that became complete at 200 ms.
fn complete_status() -> ConnectivityStatus {
    let mut status = ConnectivityStatus::new(at(0));
    assert!(status.update(at(200), EVIDENCE));
    assert_eq!(
        (status.level, status.since),
        (Connectivity::Complete, at(200))
    );
    status
}

#[test]
fn more_missing_members_than_tolerated_mean_a_partition() {
    let mut status = complete_status();
    assert!(status.update(
        at(300),
        ConnectivityEvidence {
            active: 7,
            missing: 3,
            ..EVIDENCE
        }
    ));
    assert_eq!(status.level, Connectivity::Partial);
    assert!(!status.update(
        at(400),
        ConnectivityEvidence {
            active: 8,
            missing: 2,
            ..EVIDENCE
        }
    ));
    assert_eq!(
        (status.level, status.since),
        (Connectivity::Partial, at(300))
    );
}

#[test]
fn isolated_after_timeout_until_a_datagram_arrives() {
    let mut status = complete_status();
    assert!(status.update(at(2_101), EVIDENCE));
    assert_eq!(
        (status.level, status.next_timeout()),
        (Connectivity::Isolated, None)
    );
    let received = ConnectivityEvidence {
        last_received: Some(at(2_150)),
        ..EVIDENCE
    };
    assert!(status.update(at(2_200), received));
    assert_eq!(status.level, Connectivity::Complete);
    assert_eq!(status.next_timeout(), Some(at(4_151)));
}

#[test]
fn tolerates_a_tenth_of_the_fleet_missing() {
    let mut status = complete_status();
    assert!(!status.update(
        at(200),
        ConnectivityEvidence {
            active: 90,
            missing: 10,
            ..EVIDENCE
        }
    ));
    assert!(status.update(
        at(200),
        ConnectivityEvidence {
            active: 89,
            missing: 11,
            ..EVIDENCE
        }
    ));
}

#[test]
fn server_without_peers_stays_complete() {
    let mut status = complete_status();
    assert!(!status.update(at(9_000), ConnectivityEvidence::default()));
    assert_eq!(status.level, Connectivity::Complete);
}

#[test]
fn name_conflict_isolates_the_server() {
    let mut status = complete_status();
    assert!(status.update(
        at(300),
        ConnectivityEvidence {
            name_conflict: true,
            ..EVIDENCE
        }
    ));
    assert_eq!(status.level, Connectivity::Isolated);
}
