//! Fleets of servers under faults.
//!
//! A [`script`] is played on any fleet that implements [`script::Fleet`]: on [`simulated`] ones, in
//! simulated time and from one seed, and on [`processes`], whose datagrams pass through [`relay`]s.
//! [`network`] decides for both what becomes of each datagram. [`script_generator`] draws actions
//! in place of a script.

pub mod network;
pub mod processes;
pub mod relay;
pub mod script;
pub mod script_generator;
pub mod simulated;
