//! Events on connections that may occur in either order, forced over loopback sockets. The order is that in which a
//! test sends and waits, since nothing of the server runs between two awaits of a test. `docs/notes/crossings.md`
//! lists all pairs.

#[path = "../common/mod.rs"]
mod common;
mod connection_end;
mod over_limit;
mod requests_before_end;
mod resources;
mod support;
