//! What all stages use: clock, configuration, counters, log, lines and members of JSON, bytes between sockets
//! and state machines.

pub mod clock;
pub mod config;
pub mod counters;
pub mod drive;
pub mod json;
pub mod logger;
pub mod name;
