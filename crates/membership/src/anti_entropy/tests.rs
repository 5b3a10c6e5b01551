use super::*;
use crate::identity::Phase;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1_000)
}

fn identity(name: &str) -> MemberIdentity {
    MemberIdentity {
        name: name.into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "".into(),
        incarnation: 1,
        revision: 0,
        phase: Phase::Joined,
    }
}

fn requests(sync: &mut RosterSync, now_ms: u64, changed_ms: u64) -> bool {
    sync.digest_differs(at(now_ms), &identity("b"), at(changed_ms), 0.5)
        .is_some()
}

#[test]
fn reads_one_roster_at_a_time_and_backs_off_while_nothing_is_new() {
    let (first, second) = (identity("b"), identity("c"));
    let mut sync = RosterSync::new(at(0));
    assert_eq!(
        sync.digest_differs(at(0), &first, at(0), 0.5),
        Some("".into())
    );
    assert_eq!(
        sync.digest_differs(at(200), &first, at(0), 0.5),
        None,
        "a page is pending"
    );
    assert_eq!(
        sync.page_received(at(10), Some(&"m".into()), false, 3),
        Some("m".into())
    );
    assert_eq!(sync.pending_page(&first), Some(&"m".into()));
    // The next page is lost: the roster continues there, with another member.
    assert_eq!(sync.digest_differs(at(250), &second, at(0), 0.5), None);
    assert_eq!(
        sync.digest_differs(at(260), &second, at(0), 0.5),
        Some("m".into())
    );
    assert_eq!(
        (sync.pending_page(&first), sync.pending_page(&second)),
        (None, Some(&"m".into()))
    );
    // A page that does not advance ends the roster.
    assert_eq!(
        sync.page_received(at(530), Some(&"k".into()), false, 0),
        None
    );
    assert!(sync.is_complete());
    assert!(
        !requests(&mut sync, 929, 0) && requests(&mut sync, 930, 0),
        "soon, as there was something new"
    );
    sync.page_received(at(940), None, true, 0);
    assert!(
        !requests(&mut sync, 1_329, 0) && requests(&mut sync, 1_330, 0),
        "drawn before"
    );
    sync.page_received(at(1_340), None, true, 0);
    assert!(
        !requests(&mut sync, 2_129, 0),
        "a longer interval, as there was nothing new"
    );
    assert!(!requests(&mut sync, 2_130, 2_000), "gossip is spreading");
    assert!(
        !requests(&mut sync, 3_129, 3_000) && requests(&mut sync, 3_130, 3_000),
        "a bounded wait"
    );
}
