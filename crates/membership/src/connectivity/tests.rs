use super::*;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1_000)
}

#[test]
fn level_follows_missing_members_and_silence() {
    let mut status = ConnectivityStatus::new(at(0));
    let evidence = ConnectivityEvidence {
        active: 9,
        missing: 1,
        last_received: Some(at(100)),
        expects_peers: true,
        name_conflict: false,
    };
    assert!(status.update(at(200), evidence));
    assert_eq!(
        (status.level, status.since),
        (Connectivity::Complete, at(200))
    );
    assert!(status.update(
        at(300),
        ConnectivityEvidence {
            active: 7,
            missing: 3,
            ..evidence
        }
    ));
    assert_eq!(status.level, Connectivity::Partial);
    assert!(!status.update(
        at(400),
        ConnectivityEvidence {
            active: 8,
            missing: 2,
            ..evidence
        }
    ));
    assert!(
        status.update(at(2_101), evidence),
        "no datagram for the isolation timeout"
    );
    assert_eq!(status.level, Connectivity::Isolated);
    let received = ConnectivityEvidence {
        last_received: Some(at(2_150)),
        ..evidence
    };
    assert!(status.update(at(2_200), received));
    assert_eq!(
        (status.level, status.next_timeout()),
        (Connectivity::Complete, Some(at(4_151)))
    );
    // Ten of a hundred may be missing; a fleet of one misses nobody.
    let large = ConnectivityEvidence {
        active: 90,
        missing: 10,
        ..received
    };
    assert!(!status.update(at(2_200), large));
    assert!(!status.update(at(9_000), ConnectivityEvidence::default()));
    assert_eq!(status.level, Connectivity::Complete);
}
