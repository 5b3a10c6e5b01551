//! The clocks of a running server: the system's Unix clock, kept from going backwards, and a monotonic clock.
//!
//! Requests and their deadlines use the Unix clock, the fleet uses the monotonic clock. State machines read no
//! clock: their drivers pass them the time.

use madderbay::time::Timestamp;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The Unix clock. If the system steps it back, this clock stands still until the system's clock has caught up.
#[derive(Default)]
pub struct Clock {
    latest_micros: Cell<u64>,
}

impl Clock {
    /// Returns the Unix time in microseconds, never less than a time returned earlier.
    pub fn now(&self) -> Timestamp {
        let latest = self.latest_micros.get().max(unix_micros());
        self.latest_micros.set(latest);
        Timestamp::from_micros(latest)
    }
}

/// Returns the system's Unix time in microseconds, which may go backwards.
pub fn unix_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}

/// A monotonic clock, which is never stepped: that of the process, or a simulated one.
pub type MonotonicClock = Rc<dyn Fn() -> Timestamp>;

/// Returns a monotonic clock that shows the time since `start`.
pub fn monotonic_since(start: Instant) -> MonotonicClock {
    Rc::new(move || Timestamp::from_micros(start.elapsed().as_micros() as u64))
}
