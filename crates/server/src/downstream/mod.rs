//! The interface to load balancers and other clients: connections, JSON-RPC in both directions, the validation of
//! requests, and the reports to the registry that lists this server.
//!
//! A request passes through `listener`, `json_rpc` and `request_validation` to the core, which answers it through
//! `connections` and `response`. No decision about a request is made here.

mod connection;
/// The table of open connections, through which answers are written.
pub mod connections;
mod flood_detector;
/// The table that gives all attempts with one idempotency key the same run.
pub mod idempotency_table;
/// Parses the lines of a connection and calls the core.
pub mod json_rpc;
/// Accepts connections and spawns their tasks.
pub mod listener;
/// Types that describe the lines and the open requests of a connection.
pub mod open_requests;
/// Reports to the registry.
pub mod registration;
/// Converts a request's params into the input of decisions.
pub mod request_validation;
/// Encodes answers, errors and notices as lines.
pub mod response;
mod wire_names;
