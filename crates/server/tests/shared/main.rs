//! Quotas and counters that the servers of a fleet share, with real processes and one catalogue. The tests check that
//! the calls in flight upstream never exceed the quota of the fleet, and that the rules of each request hold.

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
