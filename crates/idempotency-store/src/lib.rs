//! Stores the results of requests with an idempotency key, so that they survive restarts of the
//! server.
//!
//! The server writes an intent record before it starts a run, and a result record before it sends
//! the response; each must be durable before the server proceeds. A request whose intent was
//! recorded by an earlier incarnation may have run, so it never runs again: its attempts are
//! answered from the recorded result, or fail if there is none.
//!
//! [`DurableResults`] decides whether an intent may be recorded, how an attempt is answered, and
//! which records are committed next. It performs no I/O.
//! [`WriteAheadLog`](write_ahead_log::WriteAheadLog) commits batches of records to segment files of
//! a [`Storage`](storage::Storage), removes expired segments, and recovers the records of earlier
//! incarnations.

/// Errors of opening a store and of recording an intent.
pub mod error;
mod limits;
/// The records of the log and their encoding.
pub mod record;
/// Recovers the runs that earlier incarnations recorded.
pub mod recovery;
/// Layout of segment files.
pub mod segment;
/// The storage trait and its implementations.
pub mod storage;
mod table;
/// Checks the integrity of stored segments.
pub mod verify;
/// Commits records and removes expired segments.
pub mod write_ahead_log;

pub use error::{IntentError, StoreError};
pub use table::{Batch, Counters, DurableResults, Lookup, SequenceNumber, Usage};
