//! Events on connections that may occur in either order. The tests force each order over loopback sockets: nothing of
//! the server runs between two awaits of a test, so the order of a test's sends and waits is the order of the events.
//! `docs/notes/crossings.md` lists all pairs of events.

#[path = "../common/mod.rs"]
mod common;
mod connection_end;
mod over_limit;
mod requests_before_end;
mod resources;
mod support;
