//! Codec of the simulator's wire protocol: decodes batches of events and encodes replies.
//!
//! A batch of events arrives as a [`BatchHeader`] followed by records. Each record is a
//! [`RecordHeader`] followed by the fields of one [`Event`]. A [`Reply`] collects the records of
//! [`Action`]s and encodes the frame that answers the batch. All numbers are little-endian, and
//! there is no padding between fields.
//!
//! All codes and layouts of the protocol are defined here. The codec performs no I/O and keeps no
//! state of instances.

mod action;
mod event;
mod field_reader;
mod frame;
mod reply;

pub use action::Action;
pub use event::{Event, EventCode, RecordHeader, ResultRecord};
pub use field_reader::FieldReader;
pub use frame::{Batch, BatchHeader};
pub use reply::{InstanceActions, Reply};
