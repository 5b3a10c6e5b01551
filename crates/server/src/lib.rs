//! madderbay as a server: sockets, JSON-RPC, engine, catalogue and registry around the decision module.
//!
//! Folders are by concern. [`downstream`] faces the load balancers: `listener` takes connections, `json_rpc`
//! reads and `response` writes lines, `request_validation` checks requests, `connections` knows where a
//! response goes, `registration` reports to the registry. In [`core`], `event_loop` owns the
//! decisions and `in_flight` carries them out. In [`upstream`], `engine` runs requests and `calls` makes their calls. [`fleet`] talks
//! with other servers, where the operator file says so. Each protocol is a state machine fed with bytes; `io`
//! in [`support`] moves them.

pub mod core;
pub mod downstream;
pub mod fleet;
pub mod support;
pub mod upstream;
