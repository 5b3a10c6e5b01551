//! Observations of a simulation in rows of equal length, and the figures computed from them. All
//! times are in milliseconds since the start.

use super::ids::SimulatedBackendId;
use super::{BackendFleetSetup, BackendSimulation, START};
use madderbay::time::{Duration, Timestamp};
use madderbay_upstream::BackendState;
use std::ops::Range;

/// Length of time that a row covers.
pub(super) const ROW_DURATION: Duration = Duration::from_millis(100);
const ROW_MS: u64 = ROW_DURATION.as_millis();
/// Window over which a backend's traffic is averaged, in milliseconds.
const TRAFFIC_WINDOW_MS: u64 = 1_000;
/// Fraction of the successful calls that ended within [`BackendSimulation::slowest_ms`].
const SLOWEST_PERCENTILE: f64 = 0.99;

/// Observations of a tenth of a second.
#[derive(Clone, Debug, Default)]
pub struct Row {
    /// Number of calls that began in this row and have ended since.
    pub calls: u32,
    /// Number of these calls that succeeded.
    pub succeeded: u32,
    /// Number of first attempts.
    pub first_attempts: u32,
    /// Number of retries and hedges.
    pub retries: u32,
    /// Number of attempts that reached each backend, by the backend's index.
    pub attempts_by_backend: Vec<u32>,
    /// Number of servers that had each backend ejected or probing at the beginning of the row, by
    /// the backend's index.
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
        self.rows.last_mut().expect("a row is added at the start")
    }

    /// Returns the index of the row that contains a point in time, at most that of the last row.
    pub(super) fn row_at(&self, at: Timestamp) -> usize {
        let index = (at - START).as_micros() / ROW_DURATION.as_micros();
        (index as usize).min(self.rows.len() - 1)
    }

    /// Returns the rows of a time range.
    pub fn rows(&self, millis: Range<u64>) -> &[Row] {
        let end = ((millis.end / ROW_MS) as usize).min(self.rows.len());
        &self.rows[(millis.start / ROW_MS) as usize..end]
    }

    /// Returns the fraction of the calls begun in a time range that succeeded, 0 to 1.
    pub fn success_rate(&self, millis: Range<u64>) -> f64 {
        let rows = self.rows(millis);
        sum(rows, |row| row.succeeded) / sum(rows, |row| row.calls).max(1.0)
    }

    /// Returns the number of attempts per first attempt in a time range.
    pub fn attempts_per_call(&self, millis: Range<u64>) -> f64 {
        let rows = self.rows(millis);
        let first_attempts = sum(rows, |row| row.first_attempts);
        (first_attempts + sum(rows, |row| row.retries)) / first_attempts.max(1.0)
    }

    /// Returns the fraction, 0 to 1, of the attempts that reached any backend in a time range which
    /// went to `backend`.
    pub fn traffic_fraction(&self, backend: SimulatedBackendId, millis: Range<u64>) -> f64 {
        let rows = self.rows(millis);
        let all: u32 = rows.iter().flat_map(|row| &row.attempts_by_backend).sum();
        let own: u32 = rows
            .iter()
            .map(|row| row.attempts_by_backend[backend.index()])
            .sum();
        f64::from(own) / f64::from(all.max(1))
    }

    /// Returns the time in milliseconds from `from_ms` until the start of the first one-second
    /// window in which the backend's fraction of the traffic is below `bound`; `None` if there is
    /// none.
    pub fn millis_until_traffic_below(
        &self,
        backend: SimulatedBackendId,
        from_ms: u64,
        bound: f64,
    ) -> Option<u64> {
        self.millis_until_traffic(backend, from_ms, |traffic| traffic < bound)
    }

    /// Returns the time in milliseconds from `from_ms` until the start of the first one-second
    /// window in which the backend's fraction of the traffic is at least `bound`; `None` if there
    /// is none.
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

    /// Returns the seconds for which a backend was ejected or probing in a time range, summed over
    /// the servers.
    pub fn ejected_seconds(&self, backend: SimulatedBackendId, millis: Range<u64>) -> f64 {
        let rows = self.rows(millis).iter();
        let ejected = rows.map(|row| f64::from(row.ejected_by_backend[backend.index()]));
        ejected.sum::<f64>() * ROW_DURATION.as_secs_f64()
    }

    /// Discards the latencies recorded so far.
    pub fn clear_latencies(&mut self) {
        self.latencies_ms.clear();
    }

    /// Returns the 99th percentile of the latencies of successful calls since
    /// [`clear_latencies`](Self::clear_latencies), in milliseconds; NaN if there were none.
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
