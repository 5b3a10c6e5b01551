//! What this server calls: the engine that runs requests, and the catalogue or backends that runs call. Each is a
//! state machine without I/O and a driver over sockets. They notify the core through traits and decide nothing.

/// Calls to the catalogue and to backends.
pub mod calls;
/// The link to the engine, which runs requests.
pub mod engine;
