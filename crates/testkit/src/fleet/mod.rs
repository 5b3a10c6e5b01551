//! Fleets under faults. A [`script`] is played by [`sim`], in simulated time and all from one seed, and by
//! [`stand`], on real processes whose datagrams pass through [`relay`]s.

pub mod network;
pub mod processes;
pub mod relay;
pub mod script;
pub mod script_generator;
pub mod simulated;
