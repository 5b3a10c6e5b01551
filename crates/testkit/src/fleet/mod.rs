//! Fleets of servers under faults.
//!
//! A [`script`] is played on any fleet that implements [`script::Fleet`]: on [`simulated`] ones, in
//! simulated time and from one seed, and on [`processes`], whose datagrams pass through [`relay`]s.
//! [`network`] decides for both what becomes of each datagram. [`script_generator`] draws actions
//! in place of a script.

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
