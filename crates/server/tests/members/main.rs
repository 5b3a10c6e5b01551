//! The view of the fleet in the real program: its control socket and command line, rejected datagrams, and the rules of
//! requests while views are wrong.

mod command_line;
#[path = "../common/mod.rs"]
mod common;
mod control_socket;
mod datagrams;
#[path = "../common/machine.rs"]
mod machine;
#[path = "../common/program.rs"]
mod program;
mod shutdown;
mod support;
#[path = "../common/watched_fleet.rs"]
mod watched_fleet;
mod wrong_views;
