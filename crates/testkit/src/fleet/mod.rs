//! Fleets of servers under faults.
//!
//! A [`script`](crate::fleet::script) is played on any fleet that implements
//! [`script::Fleet`](crate::fleet::script::Fleet): on [`simulated`](crate::fleet::simulated) ones,
//! in simulated time and from one seed, and on [`processes`](crate::fleet::processes), whose
//! datagrams pass through [`relay`](crate::fleet::relay)s. [`network`](crate::fleet::network)
//! decides for both what becomes of each datagram.
//! [`script_generator`](crate::fleet::script_generator) draws actions in place of a script.

/// What becomes of datagrams between servers.
pub mod network;
/// Fleets of real processes.
pub mod processes;
/// Relays between real servers.
pub mod relay;
/// Fault scripts.
pub mod script;
/// Actions drawn from a seed.
pub mod script_generator;
/// Fleets in simulated time.
pub mod simulated;
