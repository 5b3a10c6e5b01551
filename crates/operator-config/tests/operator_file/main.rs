//! Tests of reading operator files, one module for each part of the file.

mod concurrency;
mod deployed_files;
mod form;
mod idempotency_store;
mod membership;
mod quota;
mod support;
mod upstream;
