//! Upstream backends: which backend a call goes to, which backends are ejected for a time, and which calls get a retry
//! or a hedge.
//!
//! Each server judges backends by the outcomes of its own calls. What other servers report can bring a judgement
//! forward; only where two zones agree does it decide alone. [`UpstreamManager`] owns all of this and is given time,
//! random numbers and datagrams: there is no I/O here. [`FleetStack`] drives it together with membership and quotas.
//!
//! | part | files |
//! | --- | --- |
//! | the table of backends and their groups | `registry`, `backend_table`, `backend_group` |
//! | selection | `selection` |
//! | outlier detection, ejection, slow start | `outlier`, `backend`, `slow_start` |
//! | retries and hedges | `retry`, `hedge` |
//! | gossip of judgements | `gossip` |
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
//! // One of four fails all its calls: it is ejected, and the others get them.
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
/// Selection of one of several backends.
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
