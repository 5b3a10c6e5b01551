//! Integration tests of the store, on an in-memory storage with simulated crashes and on the file
//! system.

mod commit_failures;
mod crash_recovery;
mod directory_storage;
mod durable_results;
mod foreign_files;
mod record_codec;
mod restart_histories;
mod segment_expiry;
mod stored_data;
mod support;
