//! Indices into the settings, with a distinct type for each kind, so that they cannot be confused.

/// Index of a handler in the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HandlerId(usize);

impl HandlerId {
    /// Returns the id of the handler at an index of the settings.
    pub const fn new(index: usize) -> HandlerId {
        HandlerId(index)
    }

    /// The index in the settings.
    pub const fn index(self) -> usize {
        self.0
    }

    /// Returns the ids of the first `count` handlers, in the order of the settings.
    pub fn first(count: usize) -> impl Iterator<Item = HandlerId> {
        (0..count).map(HandlerId)
    }
}

/// Index of a tenant in the settings. If no tenants are set, all requests have the id with index 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(usize);

impl TenantId {
    /// Returns the id of the tenant at an index of the settings.
    pub const fn new(index: usize) -> TenantId {
        TenantId(index)
    }

    /// The index in the settings.
    pub const fn index(self) -> usize {
        self.0
    }
}
