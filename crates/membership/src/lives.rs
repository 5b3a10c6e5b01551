//! Lives of one name. A newer life wins; a clock that stepped back between two lives of a server is refuted by
//! whoever remembers the former one; of two servers under one name the newer life keeps it.

use crate::id::MemberIdentity;

/// What a server makes of a claim to its own name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// An older life, or its own: nothing to do but tell whoever claims it.
    Older,
    /// Its own word, and held down: it has to say that it lives.
    HeldDown,
    /// A former life of its own, or one that is over, with a clock ahead: its life begins past that one.
    Past(u64),
    /// Another server lives under its name.
    Taken,
}

/// `down`: whoever claims the name is held down by who tells of it.
pub fn judge(own: &MemberIdentity, claims: &MemberIdentity, down: bool) -> Verdict {
    if claims.version() == own.version() && claims.address == own.address {
        return if down {
            Verdict::HeldDown
        } else {
            Verdict::Older
        };
    }
    let older = (claims.version(), claims.address) < (own.version(), own.address);
    match (older, claims.address == own.address || down) {
        (true, _) => Verdict::Older,
        (false, true) => Verdict::Past(claims.incarnation),
        (false, false) => Verdict::Taken,
    }
}

#[cfg(test)]
mod tests;
