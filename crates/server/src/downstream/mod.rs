//! What faces balancers: connections, JSON-RPC both ways, the door, and the registry that lists this server.

pub mod connections;
pub mod json_rpc;
pub mod listener;
pub mod registration;
pub mod request_validation;
pub mod response;
