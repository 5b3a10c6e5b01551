//! Calls to the catalogue, and to backends that speak its protocol.
//!
//! Each call has a connection of its own, so that an unreadable or missing reply affects no other call. A call is
//! abandoned by closing its connection. `CallDispatcher` owns the calls in flight and their connections and does no
//! I/O, `ReplyReader` parses the bytes of a connection into replies, and `run` drives both over sockets. Whether
//! and where to call is decided elsewhere. The names of the protocol are in `wire_names`.

mod dispatcher;
mod driver;
mod reply_reader;
mod wire_names;

pub use dispatcher::{CallDispatcher, EndedCall, RepliedCall, WantedConnection};
pub use driver::{CallObserver, run};
pub use reply_reader::{Reply, ReplyReader};
