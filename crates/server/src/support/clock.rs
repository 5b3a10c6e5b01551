//! The clocks of a running server: the system's Unix clock, made to never go backwards, and a monotonic one.
//!
//! Requests and their deadlines are on the Unix clock, the fleet on the monotonic one. State machines read no
//! clock: their drivers give them the time.

use madderbay::time::Timestamp;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The Unix clock; where the system steps it back, time stands still until it has caught up.
#[derive(Default)]
pub struct Clock {
    latest_micros: Cell<u64>,
}

impl Clock {
    /// The time, in microseconds of the Unix epoch, never before one that was returned earlier.
    pub fn now(&self) -> Timestamp {
        let latest = self.latest_micros.get().max(unix_micros());
        self.latest_micros.set(latest);
        Timestamp::from_micros(latest)
    }
}

/// The system's Unix clock in microseconds as it stands; it may go backwards.
pub fn unix_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}

/// A monotonic clock that is never stepped: the process's own, or a simulated one.
pub type MonotonicClock = Rc<dyn Fn() -> Timestamp>;

/// A monotonic clock that shows the time since `start`.
pub fn monotonic_since(start: Instant) -> MonotonicClock {
    Rc::new(move || Timestamp::from_micros(start.elapsed().as_micros() as u64))
}
