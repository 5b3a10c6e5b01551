//! madderbay: admission control and scheduling for servers behind load balancers that cannot be changed.
//!
//! [`decide`] makes every decision, [`interface`] is what it is given and what it answers through, and [`time`]
//! holds its two kinds of time. The library does no input or output and reads no clock: a host gives it events.

/// Calls that nobody waits for.
pub mod abandoned_calls;
mod ceilings;
/// The decisions.
pub mod decide;
mod estimators;
mod idempotency;
mod ids;
/// What the decisions are made from and go out through.
pub mod interface;
mod request;
mod slots;
/// Timestamps and durations.
pub mod time;
mod timers;
