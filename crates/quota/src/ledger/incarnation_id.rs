//! The identifier of another server's incarnation.

/// One incarnation of another server, as a small number that is valid in this process only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationId(pub u32);
