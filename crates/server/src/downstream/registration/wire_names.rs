//! The words of the registry's protocol, HTTP/1.1 with JSON bodies, each written once.
//!
//! Owns: the method, the path, the member and the states of a report. Never changes with the names of the code: the
//! registry and the load balancers read them.

/// The method of a report.
pub(super) const METHOD: &str = "PUT";
/// The path of a report, up to the server's name.
pub(super) const INSTANCES_PATH: &str = "/v1/instances/";
/// The member that has the state.
pub(super) const STATE: &str = "state";
/// The server takes work.
pub(super) const STATE_READY: &str = "ready";
/// The server takes no more work.
pub(super) const STATE_DRAINING: &str = "draining";

#[cfg(test)]
mod tests;
