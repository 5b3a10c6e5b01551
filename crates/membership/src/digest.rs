//! Digest of a view: equal digests mean equal views.
//!
//! The digest is the XOR of one hash per active member, in total and by bucket. Two views that
//! differ do so in the buckets that differ, so that a roster carries only these.

use crate::identity::MemberIdentity;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Number of buckets: with a thousand members a bucket holds sixteen, which fit a datagram.
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
    /// Digest of all members.
    pub(crate) fn total(&self) -> u64 {
        self.total
    }

    /// Digests of the buckets.
    pub(crate) fn buckets(&self) -> &[u32; DIGEST_BUCKETS] {
        &self.buckets
    }

    /// Index of the bucket of a name.
    pub(crate) fn bucket_of(name: &str) -> usize {
        xxh3_64(name.as_bytes()) as usize % DIGEST_BUCKETS
    }

    /// Adds a member's hash, or removes it again.
    pub(crate) fn toggle(&mut self, name: &str, hash: u64) {
        self.total ^= hash;
        self.buckets[ViewDigest::bucket_of(name)] ^= (hash >> 32) as u32;
    }
}

/// Hash of a member's name, incarnation and phase.
pub(crate) fn identity_hash(identity: &MemberIdentity) -> u64 {
    let seed = identity
        .incarnation
        .wrapping_mul(4)
        .wrapping_add(identity.phase as u64);
    xxh3_64_with_seed(identity.name.as_bytes(), seed)
}

#[cfg(test)]
mod tests;
