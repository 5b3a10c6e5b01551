//! Calls to the catalogue, and to backends that speak its protocol.
//!
//! Each call has a connection to itself, so that an unreadable reply, or one that never comes, costs no other call;
//! a call is abandoned by closing its connection. `CallDispatcher` owns the calls in flight and their connections
//! and does no I/O, `ReplyReader` cuts a connection's bytes into replies, and `run` drives both over sockets.
//! Whether and where to call is decided elsewhere. The words of the wire stand in `wire_names` alone.

mod dispatcher;
mod driver;
mod reply_reader;
mod wire_names;

pub use dispatcher::{CallDispatcher, EndedCall, RepliedCall, WantedConnection};
pub use driver::{CallObserver, run};
pub use reply_reader::{Reply, ReplyReader};
