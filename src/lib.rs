//! madderbay: admission control and scheduling for servers behind load balancers that cannot be changed.
//!
//! [`decide`] makes every decision, [`interface`] is what it is given and what it answers through, and [`time`]
//! holds its two kinds of time. The library does no input or output and reads no clock: a host gives it events.

mod ceilings;
/// The decisions.
pub mod decide;
mod estimators;
mod idempotency;
/// What the decisions are made from and go out through.
pub mod interface;
mod request;
/// Timestamps and durations.
pub mod time;
mod timers;
