use super::*;
use crate::identity::Phase;

#[test]
fn one_roster_at_a_time_and_seldomer_where_it_brings_nothing() {
    let at = |ms: u64| Timestamp::from_micros(ms * 1_000);
    let address = ([127, 0, 0, 1], 1).into();
    let id = MemberIdentity {
        name: "b".into(),
        address,
        zone: "".into(),
        incarnation: 1,
        revision: 0,
        phase: Phase::Joined,
    };
    let mut roster = Roster::new(at(0));
    assert_eq!(roster.differs(at(0), &id, at(0), 0.5), Some("".into()));
    assert_eq!(
        roster.differs(at(200), &id, at(0), 0.5),
        None,
        "one is under way"
    );
    assert_eq!(
        roster.page(at(10), Some(&"m".into()), false, 3),
        Some("m".into())
    );
    assert_eq!(roster.due(&id), Some(&"m".into()));
    // The page past it is lost: the roster goes on from there, with another.
    let other = MemberIdentity {
        name: "c".into(),
        ..id.clone()
    };
    assert_eq!(roster.differs(at(250), &other, at(0), 0.5), None);
    assert_eq!(
        roster.differs(at(260), &other, at(0), 0.5),
        Some("m".into())
    );
    assert_eq!(
        (roster.due(&id), roster.due(&other)),
        (None, Some(&"m".into()))
    );
    // A page that does not go on would be asked for for ever.
    assert_eq!(roster.page(at(530), Some(&"k".into()), false, 0), None);
    assert!(roster.whole);
    let mut asks = |ms: u64, changed: u64| roster.differs(at(ms), &id, at(changed), 0.5).is_some();
    assert!(
        !asks(929, 0) && asks(930, 0),
        "soon again, since it brought some"
    );
    roster.page(at(940), None, true, 0);
    let mut asks = |ms: u64, changed: u64| roster.differs(at(ms), &id, at(changed), 0.5).is_some();
    assert!(!asks(1_329, 0) && asks(1_330, 0), "drawn before");
    roster.page(at(1_340), None, true, 0);
    let mut asks = |ms: u64, changed: u64| roster.differs(at(ms), &id, at(changed), 0.5).is_some();
    assert!(!asks(2_129, 0), "seldomer where it brings nothing");
    assert!(!asks(2_130, 2_000), "news is under way");
    assert!(
        !asks(3_129, 3_000) && asks(3_130, 3_000),
        "for a while, not for ever"
    );
}
