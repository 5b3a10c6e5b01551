use super::*;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1_000)
}

#[test]
fn what_is_heard_is_judged_by_who_is_missing_and_by_silence() {
    let mut j = Judgement::new(at(0));
    let e = Evidence {
        active: 9,
        missing: 1,
        last: Some(at(100)),
        others: true,
        aside: false,
    };
    assert!(j.judge(at(200), e));
    assert_eq!((j.hears, j.since), (Hears::Whole, at(200)));
    assert!(j.judge(
        at(300),
        Evidence {
            active: 7,
            missing: 3,
            ..e
        }
    ));
    assert_eq!(j.hears, Hears::Part);
    assert!(!j.judge(
        at(400),
        Evidence {
            active: 8,
            missing: 2,
            ..e
        }
    ));
    assert!(j.judge(at(2_101), e), "silence");
    assert_eq!(j.hears, Hears::Alone);
    assert!(j.judge(
        at(2_200),
        Evidence {
            last: Some(at(2_150)),
            ..e
        }
    ));
    assert_eq!((j.hears, j.due()), (Hears::Whole, Some(at(4_151))));
    // A hundred may miss ten; a fleet of one misses nobody.
    let many = Evidence {
        active: 90,
        missing: 10,
        last: Some(at(2_150)),
        others: true,
        aside: false,
    };
    assert!(!j.judge(at(2_200), many));
    assert!(!j.judge(at(9_000), Evidence::default()));
    assert_eq!(j.hears, Hears::Whole);
}
