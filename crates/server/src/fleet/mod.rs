//! The fleet: what this server knows of the other servers, the quotas that they share, the upstream backends, and the
//! control socket on which operators query all of that.
//!
//! The decisions are in state machines of other crates; the files here plan their settings and drive them over
//! sockets. Of the core they know its traits [`QuotaSource`](crate::core::quota_gate::QuotaSource) and
//! [`BackendSelector`](crate::core::backend_selector::BackendSelector); they never call into its event loop.

/// The upstream backends, for the core and the gossip driver.
pub mod backends;
/// Queries to a running server, for the command line.
pub mod control_client;
mod control_protocol;
/// Answers the queries of operators.
pub mod control_socket;
/// The names of what the fleet's counters count.
pub mod counter_names;
/// Drives membership, quotas and backends over one socket.
pub mod gossip;
/// Settings of the membership, from the operator file.
pub mod membership_settings;
/// The quotas of the fleet, for the core.
pub mod quota_leases;
/// Quotas and counters, planned from the operator file.
pub mod quota_plan;
/// Upstream backends, planned from the operator file.
pub mod routing_plan;
