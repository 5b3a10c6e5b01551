//! The fleet: this server's view of the other servers, the quotas that they share, the upstream backends, and the
//! control socket on which operators query them.
//!
//! The decisions are made by state machines of other crates; this module derives their settings and drives them over
//! sockets. It implements the core's traits [`QuotaSource`](crate::core::quota_gate::QuotaSource) and
//! [`BackendSelector`](crate::core::backend_selector::BackendSelector) and never calls into the core's event loop.

/// The upstream backends, used by the core and the gossip driver.
pub mod backends;
/// Queries a running server, for the command line.
pub mod control_client;
mod control_protocol;
/// Answers the queries of operators.
pub mod control_socket;
/// Names of the handlers and tenants that the fleet's counters count.
pub mod counter_names;
/// Drives the membership, quotas and backends over one UDP socket.
pub mod gossip;
/// Settings of the membership, derived from the operator file.
pub mod membership_settings;
/// The core's access to the quotas of the fleet.
pub mod quota_leases;
/// Quotas and counters, derived from the operator file.
pub mod quota_plan;
/// Upstream backends, derived from the operator file.
pub mod routing_plan;
