//! What was seen of a simulation, in rows of equal time.

use super::{BackendFleetSetup, BackendSimulation, START};
use madderbay::time::{Duration, Timestamp};
use madderbay_upstream::State;

/// The time that a row is about.
pub const ROW: Duration = Duration::from_millis(100);
const ROW_MS: u64 = ROW.as_micros() / 1_000;
/// The time over which a backend's traffic is averaged, in milliseconds.
const TRAFFIC_WINDOW_MS: u64 = 1_000;

/// What was seen in one [`ROW`] of time.
#[derive(Clone, Debug, Default)]
pub struct Row {
    /// Calls that began in it and have ended since.
    pub calls: u32,
    /// Those of them that succeeded.
    pub good: u32,
    /// First attempts.
    pub firsts: u32,
    /// Retries and hedges.
    pub again: u32,
    /// By backend the attempts that reached it.
    pub at: Vec<u32>,
    /// By backend the servers that had it ejected at the beginning.
    pub out: Vec<u32>,
}

impl Row {
    fn new(setup: &BackendFleetSetup) -> Row {
        Row {
            at: vec![0; setup.backends],
            out: vec![0; setup.backends],
            ..Row::default()
        }
    }
}

impl BackendSimulation {
    pub(super) fn begin_row(&mut self) {
        let mut row = Row::new(&self.setup);
        for node in &self.nodes {
            let states = node.upstream.backend_states();
            for (out, state) in row.out.iter_mut().zip(states) {
                *out += u32::from(matches!(state, State::Ejected | State::Probing));
            }
        }
        self.rows.push(row);
    }

    pub(super) fn last_row(&mut self) -> &mut Row {
        self.rows.last_mut().expect("one at the start")
    }

    /// The index of the row of a point in time.
    pub(super) fn row_of(&self, at: Timestamp) -> usize {
        let index = (at - START).as_micros() / ROW.as_micros();
        (index as usize).min(self.rows.len() - 1)
    }

    /// The rows between two times, in milliseconds since the start.
    pub fn between(&self, from: u64, to: u64) -> &[Row] {
        let end = ((to / ROW_MS) as usize).min(self.rows.len());
        &self.rows[(from / ROW_MS) as usize..end]
    }

    /// The part of the calls between two times that succeeded.
    pub fn kept(&self, from: u64, to: u64) -> f64 {
        let rows = self.between(from, to);
        sum(rows, |row| row.good) / sum(rows, |row| row.calls).max(1.0)
    }

    /// Attempts for each first attempt between two times.
    pub fn load(&self, from: u64, to: u64) -> f64 {
        let rows = self.between(from, to);
        let firsts = sum(rows, |row| row.firsts);
        (firsts + sum(rows, |row| row.again)) / firsts.max(1.0)
    }

    /// A backend's part of all attempts that reached any backend between two times.
    pub fn part(&self, backend: usize, from: u64, to: u64) -> f64 {
        let rows = self.between(from, to);
        let all: u32 = rows.iter().flat_map(|row| &row.at).sum();
        let own: u32 = rows.iter().map(|row| row.at[backend]).sum();
        f64::from(own) / f64::from(all.max(1))
    }

    /// After how many milliseconds from a time on a backend's part of the attempts of one second is
    /// under, or at least at, a bound. `None` if it never is.
    pub fn until(&self, backend: usize, from: u64, under: bool, bound: f64) -> Option<u64> {
        let end = self.rows.len() as u64 * ROW_MS;
        let starts =
            (from..end.saturating_sub(TRAFFIC_WINDOW_MS - ROW_MS)).step_by(ROW_MS as usize);
        for start in starts {
            let part = self.part(backend, start, start + TRAFFIC_WINDOW_MS);
            if (part < bound) == under {
                return Some(start - from);
            }
        }
        None
    }

    /// For how many seconds a backend was ejected between two times, summed over the servers.
    pub fn out(&self, backend: usize, from: u64, to: u64) -> f64 {
        let rows = self.between(from, to).iter();
        rows.map(|row| f64::from(row.out[backend])).sum::<f64>() * ROW.as_secs_f64()
    }

    /// The time, in milliseconds, within which 99 of 100 successful calls ended; not a number
    /// without any.
    pub fn slowest(&mut self) -> f64 {
        self.times.sort_by(f64::total_cmp);
        let index = (self.times.len() as f64 * 0.99) as usize;
        let index = index.min(self.times.len().saturating_sub(1));
        self.times.get(index).copied().unwrap_or(f64::NAN)
    }
}

fn sum(rows: &[Row], of: fn(&Row) -> u32) -> f64 {
    f64::from(rows.iter().map(of).sum::<u32>())
}
