//! madderbay as a server: sockets, JSON-RPC, engine, catalogue and registry around the decision module.
//!
//! Files follow the stages of a req: [`listen`] takes connections, [`front`] reads JSON-RPC, [`door`] knows
//! reqs by their keys, [`serve`] owns the decisions and carries them out, [`engine`] runs, [`calls`] fetches,
//! [`answer`] writes what goes back. Each protocol is a state machine fed with bytes; [`drive`] moves them.

pub mod answer;
pub mod calls;
pub mod clock;
pub mod config;
pub mod counters;
pub mod door;
pub mod drive;
pub mod engine;
pub mod front;
pub mod json;
pub mod listen;
pub mod logger;
pub mod registry;
pub mod serve;
