//! ProcessFleet-ins of all that a server talks with, on loopback: [`engine`], [`catalogue`], [`registry`] and
//! [`balancer`], with faults that a script or a seed tells; [`server`] starts the real program between them.
//! [`peer`] is one end of a connection, played by hand. [`fleet`] plays many servers that talk with each other,
//! simulated or as real processes, under faults that a script tells. For tests, for measuring and for trying
//! out.

pub mod backend_simulation;
pub mod catalogue;
pub mod engine;
pub mod fleet;
pub mod gate;
pub mod load_balancer;
pub mod peer;
pub mod registry;
pub mod server;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Far longer than anything here takes: a hang fails instead of lasting.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Unix milliseconds, as reqs say when they came.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}
