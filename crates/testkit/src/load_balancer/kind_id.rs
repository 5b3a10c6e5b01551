//! The index of a kind of request.

/// Index of a kind of request in a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindId(usize);

impl KindId {
    /// The kind at an index of the load's kinds.
    pub const fn new(index: usize) -> KindId {
        KindId(index)
    }

    /// The index among the load's kinds.
    pub const fn index(self) -> usize {
        self.0
    }
}
