//! Indices into the settings, with a type for each kind, so that one cannot be taken for another.

/// Index of a handler in the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HandlerId(usize);

impl HandlerId {
    /// The handler at an index of the settings.
    pub const fn new(index: usize) -> HandlerId {
        HandlerId(index)
    }

    /// The index in the settings.
    pub const fn index(self) -> usize {
        self.0
    }

    /// The ids of that many handlers, in the order of the settings.
    pub fn first(count: usize) -> impl Iterator<Item = HandlerId> {
        (0..count).map(HandlerId)
    }
}

/// Index of a tenant in the settings; where these have no tenants, the first id stands for all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(usize);

impl TenantId {
    /// The tenant at an index of the settings.
    pub const fn new(index: usize) -> TenantId {
        TenantId(index)
    }

    /// The index in the settings.
    pub const fn index(self) -> usize {
        self.0
    }
}
