//! Simulated time: the true time of the fleet, and the monotonic clock of each server, which has an offset and drifts.

use madderbay::time::{Duration, Timestamp};
use madderbay_server::support::clock::MonotonicClock;
use oorandom::Rand64;
use std::cell::Cell;
use std::rc::Rc;

/// The wall-clock time at which every simulation starts, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_764_576_000_000;
/// The largest relative deviation of a server's clock rate from the true rate.
const MAX_DRIFT: f64 = 0.005;
/// The largest reading of a server's monotonic clock at the start, in seconds.
const MAX_CLOCK_OFFSET_S: f64 = 1e4;
/// Added when a clock reading is converted to true time, because timestamps are truncated to whole microseconds.
const ROUNDING_MARGIN: Duration = Duration::from_micros(2);

/// Returns the instant `ms` milliseconds after the start of the simulation.
pub(crate) fn instant_at_ms(ms: u64) -> Timestamp {
    Timestamp::from_micros((START_MS + ms) * 1_000)
}

/// Returns the instant at which every simulation starts.
pub(crate) fn start() -> Timestamp {
    instant_at_ms(0)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub(crate) fn unix_ms(now: Timestamp) -> u64 {
    (now - Timestamp::default()).as_millis()
}

/// The monotonic clock of one machine. It keeps running while the server on the machine is stopped or restarted.
pub(crate) struct NodeClock {
    reading: Rc<Cell<Timestamp>>,
    offset: Duration,
    rate: f64,
}

impl NodeClock {
    /// Creates a clock with a random offset and rate.
    pub(crate) fn draw(random: &mut Rand64) -> NodeClock {
        let offset = Duration::from_secs_f64(random.rand_float() * MAX_CLOCK_OFFSET_S);
        let rate = 1.0 + MAX_DRIFT * (2.0 * random.rand_float() - 1.0);
        NodeClock {
            reading: Rc::new(Cell::new(Timestamp::default())),
            offset,
            rate,
        }
    }

    /// Advances the clock to the true time `now`, and returns its reading.
    pub(crate) fn advance_to(&self, now: Timestamp) -> Timestamp {
        let reading = Timestamp::default() + self.offset + (now - start()).mul_f64(self.rate);
        self.reading.set(reading);
        reading
    }

    /// Returns a true time at which the clock has certainly reached `reading`.
    pub(crate) fn true_time_of(&self, reading: Timestamp) -> Timestamp {
        let elapsed = (reading - Timestamp::default()).saturating_sub(self.offset);
        start() + elapsed.mul_f64(1.0 / self.rate) + ROUNDING_MARGIN
    }

    /// Returns the clock in the form in which the program's own modules read it.
    pub(crate) fn as_monotonic_clock(&self) -> MonotonicClock {
        let reading = self.reading.clone();
        Rc::new(move || reading.get())
    }
}
