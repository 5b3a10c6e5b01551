//! Runs madderbay's decision module behind the simulator's wire.
//!
//! The codec translates between bytes and typed records ([`Batch`], [`Event`], [`Action`],
//! [`Reply`]) and performs no I/O. [`Host`] owns the simulated server instances and plays the
//! events of a batch on them. [`serve`] is the loop that reads batches and writes replies.
//!
//! The crate takes no decision of its own. Time, random seeds and settings come from the wire
//! alone, so equal input gives equal output. Instances share nothing.

mod codec;
mod error;
mod host;
mod instance_id;
mod stdio;

pub use codec::{
    Action, Batch, BatchHeader, Event, EventCode, FieldReader, InstanceActions, RecordHeader,
    Reply, ResultRecord,
};
pub use error::AdapterError;
pub use host::Host;
pub use instance_id::InstanceId;
pub use stdio::{read_batch, serve};
