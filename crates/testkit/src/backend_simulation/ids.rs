//! Typed indices of the simulated servers and backends.

/// Index of a server in a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SimulatedServerId(usize);

impl SimulatedServerId {
    /// Creates the id of the server at an index, counted from 0.
    pub const fn new(index: usize) -> SimulatedServerId {
        SimulatedServerId(index)
    }

    /// Returns the index, counted from 0.
    pub const fn index(self) -> usize {
        self.0
    }

    /// Returns the ids of the first `count` servers.
    pub fn first(count: usize) -> impl Iterator<Item = SimulatedServerId> {
        (0..count).map(SimulatedServerId)
    }
}

/// Index of a backend in a simulation. It is the same for all servers, unlike the
/// [`BackendId`](madderbay_upstream::BackendId), which identifies a backend within one server's
/// upstream manager.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SimulatedBackendId(usize);

impl SimulatedBackendId {
    /// Creates the id of the backend at an index, counted from 0.
    pub const fn new(index: usize) -> SimulatedBackendId {
        SimulatedBackendId(index)
    }

    /// Returns the index, counted from 0.
    pub const fn index(self) -> usize {
        self.0
    }

    /// Returns the ids of the first `count` backends.
    pub fn first(count: usize) -> impl Iterator<Item = SimulatedBackendId> {
        (0..count).map(SimulatedBackendId)
    }
}
