use super::*;
use crate::id::Phase;

fn id(port: u16, life: u64, turn: u32) -> MemberIdentity {
    let address = ([127, 0, 0, 1], port).into();
    MemberIdentity {
        name: "a".into(),
        address,
        zone: "z".into(),
        incarnation: life,
        turn,
        phase: Phase::In,
    }
}

#[test]
fn claims_to_the_own_name() {
    let own = id(1, 50, 2);
    assert_eq!(judge(&own, &id(1, 50, 2), true), Verdict::HeldDown);
    assert_eq!(judge(&own, &id(1, 50, 2), false), Verdict::Older);
    assert_eq!(judge(&own, &id(1, 50, 1), true), Verdict::Older);
    assert_eq!(judge(&own, &id(2, 49, 9), false), Verdict::Older);
    // A clock that stepped back: the former life stands ahead of this one.
    assert_eq!(judge(&own, &id(1, 90, 0), false), Verdict::Past(90));
    assert_eq!(judge(&own, &id(2, 90, 0), true), Verdict::Past(90));
    assert_eq!(judge(&own, &id(2, 90, 0), false), Verdict::Taken);
}

/// Of two that meet exactly one gives way, whatever their clocks say.
#[test]
fn one_of_two_gives_way() {
    for (a, b) in [
        (id(1, 5, 0), id(2, 5, 0)),
        (id(1, 5, 1), id(2, 5, 0)),
        (id(1, 4, 9), id(2, 5, 0)),
    ] {
        let gives = [judge(&a, &b, false), judge(&b, &a, false)];
        assert_eq!(
            gives.iter().filter(|v| **v == Verdict::Taken).count(),
            1,
            "{gives:?}"
        );
    }
}
