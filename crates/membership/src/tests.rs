//! What the tests of several modules share.

use crate::identity::{MemberIdentity, Phase};
use madderbay::time::Timestamp;

pub(crate) fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1_000)
}

/// The first identity of a server without a zone.
pub(crate) fn identity(name: &str) -> MemberIdentity {
    MemberIdentity {
        name: name.into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "".into(),
        incarnation: 1,
        revision: 0,
        phase: Phase::Joined,
    }
}
