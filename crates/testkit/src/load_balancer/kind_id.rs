//! The index of a kind of request.

/// Index of a kind of request among the kinds of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindId(usize);

impl KindId {
    /// Creates the id of the kind at an index of the load's kinds.
    pub const fn new(index: usize) -> KindId {
        KindId(index)
    }

    /// Returns the index among the load's kinds.
    pub const fn index(self) -> usize {
        self.0
    }
}
