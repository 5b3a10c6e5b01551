//! What the examples that measure share: starting fleets and waiting for them, running loads,
//! medians and tables.
//!
//! Whatever goes wrong on the way spoils the measurement: the functions panic.

/// Starting fleets and waiting for them.
pub mod fleets;
/// Loads on real servers.
pub mod loads;
/// Medians and tables.
pub mod report;
/// The scenario of a slow catalogue.
pub mod trips;
