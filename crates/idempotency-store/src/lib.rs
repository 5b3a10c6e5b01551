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

/// Why a store cannot be opened and why an intent is rejected.
pub mod error;
mod limits;
/// One step of a request, as it is stored.
pub mod record;
/// Reads what earlier incarnations left.
pub mod recovery;
/// Layout of a segment file.
pub mod segment;
/// The storage trait and its implementations.
pub mod storage;
mod table;
/// Reports the defects of stored segments.
pub mod verify;
/// Commits records and removes expired ones.
pub mod write_ahead_log;

pub use error::{IntentError, StoreError};
pub use table::{Batch, Counters, DurableResults, Lookup, SequenceNumber, Usage};
