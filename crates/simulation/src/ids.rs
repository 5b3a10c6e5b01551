//! The identifiers of a simulated fleet: its servers, their incarnations and its backends.

use std::fmt;

/// The index of a server of the fleet, counted from 0. It is displayed as `n1`, `n2` and so on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(pub usize);

impl fmt::Display for ServerId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "n{}", self.0 + 1)
    }
}

/// The index of a backend, counted from 0 and displayed as that number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BackendId(pub usize);

impl fmt::Display for BackendId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One start of a server. Events for an earlier incarnation are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServerIncarnation {
    pub(crate) server: ServerId,
    pub(crate) incarnation: u32,
}
