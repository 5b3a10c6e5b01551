//! Code that the measuring examples share: settings, starting fleets and waiting for them, running
//! loads, the scenario of a slow catalogue, runs with several seeds, and the figures of reports.
//!
//! This module sets no targets and judges no result: the examples print what was measured. Any
//! failure along the way spoils the measurement, so the functions panic.

/// Starting fleets and waiting for them.
pub mod fleets;
/// Loads on real servers.
pub mod loads;
/// Medians, tables and rule violations.
pub mod report;
/// Runs with several seeds.
pub mod seeds;
/// Platform settings of the measured servers.
pub mod settings;
/// The scenario of a slow catalogue.
pub mod trips;
