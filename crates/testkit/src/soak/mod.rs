//! Soak tests. A soak run exposes one real server to the load, faults and signals of one plan, which is drawn from a
//! seed.
//!
//! [`Plan::draw`](crate::soak::Plan::draw) draws the requests, faults and signals of a soak run.
//! [`play`](crate::soak::play) executes the plan against the server and records what happened to each request.
//! [`violations`](crate::soak::violations()) returns the rules that the server broke. The same seed always gives the
//! same plan, but the exact timing on the machine differs between soak runs. `docs/notes/soak.md` describes what is
//! drawn, what is checked, and what a soak run cannot detect.

mod clients;
mod plan;
mod player;
mod violations;

pub use clients::{ClientAnswer, SentRequest};
pub use plan::{Plan, PlannedRequest, Signal, Step, TimedStep};
pub use player::{PlayRecord, play};
pub use violations::{Violation, violations};

/// The platform's settings of the server under test.
pub const SETTINGS: &str = include_str!("settings.json");
