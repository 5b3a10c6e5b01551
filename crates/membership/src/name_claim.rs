//! Claims of other servers, or of former incarnations, to this server's name.
//!
//! A newer incarnation replaces an older one. If the clock stepped back between two incarnations of
//! one server, a peer that remembers the former one reports it, and this server moves past it. Of
//! two running servers with one name the newer incarnation owns the name. This module only decides;
//! it holds no state.

use crate::identity::MemberIdentity;
use std::cmp::Ordering;

/// Result of comparing a claim with the own identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimVerdict {
    /// An older incarnation, or the own identity: no action.
    Stale,
    /// The own identity, declared down: it has to be refuted.
    DeclaredDown,
    /// A former incarnation of this server, or one that ended, has a higher value.
    FormerIncarnation {
        /// The value that the own incarnation has to exceed.
        incarnation: u64,
    },
    /// Another running server owns the name.
    NameConflict,
}

/// Compares a claim to the own name with the own identity. `down` says whether the reporting server
/// considers the claimant down.
pub(crate) fn judge_claim(
    own: &MemberIdentity,
    claimant: &MemberIdentity,
    down: bool,
) -> ClaimVerdict {
    let same_address = claimant.address == own.address;
    match claimant.compare_precedence(own) {
        Ordering::Equal if down => ClaimVerdict::DeclaredDown,
        Ordering::Equal | Ordering::Less => ClaimVerdict::Stale,
        Ordering::Greater if same_address || down => ClaimVerdict::FormerIncarnation {
            incarnation: claimant.incarnation,
        },
        Ordering::Greater => ClaimVerdict::NameConflict,
    }
}

#[cfg(test)]
mod tests;
