//! Soak tests: plays of one real server under load and faults that a seed determines.
//!
//! [`Plan::draw`](crate::soak::Plan::draw) draws the requests, faults and signals of a play.
//! [`play`](crate::soak::play) runs the plan against the server and records what happened to each request.
//! [`violations`](crate::soak::violations()) returns the rules that the server broke. The same seed always gives the
//! same plan, but the exact timing on the machine differs from play to play. `docs/notes/soak.md` describes what is drawn,
//! what is checked, and what a play cannot detect.

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
