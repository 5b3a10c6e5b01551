//! Fakes of everything that a server talks with, on loopback, with faults; and fleets of servers
//! under faults.
//!
//! The fakes have one shape. `start` begins serving on a free port, `address` says where; what a
//! fake simulates and which faults it has is on its module's page. [`engine::Engine`],
//! [`catalogue::Catalogue`] and [`registry::Registry`] are what a server calls,
//! [`load_balancer::Load`] is what calls a server. [`peer::Peer`] is one end of a connection that a
//! test plays itself, [`gate::Gate`] a relay that can be interrupted.
//!
//! [`server::Server`] is the real program between fakes. [`fleet`] has many servers that talk with
//! each other, as real processes or simulated, under faults that a script or a seed determines.
//! [`backend_simulation`] has many simulated servers before many simulated backends.
//!
//! [`soak`] plays one real server under troubles that a seed determines.
//!
//! [`measurement`] is what the examples that measure share.
//!
//! The crate is for tests and measurements. It sends nothing beyond loopback.

/// Many simulated servers before many simulated backends.
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
/// Fake load balancers: a seeded open load.
pub mod load_balancer;
/// What the examples that measure share.
pub mod measurement;
/// One end of a connection that a test plays.
pub mod peer;
/// A fake registry.
pub mod registry;
/// The real program between fakes.
pub mod server;
/// Plays of one real server under drawn troubles.
pub mod soak;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Upper bound on any wait for a server or a fake, far longer than it takes: a hang fails instead
/// of lasting.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Unix time in milliseconds, as requests have it.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
