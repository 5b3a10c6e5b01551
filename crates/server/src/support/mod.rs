//! What all stages use: clock, configuration, counters, log, lines and members of JSON, bytes between sockets
//! and state machines.

pub mod clock;
pub mod config;
pub mod io;
pub mod json;
pub mod logging;
pub mod metrics;
pub mod name;
