//! The fleet: what this server knows of the other servers, the quotas that they share, the upstream backends, and the
//! control socket on which operators query all of that.
//!
//! The decisions are in state machines of other crates; the files here plan their settings and drive them over
//! sockets. Of the core they know its traits [`QuotaSource`](crate::core::quota_gate::QuotaSource) and
//! [`BackendSelector`](crate::core::dispatch::BackendSelector); they never call into its event loop.

pub mod backends;
pub mod control_client;
mod control_protocol;
pub mod control_socket;
mod counter_names;
pub mod gossip;
pub mod membership_settings;
pub mod quota_leases;
pub mod quota_plan;
pub mod routing_plan;
