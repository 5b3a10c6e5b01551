//! Identifiers of incarnations of other servers.

/// Small integer that identifies one incarnation of another server within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationId(pub u32);
