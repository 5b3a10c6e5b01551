//! The index of a backend.

/// Index of a backend in the table of one [`UpstreamManager`](crate::UpstreamManager). The slot of a removed backend
/// is used again once it has no attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendId(usize);

impl BackendId {
    /// The backend at an index of the table.
    pub const fn new(index: usize) -> BackendId {
        BackendId(index)
    }

    /// The index in the table.
    pub const fn index(self) -> usize {
        self.0
    }
}
