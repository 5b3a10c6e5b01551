//! Digest of a view: equal digests mean equal views.
//!
//! The digest is the XOR of one hash per active member, computed over all members and separately
//! for each bucket of members. Two views differ only in buckets whose digests differ, so a roster
//! contains only members of these buckets.

use crate::identity::MemberIdentity;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Number of buckets. With a thousand members, a bucket contains sixteen, which fit in a datagram.
pub(crate) const DIGEST_BUCKETS: usize = 64;

/// Digest of a view.
#[derive(Clone)]
pub(crate) struct ViewDigest {
    total: u64,
    buckets: [u32; DIGEST_BUCKETS],
}

impl Default for ViewDigest {
    fn default() -> ViewDigest {
        ViewDigest {
            total: 0,
            buckets: [0; DIGEST_BUCKETS],
        }
    }
}

impl ViewDigest {
    /// Returns the digest of all members.
    pub(crate) fn total(&self) -> u64 {
        self.total
    }

    /// Returns the digests of the buckets.
    pub(crate) fn buckets(&self) -> &[u32; DIGEST_BUCKETS] {
        &self.buckets
    }

    /// Returns the index of the bucket that a name belongs to.
    pub(crate) fn bucket_of(name: &str) -> usize {
        xxh3_64(name.as_bytes()) as usize % DIGEST_BUCKETS
    }

    /// Adds the hash of a member, or removes it if it was added before.
    pub(crate) fn toggle(&mut self, name: &str, hash: u64) {
        self.total ^= hash;
        self.buckets[ViewDigest::bucket_of(name)] ^= (hash >> 32) as u32;
    }
}

/// Returns the hash of a member's name, incarnation and phase.
pub(crate) fn identity_hash(identity: &MemberIdentity) -> u64 {
    let seed = identity
        .incarnation
        .wrapping_mul(4)
        .wrapping_add(identity.phase as u64);
    xxh3_64_with_seed(identity.name.as_bytes(), seed)
}

#[cfg(test)]
mod tests;
