//! Durable results of requests with an idempotency key, across restarts of the server.
//!
//! An intent is durable before its run is sent, and a result is durable before its response leaves.
//! A request whose intent was recorded by an earlier incarnation may have run, so it never runs
//! again: its attempts are answered from the recorded result, or fail if there is none.
//!
//! [`DurableResults`] decides which intents may be recorded, what an attempt is answered, and which
//! records are committed next. It does no I/O. [`WriteAheadLog`](write_ahead_log::WriteAheadLog)
//! commits batches of records to segment files of a [`Storage`](storage::Storage), removes expired
//! segments, and recovers what earlier incarnations left.

/// Errors of the store.
pub mod error;
mod limits;
/// The records of the log and their encoding.
pub mod record;
/// What the segments of earlier incarnations say about each request.
pub mod recovery;
/// Names, headers and layout of segment files.
pub mod segment;
/// The storage trait, the file system and a simulated storage.
pub mod storage;
mod table;
/// Integrity check of stored segments.
pub mod verify;
/// The write-ahead log.
pub mod write_ahead_log;

pub use error::{IntentError, StoreError};
pub use table::{Batch, Counters, DurableResults, Lookup, SequenceNumber, Usage};
