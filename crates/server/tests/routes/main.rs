//! Real servers over many backends: which backend is ejected, that the verdict spreads in the fleet, that nothing runs twice,
//! and the rules of each request meanwhile. `crates/upstream/tests/simulated_fleet.rs` plays many more cases simulated.

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
