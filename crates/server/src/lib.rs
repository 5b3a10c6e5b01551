//! madderbay as a server: sockets, JSON-RPC, engine, catalogue and registry around the decision module.
//!
//! Folders are by concern, files by stage of a req. In [`balancers`], `listen` takes connections, `front`
//! reads JSON-RPC, `door` knows reqs by their keys, `answer` writes what goes back, `conns` knows where to. In
//! [`core`], `serve` owns the decisions and `hands` carries them out. In [`below`], `engine` runs and `calls`
//! fetches. [`fleet`] speaks with other servers, where the operator file says so. Each protocol is a state machine fed with bytes; `drive` in [`tools`] moves them.

pub mod balancers;
pub mod below;
pub mod core;
pub mod fleet;
pub mod tools;
