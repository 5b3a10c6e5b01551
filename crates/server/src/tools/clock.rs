//! The system's Unix clock, made to never go backwards.

use madderbay::time::At;
use std::cell::Cell;
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Default)]
pub struct Clock {
    latest: Cell<u64>,
}

/// The system's clock as it stands, which may go backwards.
pub fn unix_micros() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

impl Clock {
    pub fn now(&self) -> At {
        self.latest.set(self.latest.get().max(unix_micros()));
        At::micros(self.latest.get())
    }
}
