//! What was seen of a simulation, in rows of equal time, and the figures that follow from the rows.
//! All times are in milliseconds since the start.

use super::ids::SimulatedBackendId;
use super::{BackendFleetSetup, BackendSimulation, START};
use madderbay::time::{Duration, Timestamp};
use madderbay_upstream::BackendState;
use std::ops::Range;

/// The time that a row is about.
pub(super) const ROW: Duration = Duration::from_millis(100);
const ROW_MS: u64 = ROW.as_micros() / 1_000;
/// The time over which a backend's traffic is averaged, in milliseconds.
const TRAFFIC_WINDOW_MS: u64 = 1_000;
/// The fraction of the successful calls that ended within [`BackendSimulation::slowest_ms`].
const SLOWEST_PERCENTILE: f64 = 0.99;

/// What was seen in a tenth of a second.
#[derive(Clone, Debug, Default)]
pub struct Row {
    /// Calls that began in it and have ended since.
    pub calls: u32,
    /// Those of them that succeeded.
    pub succeeded: u32,
    /// First attempts.
    pub first_attempts: u32,
    /// Retries and hedges.
    pub retries: u32,
    /// The attempts that reached each backend, by the backend's index.
    pub attempts_by_backend: Vec<u32>,
    /// The servers that had each backend ejected at the beginning, by the backend's index.
    pub ejected_by_backend: Vec<u32>,
}

impl Row {
    fn new(setup: &BackendFleetSetup) -> Row {
        Row {
            attempts_by_backend: vec![0; setup.backends],
            ejected_by_backend: vec![0; setup.backends],
            ..Row::default()
        }
    }
}

impl BackendSimulation {
    pub(super) fn begin_row(&mut self) {
        let mut row = Row::new(&self.setup);
        for server in &self.servers {
            let states = server.upstream.backend_states();
            for (ejected, state) in row.ejected_by_backend.iter_mut().zip(states) {
                *ejected += u32::from(matches!(
                    state,
                    BackendState::Ejected | BackendState::Probing
                ));
            }
        }
        self.rows.push(row);
    }

    pub(super) fn last_row(&mut self) -> &mut Row {
        self.rows.last_mut().expect("one at the start")
    }

    /// The index of the row of a point in time.
    pub(super) fn row_at(&self, at: Timestamp) -> usize {
        let index = (at - START).as_micros() / ROW.as_micros();
        (index as usize).min(self.rows.len() - 1)
    }

    /// The rows of a range of time.
    pub fn rows(&self, millis: Range<u64>) -> &[Row] {
        let end = ((millis.end / ROW_MS) as usize).min(self.rows.len());
        &self.rows[(millis.start / ROW_MS) as usize..end]
    }

    /// The fraction of the calls of a range of time that succeeded, 0 to 1.
    pub fn success_rate(&self, millis: Range<u64>) -> f64 {
        let rows = self.rows(millis);
        sum(rows, |row| row.succeeded) / sum(rows, |row| row.calls).max(1.0)
    }

    /// Attempts for each first attempt in a range of time.
    pub fn attempts_per_call(&self, millis: Range<u64>) -> f64 {
        let rows = self.rows(millis);
        let first_attempts = sum(rows, |row| row.first_attempts);
        (first_attempts + sum(rows, |row| row.retries)) / first_attempts.max(1.0)
    }

    /// The fraction of the attempts that reached any backend which reached this one, 0 to 1.
    pub fn traffic_fraction(&self, backend: SimulatedBackendId, millis: Range<u64>) -> f64 {
        let rows = self.rows(millis);
        let all: u32 = rows.iter().flat_map(|row| &row.attempts_by_backend).sum();
        let own: u32 = rows
            .iter()
            .map(|row| row.attempts_by_backend[backend.index()])
            .sum();
        f64::from(own) / f64::from(all.max(1))
    }

    /// After how many milliseconds from a time on a backend's traffic fraction of a second is below
    /// a bound. `None` if it never is.
    pub fn millis_until_traffic_below(
        &self,
        backend: SimulatedBackendId,
        from_ms: u64,
        bound: f64,
    ) -> Option<u64> {
        self.millis_until_traffic(backend, from_ms, |traffic| traffic < bound)
    }

    /// After how many milliseconds from a time on a backend's traffic fraction of a second is at
    /// least a bound. `None` if it never is.
    pub fn millis_until_traffic_reaches(
        &self,
        backend: SimulatedBackendId,
        from_ms: u64,
        bound: f64,
    ) -> Option<u64> {
        self.millis_until_traffic(backend, from_ms, |traffic| traffic >= bound)
    }

    fn millis_until_traffic(
        &self,
        backend: SimulatedBackendId,
        from_ms: u64,
        is_reached: impl Fn(f64) -> bool,
    ) -> Option<u64> {
        let end = self.rows.len() as u64 * ROW_MS;
        let last_start = end.saturating_sub(TRAFFIC_WINDOW_MS - ROW_MS);
        let start = (from_ms..last_start)
            .step_by(ROW_MS as usize)
            .find(|start| {
                let window = *start..*start + TRAFFIC_WINDOW_MS;
                is_reached(self.traffic_fraction(backend, window))
            })?;
        Some(start - from_ms)
    }

    /// For how many seconds a backend was ejected in a range of time, summed over the servers.
    pub fn ejected_seconds(&self, backend: SimulatedBackendId, millis: Range<u64>) -> f64 {
        let rows = self.rows(millis).iter();
        let ejected = rows.map(|row| f64::from(row.ejected_by_backend[backend.index()]));
        ejected.sum::<f64>() * ROW.as_secs_f64()
    }

    /// Forgets the latencies of the calls so far.
    pub fn clear_latencies(&mut self) {
        self.latencies_ms.clear();
    }

    /// The time, in milliseconds, within which 99 of 100 successful calls ended since
    /// [`clear_latencies`](Self::clear_latencies); not a number without any.
    pub fn slowest_ms(&mut self) -> f64 {
        self.latencies_ms.sort_by(f64::total_cmp);
        let index = (self.latencies_ms.len() as f64 * SLOWEST_PERCENTILE) as usize;
        let index = index.min(self.latencies_ms.len().saturating_sub(1));
        self.latencies_ms.get(index).copied().unwrap_or(f64::NAN)
    }
}

fn sum(rows: &[Row], of: fn(&Row) -> u32) -> f64 {
    f64::from(rows.iter().map(of).sum::<u32>())
}
