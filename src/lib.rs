//! madderbay: admission and scheduling for servers behind balancers that nobody can change.
//!
//! [`decide`] holds every decision; [`face`] what it is told and what it answers through; [`time`] the two
//! kinds of time.

pub mod decide;
pub mod face;
pub mod req;
pub mod time;
