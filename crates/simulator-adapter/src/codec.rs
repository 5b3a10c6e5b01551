//! The codec of the simulator's wire: frames and records, bytes in and bytes out.
//!
//! A batch of events arrives as a [`BatchHeader`] followed by records. Each record is a
//! [`RecordHeader`] followed by the fields of one [`Event`]. A [`Reply`] collects the records of
//! [`Action`]s and gives the frame that answers the batch. All numbers are little-endian, without
//! padding between fields.
//!
//! The codec owns every code and layout of the wire. It performs no I/O and knows no instance.

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
