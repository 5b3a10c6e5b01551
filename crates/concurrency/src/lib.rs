//! Concurrency limits by pool of handlers (bulkheads) and by upstream, with reserved capacity.
//!
//! [`ConcurrencyLimiter`] keeps the stage of each request in flight, an adaptive limit on calls for
//! each upstream ([`limit`]) and the reserve, and divides runs and calls among pools
//! ([`fair_share`]). It is given each event of a request, and hands out
//! [`Ceiling`](madderbay::interface::Ceiling)s. It performs no I/O and reads no clock. It never
//! admits, orders or rejects requests: [`madderbay::decide`] does so within the ceilings.
//!
//! ```
//! use madderbay::interface::{CallRequirement, HandlerId};
//! use madderbay::time::Timestamp;
//! use madderbay_concurrency::{
//!     ConcurrencyConfig, ConcurrencyLimiter, PoolConfig, RequestStage,
//! };
//! let (first, second) = (HandlerId::new(0), HandlerId::new(1));
//! let pool = |name: &str, handlers| PoolConfig {
//!     name: name.into(),
//!     handlers,
//!     ..PoolConfig::default()
//! };
//! let config = ConcurrencyConfig {
//!     pools: vec![pool("a", vec![first]), pool("b", vec![second])],
//!     ..ConcurrencyConfig::default()
//! };
//! let calls = [CallRequirement::Never; 2];
//! let mut limiter = ConcurrencyLimiter::new(Timestamp::from_micros(0), 7, config, &calls);
//! // No request of pool b is in flight: pool a may use all four workers.
//! limiter.set_stage(Timestamp::from_micros(1), 1, first, RequestStage::Queued);
//! assert_eq!(limiter.ceilings(Timestamp::from_micros(1), 4.0)[1].runs, 4);
//! ```

mod ceilings;
mod config;
/// Weighted max-min fair division of permits among pools.
pub mod fair_share;
mod handlers;
/// The adaptive limit on the calls to one upstream.
pub mod limit;
mod limiter;
mod pool;
mod request_stage;
mod requests;
mod reserve;
mod upstream;
mod usage;

pub use config::{ConcurrencyConfig, PoolConfig, Reserve, UpstreamGroup};
pub use limit::{AdjustmentCause, Completion, LimitChange, LimitChanges};
pub use limiter::ConcurrencyLimiter;
pub use request_stage::RequestStage;
pub use usage::{CallUsage, PoolUsage, UpstreamUsage};

/// Value of a ceiling that does not limit anything.
const UNLIMITED: usize = usize::MAX;
