//! The system's Unix clock, made to never go backwards.

use madderbay::time::At;
use std::cell::Cell;
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Default)]
pub struct Clock {
    latest: Cell<u64>,
}

impl Clock {
    pub fn now(&self) -> At {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.latest.set(self.latest.get().max(since.as_micros() as u64));
        At::micros(self.latest.get())
    }
}
