//! The view of the fleet in the real program: its control socket and command line, datagrams of strangers, and the
//! rules of requests while views are wrong.

mod command_line;
#[path = "../common/mod.rs"]
mod common;
mod control_socket;
mod datagrams;
#[path = "../common/machine.rs"]
mod machine;
mod shutdown;
mod support;
mod wrong_views;
