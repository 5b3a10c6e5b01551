//! The simulator's wire before madderbay's decision module: framing, codec, instances.

pub mod host;
pub mod wire;
