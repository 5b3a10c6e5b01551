//! Indices of the simulated servers and backends, each with a type of its own.

/// Index of a server of a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SimulatedServerId(usize);

impl SimulatedServerId {
    /// The server at an index, counted from 0.
    pub const fn new(index: usize) -> SimulatedServerId {
        SimulatedServerId(index)
    }

    /// The index, counted from 0.
    pub const fn index(self) -> usize {
        self.0
    }

    /// The ids of that many servers.
    pub fn first(count: usize) -> impl Iterator<Item = SimulatedServerId> {
        (0..count).map(SimulatedServerId)
    }
}

/// Index of a backend of a simulation. It is the same for all servers, unlike the
/// [`BackendId`](madderbay_upstream::BackendId) by which one server's upstream manager knows the
/// backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SimulatedBackendId(usize);

impl SimulatedBackendId {
    /// The backend at an index, counted from 0.
    pub const fn new(index: usize) -> SimulatedBackendId {
        SimulatedBackendId(index)
    }

    /// The index, counted from 0.
    pub const fn index(self) -> usize {
        self.0
    }

    /// The ids of that many backends.
    pub fn first(count: usize) -> impl Iterator<Item = SimulatedBackendId> {
        (0..count).map(SimulatedBackendId)
    }
}
