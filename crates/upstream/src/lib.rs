//! Upstream backends: selects a backend for each call, ejects faulty backends for a limited time, and decides which
//! calls get a retry or a hedge.
//!
//! Each server judges backends by the outcomes of its own calls. Reports of other servers can lead to an ejection
//! sooner; they are sufficient without failed calls of the server's own only if two zones agree. [`UpstreamManager`]
//! implements this. It is given the time, a random seed and datagrams, and does no I/O. [`FleetStack`] runs it together
//! with membership and quotas.
//!
//! | part | files |
//! | --- | --- |
//! | table of backends and their groups | `registry`, `backend_table`, `backend_group` |
//! | selection | `selection` |
//! | outlier detection, ejection, slow start | `outlier`, `backend`, `slow_start` |
//! | retries and hedges | `retry`, `hedge` |
//! | gossip about backends | `gossip` |
//!
//! ```
//! use madderbay::interface::HandlerId;
//! use madderbay::time::{Duration, Timestamp};
//! use madderbay_upstream::{
//!     AttemptOutcome, BackendId, BackendSettings, BackendState, Settings, UpstreamManager,
//! };
//! let backend = |n: u16| BackendSettings {
//!     name: format!("book-{n}").as_str().into(),
//!     address: ([127, 0, 0, 1], 7_700 + n).into(),
//!     zone: "north".into(),
//!     weight: 1.0,
//!     handlers: vec![HandlerId::new(0)],
//! };
//! let settings = Settings { zone: "north".into(), ..Settings::default() };
//! let at = |ms: u64| Timestamp::from_micros(1_000_000 + ms * 1_000);
//! let mut upstream = UpstreamManager::new(at(0), 7, settings, (1..=4).map(backend).collect());
//! // One of the four backends fails all its calls: it is ejected, and the other three get the calls.
//! for step in 0..200 {
//!     let now = at(step * 10);
//!     upstream.handle_timeout(now);
//!     let attempt = upstream.pick(now, HandlerId::new(0)).unwrap();
//!     let failed = attempt.backend == BackendId::new(2);
//!     let outcome = if failed { AttemptOutcome::Failed } else { AttemptOutcome::Success };
//!     upstream.finish(now + Duration::from_millis(5), &attempt, outcome);
//! }
//! use BackendState::{Active, Ejected};
//! let states: Vec<BackendState> = upstream.backend_states().collect();
//! assert_eq!(states, [Active, Active, Ejected, Active]);
//! ```

mod attempt;
mod backend;
mod backend_group;
mod backend_id;
mod backend_state;
mod backend_table;
mod call_counts;
mod events;
mod fleet_stack;
mod gossip;
mod hedge;
mod jitter;
mod manager;
mod outlier;
mod registry;
mod retry;
/// Selection of one of several backends for a call.
pub mod selection;
mod settings;
mod slow_start;
mod status;

pub use attempt::{AttemptOutcome, UpstreamAttempt};
pub use backend_id::BackendId;
pub use backend_state::BackendState;
pub use events::BackendEvent;
pub use fleet_stack::FleetStack;
pub use gossip::codec::{BackendReport, GossipDecodeError, GossipMessage, name_hash};
pub use hedge::policy::{HedgeCandidate, HedgeRefusal};
pub use manager::UpstreamManager;
pub use outlier::OutlierEvidence;
pub use retry::policy::{FailedCall, RetryPolicy, RetryRefusal};
pub use settings::{BackendSettings, Settings};
pub use status::{BackendStatus, Totals};
