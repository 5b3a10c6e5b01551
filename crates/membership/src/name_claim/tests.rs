use super::*;
use crate::identity::Phase;

fn identity(port: u16, incarnation: u64, revision: u32) -> MemberIdentity {
    let address = ([127, 0, 0, 1], port).into();
    let (name, zone) = ("a".into(), "z".into());
    MemberIdentity {
        name,
        address,
        zone,
        incarnation,
        revision,
        phase: Phase::Joined,
    }
}

#[test]
fn judges_claims_to_own_name() {
    let own = identity(1, 50, 2);
    let former = ClaimVerdict::FormerIncarnation { incarnation: 90 };
    assert_eq!(
        judge_claim(&own, &identity(1, 50, 2), true),
        ClaimVerdict::DeclaredDown
    );
    assert_eq!(
        judge_claim(&own, &identity(1, 50, 2), false),
        ClaimVerdict::Stale
    );
    assert_eq!(
        judge_claim(&own, &identity(1, 50, 1), true),
        ClaimVerdict::Stale
    );
    assert_eq!(
        judge_claim(&own, &identity(2, 49, 9), false),
        ClaimVerdict::Stale
    );
    // After the clock stepped back, the earlier incarnation has the higher value.
    assert_eq!(judge_claim(&own, &identity(1, 90, 0), false), former);
    assert_eq!(judge_claim(&own, &identity(2, 90, 0), true), former);
    assert_eq!(
        judge_claim(&own, &identity(2, 90, 0), false),
        ClaimVerdict::NameConflict
    );
}

#[test]
fn exactly_one_of_two_servers_yields_the_name() {
    let pairs = [
        (identity(1, 5, 0), identity(2, 5, 0)),
        (identity(1, 5, 1), identity(2, 5, 0)),
        (identity(1, 4, 9), identity(2, 5, 0)),
    ];
    for (a, b) in pairs {
        let verdicts = [judge_claim(&a, &b, false), judge_claim(&b, &a, false)];
        let conflicts = verdicts
            .iter()
            .filter(|v| **v == ClaimVerdict::NameConflict)
            .count();
        assert_eq!(conflicts, 1, "{verdicts:?}");
    }
}
