//! The index of a backend in the table of backends.

/// Index of a backend in the table of one [`UpstreamManager`](crate::UpstreamManager). The slot of a removed backend is
/// reused once no attempt is in flight there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendId(usize);

impl BackendId {
    /// Returns the id of the backend at an index of the table.
    pub const fn new(index: usize) -> BackendId {
        BackendId(index)
    }

    /// Returns the index in the table.
    pub const fn index(self) -> usize {
        self.0
    }
}
