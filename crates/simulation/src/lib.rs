//! Deterministic simulation of a whole fleet. The servers run the program's own modules in simulated time and under
//! injected faults; clients, engines, backends and networks are simulated. One seed determines all random choices.
//!
//! A [`History`] describes a fleet and the faults that are injected into it. [`simulate`] runs a history and returns a
//! [`SimulationReport`] with each violation of an [`Invariant`]. [`shrink()`] removes faults from a history for as long
//! as it still violates an invariant.
//!
//! | part | files |
//! | --- | --- |
//! | what a simulation consists of | `history`, `fault`, `ids`, `features`, `mixes` |
//! | the fleet | `simulation`, `node`, `network`, `upstream`, `workload` |
//! | time and order | `clock`, `event_queue` |
//! | results | `invariants`, `report`, `shrink`, `table` |
//!
//! ```
//! use madderbay_simulation::{History, simulate};
//! let history = History::parse("history.txt", "servers 3\nseconds 2\nrate 5\n@500 stop n2\n@900 continue n2\n")?;
//! let report = simulate(&history, 7);
//! assert_eq!(report.violations, []);
//! assert_eq!(report.rows.len(), 2);
//! # Ok::<(), madderbay_simulation::HistoryError>(())
//! ```

mod clock;
mod event_queue;
mod fault;
mod features;
mod history;
mod ids;
mod invariants;
mod mixes;
mod network;
mod node;
mod report;
mod shrink;
mod simulation;
mod table;
mod upstream;
mod workload;

pub use fault::{BackendFault, DatagramFaults, Defect, Fault, ScheduledFault};
pub use features::Features;
pub use history::{History, HistoryError, LineError};
pub use ids::{BackendId, ServerId};
pub use invariants::{Invariant, Violation};
pub use mixes::{FaultMix, FleetSize};
pub use report::{BackendTransition, SecondRow, SimulationReport};
pub use shrink::shrink;
pub use table::fault_mix_table;
pub use workload::Handler;

use simulation::Simulation;

/// Simulates a history to its end. The same history and seed give the same report.
pub fn simulate(history: &History, seed: u64) -> SimulationReport {
    Simulation::new(history.clone(), seed).run()
}
