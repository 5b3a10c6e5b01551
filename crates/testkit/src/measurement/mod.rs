//! What the examples that measure share: settings, starting fleets and waiting for them, running
//! loads, the scenario of a slow catalogue, runs with several seeds, and the figures of reports.
//!
//! It owns no figure and judges none: the examples print what was measured. Whatever goes wrong on
//! the way spoils the measurement, so the functions panic.

/// Starting fleets and waiting for them.
pub mod fleets;
/// Loads on real servers.
pub mod loads;
/// Medians, tables and violated rules.
pub mod report;
/// Runs with several seeds.
pub mod seeds;
/// The platform's settings.
pub mod settings;
/// The scenario of a slow catalogue.
pub mod trips;
