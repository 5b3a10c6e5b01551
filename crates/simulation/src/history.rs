//! A history: the size of a fleet, and which faults are injected when. It is kept as text, a line each.
//!
//! ```text
//! servers 12                  n1 to n12, all started
//! backends 4
//! zones 3                     servers and backends are assigned to them in turn
//! seconds 30
//! rate 20                     requests a second at each server
//! whole 24                    calls that the whole fleet may have in flight (with shared)
//! parts members shared routes pools        what is on; `none` for nothing
//! @2500 kill n3               milliseconds; `start n3`, `stop n3`, `continue n3`, `slow n3 4` (its engine)
//! @3000 halves                odd and even servers are cut off from each other; `alone n3`, `oneway n3`, `heal`
//! @4000 net 0.2 0.1 0.05 300  loss, duplication, corruption, and the longest delay in ms; `calm`
//! @5000 backend 2 silent      or `fails`, `down`, `slow 10`, `well`
//! @6000 load n3 2             this many times the usual requests
//! plant repeats               a known defect that a search has to find: also `answers`, `runs`, `terms`, `suspicion`
//! ```

mod error;
mod format;
mod generator;
mod parser;
mod words;

pub use error::{HistoryError, LineError};

use crate::fault::{Defect, Fault, ScheduledFault};
use crate::features::Features;

/// The size of a fleet, its load and quota, and the faults that are injected.
#[derive(Clone, Debug, PartialEq)]
pub struct History {
    /// The number of servers; all start at the beginning.
    pub servers: usize,
    /// The number of backends.
    pub backends: usize,
    /// The number of zones, to which servers and backends are assigned in turn.
    pub zones: usize,
    /// The length of the simulation.
    pub seconds: u64,
    /// Requests a second that the clients of each server send.
    pub requests_per_second: f64,
    /// Upstream calls that the whole fleet may have in flight.
    pub quota: u32,
    /// What the servers use.
    pub features: Features,
    /// A known defect in the servers.
    pub defect: Option<Defect>,
    /// What is injected; [`parse`](History::parse) sorts it by time.
    pub faults: Vec<ScheduledFault>,
}

impl Default for History {
    fn default() -> History {
        History {
            servers: 6,
            backends: 4,
            zones: 2,
            seconds: 20,
            requests_per_second: 20.0,
            quota: 36,
            features: Features::ALL,
            defect: None,
            faults: vec![],
        }
    }
}

impl History {
    /// Adds a fault at this many milliseconds since the start.
    pub(crate) fn inject(&mut self, at_ms: u64, fault: Fault) {
        self.faults.push(ScheduledFault::new(at_ms, fault));
    }
}

#[cfg(test)]
mod tests;
