//! Helpers shared by the unit tests of several modules.

use crate::identity::{MemberIdentity, Phase};
use madderbay::time::Timestamp;

pub(crate) fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1_000)
}

/// Returns the first identity of a server without a zone.
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
