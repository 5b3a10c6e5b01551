//! What all stages use: clocks, configuration, counters, the log, JSON text, names of attempts, and bytes between
//! sockets and state machines. Nothing here knows a stage or takes a decision.

// A module whose own page links to its items has no line here: with one, those links would be resolved from here.
/// The name of one attempt, the same on all wires.
pub mod attempt_name;
/// The clocks of the program.
pub mod clock;
pub mod config;
pub mod io;
/// JSON text, whose values stay as they were written.
pub mod json;
pub mod logging;
/// What is counted, and how it is printed.
pub mod metrics;
