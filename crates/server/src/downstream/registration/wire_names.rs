//! The names that the registry's protocol, HTTP/1.1 with JSON bodies, uses.
//!
//! These are the method, the path, the member and the states of a report. The registry and the load balancers read
//! them, so they stay the same when names in the code change.

/// The HTTP method of a report.
pub(super) const METHOD: &str = "PUT";
/// The path of a report, up to the server's name.
pub(super) const INSTANCES_PATH: &str = "/v1/instances/";
/// The member of the body that holds the server's state.
pub(super) const STATE: &str = "state";
/// The state of a server that accepts requests.
pub(super) const STATE_READY: &str = "ready";
/// The state of a server that accepts no more requests.
pub(super) const STATE_DRAINING: &str = "draining";

#[cfg(test)]
mod tests;
