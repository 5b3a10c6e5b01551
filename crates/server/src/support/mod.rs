//! What all stages use: clocks, configuration, counters, the log, JSON text, names of attempts, and bytes between
//! sockets and state machines. Nothing here knows a stage or takes a decision.

pub mod attempt_name;
pub mod clock;
pub mod config;
pub mod io;
pub mod json;
pub mod logging;
/// What is counted, and how it is printed.
pub mod metrics;
