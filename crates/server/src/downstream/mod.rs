//! What faces load balancers and other clients: connections, JSON-RPC in both directions, the validation of
//! requests, and the registry that lists this server.
//!
//! A request passes `listener`, `json_rpc`, `request_validation` and then the core, which answers through
//! `connections` and `response`. Nothing here decides a request.

mod connection;
/// Which connections are open and where an answer goes.
pub mod connections;
/// One run for all attempts with an idempotency key.
pub mod idempotency_table;
/// Lines of a connection in, calls on the core.
pub mod json_rpc;
/// Accepts connections and runs their tasks.
pub mod listener;
/// Lines and open requests of a connection.
pub mod open_requests;
/// Reports to the registry.
pub mod registration;
/// From a request's params to what decisions need.
pub mod request_validation;
/// Answers, errors and notices as lines.
pub mod response;
mod wire_names;
