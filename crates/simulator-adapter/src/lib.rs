//! Runs madderbay's decision module behind the simulator's wire.
//!
//! [`codec`] translates between bytes and typed records and performs no I/O. [`host`] owns the
//! simulated server instances and plays the events of a batch on them. [`stdio`] is the loop that
//! reads batches and writes replies.
//!
//! The crate takes no decision of its own. Time, random seeds and settings come from the wire
//! alone, so equal input gives equal output. Instances share nothing.

pub mod codec;
pub mod error;
pub mod host;
pub mod stdio;

pub use error::AdapterError;
