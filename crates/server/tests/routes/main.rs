//! Real servers with several backends. The tests check which backends are ejected, that the verdict is disseminated in
//! the fleet, that no request with an idempotency key runs twice, and that the rules of each request hold.
//! `crates/upstream/tests/simulated_fleet` covers many more cases in a simulation.

#[path = "../common/ample_capacity.rs"]
mod ample_capacity;
#[path = "../common/mod.rs"]
mod common;
mod ejection;
#[path = "../common/machine.rs"]
mod machine;
mod partition;
#[path = "../common/program.rs"]
mod program;
mod retries;
#[path = "../common/start.rs"]
mod start;
mod support;
#[path = "../common/watched_fleet.rs"]
mod watched_fleet;
