//! Durable results of requests with an idempotency key. The tests kill the real program at chosen points, and play its
//! engine and its load balancers.

#[path = "../common/mod.rs"]
mod common;
mod crash;
mod directory;
#[path = "../common/program.rs"]
mod program;
mod restart;
mod support;
