//! What faces balancers: connections, JSON-RPC both ways, the door, and the registry that lists this server.

pub mod answer;
pub mod conns;
pub mod door;
pub mod front;
pub mod listen;
pub mod registry;
