//! madderbay: admission and scheduling for servers behind balancers that nobody can change.
//!
//! [`decide`] holds every decision; [`interface`] what it is told and what it answers through; [`time`] the two
//! kinds of time.

pub mod decide;
pub mod interface;
pub mod request;
pub mod time;
