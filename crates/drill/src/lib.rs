//! The simulator's wire before madderbay's decision module: framing, codec, settings, instances.

pub mod host;
pub mod settings;
pub mod wire;
