//! Test doubles for everything that a server communicates with, on loopback and with fault
//! injection, and fleets of servers under faults.
//!
//! All fakes are used in the same way: `start` begins to serve on a free port, and `address` is the
//! address that it serves on. The documentation of each module says what its fake simulates and
//! which faults it can inject. A server calls [`engine::Engine`], [`catalogue::Catalogue`] and
//! [`registry::Registry`]; [`load_balancer::Load`] calls a server. [`peer::Peer`] is one end of a
//! connection that a test drives by hand, and [`gate::Gate`] is a relay that can be interrupted.
//!
//! [`server::Server`] runs the real program against fakes. [`fleet`] runs many servers that
//! communicate with each other, as real processes or simulated, under faults that a script or a
//! seed determines. [`backend_simulation`] simulates many servers that call many backends.
//!
//! [`soak`] runs one real server under faults that a seed determines.
//!
//! [`measurement`] holds the code that the measuring examples share.
//!
//! This crate is for tests and measurements only. It sends nothing beyond loopback.

/// Simulation of many servers that call many backends.
pub mod backend_simulation;
/// A fake catalogue.
pub mod catalogue;
/// A fake engine.
pub mod engine;
mod event_queue;
/// Fleets of servers under faults.
pub mod fleet;
/// A TCP relay to a backend that can be interrupted.
pub mod gate;
/// Fake load balancers that send a seeded open-loop load.
pub mod load_balancer;
/// Code that the measuring examples share.
pub mod measurement;
/// One end of a connection that a test drives by hand.
pub mod peer;
/// A fake registry.
pub mod registry;
/// The real program, run against fakes.
pub mod server;
/// Runs of one real server under faults drawn from a seed.
pub mod soak;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Upper bound on any wait for a server or a fake. It is far longer than any wait takes, so a hang
/// fails the test instead of blocking it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the Unix time in milliseconds, the format used in requests.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
