//! The index of a pool.

/// Index of a pool in the limiter: the configured pools in their order, then `rest`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PoolId(pub(crate) usize);
