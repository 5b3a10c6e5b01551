//! Evaluation of claims to this server's name by other servers or by earlier incarnations.
//!
//! A newer incarnation replaces an older one. If the clock stepped back between two incarnations of
//! a server, a peer that remembers the earlier one reports it, and the server continues with a
//! higher incarnation. If two running servers have the same name, the newer incarnation owns the
//! name. This module is stateless and only decides.

use crate::identity::MemberIdentity;
use std::cmp::Ordering;

/// Result of comparing a claim with this server's own identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimVerdict {
    /// The claim is of an older version or of this server's own identity: no action is needed.
    Stale,
    /// This server's own identity was declared down, which has to be refuted.
    DeclaredDown,
    /// An earlier incarnation of this server, or one that is down, ranks as newer than this
    /// server's own.
    FormerIncarnation {
        /// Value that this server's incarnation has to exceed.
        incarnation: u64,
    },
    /// Another running server owns the name.
    NameConflict,
}

/// Compares a claim to this server's name with its own identity. `down` tells whether the reporting
/// server considers the claimant down.
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
