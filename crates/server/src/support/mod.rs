//! What all stages use: clocks, configuration, counters, the log, JSON text, names of attempts, limits on how often
//! something happens, and bytes between sockets and state machines. Nothing here knows a stage or takes a decision.

/// The name that an attempt has upstream.
pub mod attempt_name;
/// The Unix clock and the monotonic one.
pub mod clock;
/// The server's configuration file.
pub mod config;
/// Drivers between sockets and state machines.
pub mod io;
/// JSON text, taken apart and put together without a tree.
pub mod json;
/// The logger.
pub mod logging;
/// What is counted, and how it is printed.
pub mod metrics;
/// A limit on how often something may happen.
pub mod rate_limiter;
