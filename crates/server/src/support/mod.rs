//! Utilities for all other modules: clocks, configuration, counters, the log, JSON text, names of attempts, rate
//! limits, and I/O between sockets and state machines. They depend on none of those modules and make no decisions.

/// The name of an attempt, the same in all protocols.
pub mod attempt_name;
/// The Unix clock and the monotonic clock.
pub mod clock;
/// The server's configuration file.
pub mod config;
/// Drivers that connect sockets to state machines.
pub mod io;
/// Reads JSON text without building a tree.
pub mod json;
/// The logger.
pub mod logging;
/// The counters and their printed form.
pub mod metrics;
/// A limit on how often something may happen.
pub mod rate_limiter;
