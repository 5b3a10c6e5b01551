//! The results of a simulation: figures for each second, violated invariants, and figures for the whole simulation.
//!
//! The JSON names of the fields are part of the program's output, and differ from the Rust names.

use crate::invariants::Violation;
use crate::workload::Handler;
use serde::{Deserialize, Serialize, Serializer};
use std::collections::BTreeMap;

/// One second of a simulation. Counts by handler are in the order of [`Handler::ALL`].
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(default)]
pub struct SecondRow {
    /// The second, counted from 1.
    pub second: u64,
    /// Requests that were sent, by handler.
    #[serde(rename = "asked")]
    pub requests: [u32; Handler::COUNT],
    /// Requests that were answered within their latency objective, by handler.
    #[serde(rename = "kept")]
    pub answered_in_time: [u32; Handler::COUNT],
    /// Requests that were rejected.
    #[serde(rename = "shed")]
    pub rejected: u32,
    /// Requests that failed.
    #[serde(rename = "errored")]
    pub failed: u32,
    /// The highest number of upstream calls that the fleet had in flight at a time.
    #[serde(rename = "peak")]
    pub peak_calls_in_flight: u32,
    /// Upstream calls that were sent.
    #[serde(rename = "calls")]
    pub upstream_calls: u32,
    /// Servers that are up at the end of the second, paused or not.
    #[serde(rename = "running")]
    pub running_servers: u32,
    /// Servers that are up and whose view of the fleet is not the most frequent one.
    #[serde(rename = "apart")]
    pub divergent_views: u32,
    /// Backends that are ejected, summed over the servers.
    #[serde(rename = "left_out")]
    pub ejected_backends: u32,
    /// Bytes of datagrams that the servers sent.
    #[serde(rename = "bytes")]
    pub datagram_bytes: u64,
}

/// A change in how a server uses a backend. Many such changes at one time may do harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BackendTransition {
    /// A backend no longer gets calls.
    Ejected,
    /// A backend gets calls again.
    Readmitted,
}

impl BackendTransition {
    /// Returns what a server does at the transition, as reports describe it.
    pub fn description(self) -> &'static str {
        match self {
            BackendTransition::Ejected => "leave a backend out",
            BackendTransition::Readmitted => "let one in again",
        }
    }
}

impl Serialize for BackendTransition {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.description())
    }
}

/// The results of a simulation. The same history and seed give the same report.
#[derive(Clone, Debug, PartialEq)]
pub struct SimulationReport {
    /// The violations in the order in which they were found, at most 100.
    pub violations: Vec<Violation>,
    /// The rows of the completed seconds, in order.
    pub rows: Vec<SecondRow>,
    /// Seconds from the last fault until all running servers hold one view and suspect no member. `None` if they do
    /// not.
    pub convergence_s: Option<f64>,
    /// The largest number of transitions of each kind within a tenth of a second, over all servers.
    pub simultaneous_transitions: BTreeMap<BackendTransition, u32>,
    /// Upstream calls per first attempt.
    pub calls_per_first_attempt: f64,
}

impl SimulationReport {
    /// Returns the fraction of each handler's requests that were answered in time.
    pub fn fractions_in_time(&self) -> [f64; Handler::COUNT] {
        fractions_in_time(&self.rows)
    }

    /// Returns the highest number of upstream calls that were in flight at a time.
    pub fn peak_calls_in_flight(&self) -> u32 {
        let peaks = self.rows.iter().map(|row| row.peak_calls_in_flight);
        peaks.max().unwrap_or(0)
    }
}

/// Returns the fraction of each handler's requests in these rows that were answered in time.
pub(crate) fn fractions_in_time(rows: &[SecondRow]) -> [f64; Handler::COUNT] {
    std::array::from_fn(|handler| {
        let answered: u32 = rows.iter().map(|row| row.answered_in_time[handler]).sum();
        let requests: u32 = rows.iter().map(|row| row.requests[handler]).sum();
        f64::from(answered) / f64::from(requests).max(1.0)
    })
}
