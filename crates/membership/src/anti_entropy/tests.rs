use super::*;
use crate::tests::{at, identity};

/// Returns the name after which the roster of member `name` is requested now, if it is requested.
fn requested_after(sync: &mut RosterSync, name: &str, now_ms: u64) -> Option<CompactString> {
    sync.try_start_request(at(now_ms), &identity(name), at(0), 0.5)
}

fn requests_roster(sync: &mut RosterSync, now_ms: u64, changed_ms: u64) -> bool {
    sync.try_start_request(at(now_ms), &identity("b"), at(changed_ms), 0.5)
        .is_some()
}

/// A schedule for which the first page of a roster arrived at 10 ms, with three new members.
fn with_first_page() -> RosterSync {
    let mut sync = RosterSync::new(at(0));
    assert_eq!(requested_after(&mut sync, "b", 0), Some("".into()));
    assert_eq!(
        sync.handle_page(at(10), Some(&"m".into()), false, 3),
        Some("m".into())
    );
    sync
}

/// A schedule for which the second page was lost and requested again at 260 ms.
fn with_lost_page() -> RosterSync {
    let mut sync = with_first_page();
    assert_eq!(requested_after(&mut sync, "c", 260), Some("m".into()));
    sync
}

/// A schedule for which a roster with new members ended at 530 ms.
fn with_productive_roster() -> RosterSync {
    let mut sync = with_lost_page();
    assert_eq!(sync.handle_page(at(530), Some(&"k".into()), false, 0), None);
    sync
}

#[test]
fn sends_no_request_while_a_page_is_pending() {
    let mut sync = RosterSync::new(at(0));
    assert_eq!(requested_after(&mut sync, "b", 0), Some("".into()));
    assert_eq!(requested_after(&mut sync, "b", 200), None);
    assert_eq!(
        sync.handle_page(at(10), Some(&"m".into()), false, 3),
        Some("m".into())
    );
    assert_eq!(sync.pending_page(&identity("b")), Some(&"m".into()));
}

#[test]
fn continues_at_a_lost_page_with_another_member() {
    let mut sync = with_first_page();
    assert_eq!(requested_after(&mut sync, "c", 250), None);
    assert_eq!(requested_after(&mut sync, "c", 260), Some("m".into()));
    assert_eq!(sync.pending_page(&identity("b")), None);
    assert_eq!(sync.pending_page(&identity("c")), Some(&"m".into()));
}

#[test]
fn page_that_does_not_advance_ends_the_roster() {
    let mut sync = with_lost_page();
    assert!(!sync.is_complete());
    assert_eq!(sync.handle_page(at(530), Some(&"k".into()), false, 0), None);
    assert!(sync.is_complete());
}

#[test]
fn requests_again_soon_after_a_roster_with_new_members() {
    let mut sync = with_productive_roster();
    assert!(!requests_roster(&mut sync, 929, 0));
    assert!(requests_roster(&mut sync, 930, 0));
}

#[test]
fn backs_off_while_rosters_contain_nothing_new() {
    let mut sync = with_productive_roster();
    assert!(requests_roster(&mut sync, 930, 0));
    sync.handle_page(at(940), None, true, 0);
    assert!(
        !requests_roster(&mut sync, 1_329, 0) && requests_roster(&mut sync, 1_330, 0),
        "this interval was drawn before it grew"
    );
    sync.handle_page(at(1_340), None, true, 0);
    assert!(
        !requests_roster(&mut sync, 2_129, 0),
        "the interval has grown"
    );
    assert!(
        !requests_roster(&mut sync, 2_130, 2_000),
        "gossip is spreading"
    );
    let bounded =
        !requests_roster(&mut sync, 3_129, 3_000) && requests_roster(&mut sync, 3_130, 3_000);
    assert!(bounded, "the wait for gossip is bounded");
}
