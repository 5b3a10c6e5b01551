//! Many backends below: which of them a call goes to, which are left out for a while, and which calls are made
//! again elsewhere. Each server judges by its own outcomes; what others of the fleet say of theirs can have it
//! look sooner, and no more. No I/O: time, chance and datagrams are passed in.
//!
//! ```
//! use madderbay::time::{Duration, Timestamp};
//! use madderbay_upstream::{AttemptOutcome, BackendSettings, Settings, State, UpstreamManager};
//! let backend = |n: u16| BackendSettings {
//!     name: format!("book-{n}").as_str().into(),
//!     address: ([127, 0, 0, 1], 7_700 + n).into(),
//!     zone: "north".into(),
//!     weight: 1.0,
//!     handlers: vec![0],
//! };
//! let set = Settings { zone: "north".into(), ..Settings::default() };
//! let at = |ms: u64| Timestamp::from_micros(1_000_000 + ms * 1_000);
//! let mut upstream = UpstreamManager::new(at(0), 7, set, (1..=4).map(backend).collect());
//! // One of four fails whatever it is asked: it is left out, and the others have its calls.
//! for step in 0..200 {
//!     let now = at(step * 10);
//!     upstream.handle_timeout(now);
//!     let attempt = upstream.pick(now, 0).unwrap();
//!     let failed = attempt.backend == 2;
//!     let outcome = if failed { AttemptOutcome::Failed } else { AttemptOutcome::Success };
//!     upstream.finish(now + Duration::from_millis(5), &attempt, outcome);
//! }
//! let states: Vec<State> = upstream.backend_statuses(at(2_000)).iter().map(|v| v.state).collect();
//! assert_eq!(states, [State::Active, State::Active, State::Ejected, State::Active]);
//! ```

mod backend;
mod backend_group;
mod fleet_stack;
mod gossip;
mod manager;
mod outlier;
pub mod retry_budget;
pub mod selection;

pub use backend::{Grounds, State};
pub use fleet_stack::FleetStack;
pub use gossip::codec::{BackendReport, GossipDecodeError, GossipMessage, name_hash};
pub use manager::{
    BackendEvent, BackendSettings, BackendStatus, RetryKind, Settings, Totals, UpstreamAttempt,
    UpstreamManager,
};
pub use outlier::call_history::AttemptOutcome;
