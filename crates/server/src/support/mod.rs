//! What all stages use: clocks, configuration, counters, the log, JSON text, names of attempts, and bytes between
//! sockets and state machines. Nothing here knows a stage or takes a decision.

/// The name of one attempt, the same on all wires.
pub mod attempt_name;
/// The clocks of the program.
pub mod clock;
/// The configuration file.
pub mod config;
/// Bytes between sockets and state machines.
pub mod io;
/// JSON text, whose values stay as they were written.
pub mod json;
/// The log.
pub mod logging;
/// What is counted, and how it is printed.
pub mod metrics;
