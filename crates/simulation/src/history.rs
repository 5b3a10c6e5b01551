//! A history describes a fleet, its load and the faults that are injected into it. Its text form has one setting or
//! fault per line.
//!
//! ```text
//! servers 12                  n1 to n12, all of them started
//! backends 4
//! zones 3                     to which servers and backends are assigned in turn
//! seconds 30
//! rate 20                     requests per second at each server
//! whole 24                    the quota: upstream calls that the whole fleet may have in flight (with `shared`)
//! parts members shared routes pools        the features that are on; `none` for no feature
//! @2500 kill n3               2500 ms after the start; also `start n3`, `stop n3`, `continue n3`, and `slow n3 4` (its
//!                             engine is 4 times as slow)
//! @3000 halves                odd and even servers are partitioned from each other; also `alone n3`, `oneway n3`, and
//!                             `heal`, which ends all of these
//! @4000 net 0.2 0.1 0.05 300  probabilities of loss, duplication and corruption of datagrams, and their longest delay
//!                             in ms; `calm` ends these faults
//! @5000 backend 2 silent      or `fails`, `down`, `slow 10`, `well` (healthy again)
//! @6000 load n3 2             the clients of n3 send requests at twice the usual rate
//! plant repeats               a known defect that an invariant must detect; also `answers`, `runs`, `terms`,
//!                             `suspicion`
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
    /// The length of the simulation in seconds.
    pub seconds: u64,
    /// Requests per second that the clients of each server send.
    pub requests_per_second: f64,
    /// Upstream calls that the whole fleet may have in flight.
    pub quota: u32,
    /// The features that the servers use.
    pub features: Features,
    /// The known defect that the simulated servers have, if any.
    pub defect: Option<Defect>,
    /// The faults to inject. [`parse`](History::parse) sorts them by time.
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
    /// Adds a fault at `at_ms` milliseconds after the start.
    pub(crate) fn inject(&mut self, at_ms: u64, fault: Fault) {
        self.faults.push(ScheduledFault::new(at_ms, fault));
    }
}

#[cfg(test)]
mod tests;
