//! What all stages use: clocks, configuration, counters, the log, JSON text, names of attempts, and bytes between
//! sockets and state machines. Nothing here knows a stage or takes a decision.

/// The Unix clock and the monotonic clock of a process.
pub mod clock;
/// The file that describes one server.
pub mod config;
/// Bytes between sockets and state machines.
pub mod io;
/// Members of JSON objects, their values as they were written.
pub mod json;
/// Lines on standard error.
pub mod logging;
/// Counters as lines.
pub mod metrics;
/// Names of attempts.
pub mod name;
