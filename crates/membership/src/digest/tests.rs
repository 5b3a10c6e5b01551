use super::*;
use crate::identity::Phase;

fn identity(name: &str, incarnation: u64, phase: Phase) -> MemberIdentity {
    MemberIdentity {
        name: name.into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "".into(),
        incarnation,
        revision: 0,
        phase,
    }
}

#[test]
fn digest_depends_on_members_and_not_on_their_order() {
    let members = ["a", "b", "c"].map(|name| identity(name, 1, Phase::Joined));
    let digest = |order: [usize; 3]| {
        let mut digest = ViewDigest::default();
        order
            .iter()
            .for_each(|i| digest.toggle(&members[*i].name, identity_hash(&members[*i])));
        digest
    };
    let (first, second) = (digest([0, 1, 2]), digest([2, 0, 1]));
    assert_eq!(
        (first.total(), first.buckets()),
        (second.total(), second.buckets())
    );
    let mut without = digest([0, 1, 2]);
    members
        .iter()
        .for_each(|m| without.toggle(&m.name, identity_hash(m)));
    assert_eq!(
        (without.total(), without.buckets()),
        (0, &[0; DIGEST_BUCKETS])
    );
}

#[test]
fn hash_changes_with_incarnation_and_phase() {
    let hash = |incarnation, phase| identity_hash(&identity("a", incarnation, phase));
    let base = hash(1, Phase::Joined);
    assert_ne!(base, hash(2, Phase::Joined));
    assert_ne!(base, hash(1, Phase::Draining));
    assert_eq!(base, hash(1, Phase::Joined));
}
