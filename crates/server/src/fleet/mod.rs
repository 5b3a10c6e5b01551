//! The fleet: what this server hears of the others, and the questions about it. It meets the core nowhere.

pub mod backends;
pub mod control_client;
mod control_protocol;
pub mod control_socket;
mod counter_names;
pub mod gossip;
pub mod quota_leases;
pub mod quota_plan;
pub mod routing_plan;
