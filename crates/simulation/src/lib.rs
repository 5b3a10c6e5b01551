//! The simulation of a whole fleet: the program's own modules in simulated time and under every mix of faults, all from
//! one seed. Clients, engines, backends and networks are simulated.
//!
//! A [`History`] says what is done to the fleet. [`simulate`] plays it and gives a [`SimulationReport`] with each
//! [`Invariant`] that was violated. [`shrink()`] makes a history that violates one as short as it gets.
//!
//! | part | files |
//! | --- | --- |
//! | what is simulated | `history`, `fault`, `ids`, `features`, `mixes` |
//! | the fleet | `simulation`, `node`, `network`, `upstream`, `workload` |
//! | time and order | `clock`, `event_queue` |
//! | what is found | `invariants`, `report`, `shrink`, `table` |
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

/// Plays a history to its end. The same history and seed give the same report.
pub fn simulate(history: &History, seed: u64) -> SimulationReport {
    Simulation::new(history.clone(), seed).run()
}
