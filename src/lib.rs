//! madderbay: admission control and scheduling for servers behind load balancers that cannot be changed.
//!
//! [`decide`] makes all decisions. [`interface`] defines their inputs and the actions through which they take effect,
//! and [`time`] has the types of instants and durations. The library does no input or output and reads no clock: its
//! host passes it events.

/// Upstream calls that were given up on and may still run.
pub mod abandoned_calls;
mod ceilings;
/// The decision module.
pub mod decide;
mod estimators;
mod idempotency;
mod ids;
/// Inputs of the decision module, and the actions through which its decisions take effect.
pub mod interface;
mod request;
mod slots;
/// Timestamps and durations.
pub mod time;
mod timers;
