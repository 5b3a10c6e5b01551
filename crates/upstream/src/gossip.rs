//! Gossip of judgements between the servers of a fleet.

pub mod codec;
pub mod reports;
