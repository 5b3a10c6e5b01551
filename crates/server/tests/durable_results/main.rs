//! Durable results of requests with an idempotency key on the real program, which is killed at chosen points, between
//! an engine and load balancers that the tests play.

#[path = "../common/mod.rs"]
mod common;
mod crash;
mod directory;
#[path = "../common/program.rs"]
mod program;
mod restart;
mod support;
