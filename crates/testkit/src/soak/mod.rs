//! Plays of one real server under troubles that a seed determines.
//!
//! [`Plan::draw`](crate::soak::Plan::draw) draws everything that is done to the server, [`play`](crate::soak::play) does
//! it and gives what became of each request, and [`violations`](crate::soak::violations()) says which rules were broken. The same seed draws the same plan; what the machine makes of the
//! moments differs from play to play. `docs/notes/soak.md` says what is drawn, what is checked, and what a play can't
//! see.

mod clients;
mod plan;
mod player;
mod violations;

pub use clients::{ClientAnswer, SentRequest};
pub use plan::{Plan, PlannedRequest, Signal, Step, TimedStep};
pub use player::{PlayRecord, play};
pub use violations::{Violation, violations};

/// The platform's settings of the server that is played.
pub const SETTINGS: &str = include_str!("settings.json");
