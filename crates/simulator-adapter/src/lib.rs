//! Runs madderbay's decision module behind the wire protocol of the simulator.
//!
//! The codec translates between bytes and typed records ([`Batch`], [`Event`], [`Action`],
//! [`Reply`]) and performs no I/O. [`Host`] holds the simulated server instances and applies the
//! events of a batch to them. [`serve`] is the loop that reads batches and writes replies.
//!
//! The crate makes no decisions of its own. Time, random seeds and settings come only from the
//! simulator, so equal input gives equal output. Instances share no state.

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
