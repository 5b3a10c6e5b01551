//! Fleets of servers under faults.
//!
//! A [`script`](crate::fleet::script) lists faults to inject and conditions that must hold. It runs
//! on any fleet that implements [`script::Fleet`](crate::fleet::script::Fleet). There are two such
//! fleets: [`simulated`](crate::fleet::simulated) runs in simulated time from one seed, and
//! [`processes`](crate::fleet::processes) starts real servers whose datagrams pass through a
//! [`relay`](crate::fleet::relay). In both, [`network`](crate::fleet::network) decides which
//! datagrams are lost, duplicated, corrupted or delayed.
//! [`script_generator`](crate::fleet::script_generator) draws random actions instead of reading
//! them from a script.

/// Simulated network faults between servers.
pub mod network;
/// Fleets of real server processes.
pub mod processes;
/// UDP relays between real servers.
pub mod relay;
/// Fault scripts: parser and runner.
pub mod script;
/// Random actions drawn from a seed.
pub mod script_generator;
/// Fleets that run in simulated time.
pub mod simulated;
