//! Indices with a type of their own.

/// Index of a handler in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HandlerId(pub(crate) usize);

/// Index of a pool in the limiter: the configured pools in their order, then `rest`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PoolId(pub(crate) usize);

/// Converts the indices of a configuration.
pub(crate) fn handler_ids(indices: &[usize]) -> Vec<HandlerId> {
    indices.iter().copied().map(HandlerId).collect()
}

/// Converts to the indices of a configuration.
pub(crate) fn handler_indices(ids: &[HandlerId]) -> Vec<usize> {
    ids.iter().map(|id| id.0).collect()
}
