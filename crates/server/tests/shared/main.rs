//! Quotas and counters that the servers of a fleet share, on real processes over one catalogue: never more calls in
//! flight upstream than the fleet's quota, and the rules of each request meanwhile.

#[path = "../common/ample_capacity.rs"]
mod ample_capacity;
#[path = "../common/mod.rs"]
mod common;
mod counters;
#[path = "../common/machine.rs"]
mod machine;
#[path = "../common/program.rs"]
mod program;
mod quota;
#[path = "../common/script_players.rs"]
mod script_players;
mod scripts;
#[path = "../common/start.rs"]
mod start;
mod support;
#[path = "../common/watched_fleet.rs"]
mod watched_fleet;
