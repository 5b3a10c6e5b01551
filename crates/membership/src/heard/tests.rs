use super::*;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1_000)
}

#[test]
fn what_is_heard_is_judged_by_who_is_missing_and_by_silence() {
    let mut j = ConnectivityStatus::new(at(0));
    let e = ConnectivityEvidence {
        active: 9,
        missing: 1,
        last: Some(at(100)),
        others: true,
        aside: false,
    };
    assert!(j.judge(at(200), e));
    assert_eq!((j.level, j.since), (Connectivity::Complete, at(200)));
    assert!(j.judge(
        at(300),
        ConnectivityEvidence {
            active: 7,
            missing: 3,
            ..e
        }
    ));
    assert_eq!(j.level, Connectivity::Partial);
    assert!(!j.judge(
        at(400),
        ConnectivityEvidence {
            active: 8,
            missing: 2,
            ..e
        }
    ));
    assert!(j.judge(at(2_101), e), "silence");
    assert_eq!(j.level, Connectivity::Isolated);
    assert!(j.judge(
        at(2_200),
        ConnectivityEvidence {
            last: Some(at(2_150)),
            ..e
        }
    ));
    assert_eq!(
        (j.level, j.due()),
        (Connectivity::Complete, Some(at(4_151)))
    );
    // A hundred may miss ten; a fleet of one misses nobody.
    let many = ConnectivityEvidence {
        active: 90,
        missing: 10,
        last: Some(at(2_150)),
        others: true,
        aside: false,
    };
    assert!(!j.judge(at(2_200), many));
    assert!(!j.judge(at(9_000), ConnectivityEvidence::default()));
    assert_eq!(j.level, Connectivity::Complete);
}
