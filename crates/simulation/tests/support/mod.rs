//! Helpers shared by the simulation tests.

use madderbay_simulation::{History, SecondRow};

/// A fleet whose views converge within its 36 seconds after a single fault.
pub(crate) fn small_fleet() -> History {
    History {
        servers: 6,
        backends: 3,
        zones: 3,
        seconds: 36,
        requests_per_second: 15.0,
        quota: 36,
        ..History::default()
    }
}

/// Returns the fraction of all requests in these rows that were answered in time.
#[allow(
    dead_code,
    reason = "each test program has this module, and not all need this"
)]
pub(crate) fn fraction_in_time(rows: &[SecondRow]) -> f64 {
    let answered: u32 = rows.iter().flat_map(|row| row.answered_in_time).sum();
    let requests: u32 = rows.iter().flat_map(|row| row.requests).sum();
    f64::from(answered) / f64::from(requests)
}
