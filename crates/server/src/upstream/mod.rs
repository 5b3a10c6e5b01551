//! The links to what this server calls: the engine that runs requests, and the catalogue or the backends that runs
//! call. Each consists of a state machine without I/O and a driver over sockets. They notify the core through
//! traits and make no decisions.

/// Calls to the catalogue and to backends.
pub mod calls;
/// The link to the engine, which runs requests.
pub mod engine;
