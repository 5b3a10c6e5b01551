//! The system's Unix clock, made to never go backwards.

use madderbay::time::Timestamp;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

#[derive(Default)]
pub struct Clock {
    latest: Cell<u64>,
}

/// The system's clock as it stands, which may go backwards.
pub fn unix_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}

impl Clock {
    pub fn now(&self) -> Timestamp {
        self.latest.set(self.latest.get().max(unix_micros()));
        Timestamp::from_micros(self.latest.get())
    }
}

/// A monotonic clock that never steps: the process's own, or a simulated one.
pub type Ticks = Rc<dyn Fn() -> Timestamp>;

/// The time since then.
pub fn ticks(began: Instant) -> Ticks {
    Rc::new(move || Timestamp::from_micros(began.elapsed().as_micros() as u64))
}
