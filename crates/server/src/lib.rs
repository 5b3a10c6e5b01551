//! madderbay as a server: sockets, JSON-RPC, engine, catalogue and registry around the decision module.
//!
//! Files follow the stages of a req: [`listen`] takes connections, [`front`] reads JSON-RPC, [`door`] knows
//! reqs by their keys, [`serve`] owns the decisions, [`hands`] carries them out, [`engine`] runs, [`calls`]
//! fetches, [`answer`] writes what goes back, [`conns`] knows where to. Each protocol is a state machine fed
//! with bytes; [`drive`] moves them.

pub mod answer;
pub mod calls;
pub mod clock;
pub mod config;
pub mod conns;
pub mod counters;
pub mod door;
pub mod drive;
pub mod engine;
pub mod front;
pub mod hands;
pub mod json;
pub mod keep;
pub mod listen;
pub mod logger;
pub mod name;
pub mod pooled;
pub mod registry;
pub mod serve;
