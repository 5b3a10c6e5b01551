//! The time in which this process ran. What it set itself to do later counts in it, so that a pause makes
//! nothing fall due that the server had no chance to hear against; and how far it was held up of late, which
//! it tells others.

use madderbay::time::{Duration, Timestamp};

/// A timer this late was not late by chance: the process was paused or starved.
const HELD_UP: Duration = Duration::from_millis(100);
/// After being held up it accuses nobody for so long: what waits in its socket is heard first.
const RECOVERS: Duration = Duration::from_millis(1_000);
/// Each of the steps told to others stands for so much lost, and fades in as much time.
const STEP: Duration = Duration::from_millis(500);
const STEPS: u64 = 8;

#[derive(Clone, Debug, Default)]
pub struct Awake {
    /// All time lost so far.
    lost: Duration,
    latest: Timestamp,
    /// Until when it is taken for held up.
    until: Timestamp,
    pub pauses: u64,
}

impl Awake {
    /// Tells the time; `due` is when the process had meant to be woken. What it was late by, if that was too
    /// much to be chance.
    pub fn wake(&mut self, now: Timestamp, due: Option<Timestamp>) -> Option<Duration> {
        self.latest = self.latest.max(now);
        let late = due.map_or(Duration::ZERO, |due| self.latest - due);
        if late <= HELD_UP {
            return None;
        }
        self.lost = self.lost + late;
        let fades = late
            .saturating_sub(RECOVERS)
            .min(Duration::from_micros(STEP.as_micros() * STEPS));
        self.until = self.until.max(self.latest + RECOVERS + fades);
        self.pauses += 1;
        Some(late)
    }

    /// The point on its own clock.
    pub fn now(&self) -> Timestamp {
        self.latest.saturating_sub(self.lost)
    }

    /// The point on the machine's clock at which its own reaches this one, unless it is held up again.
    pub fn outside(&self, own: Timestamp) -> Timestamp {
        own + self.lost
    }

    /// Whether what it did not hear may be its own fault.
    pub fn held_up(&self) -> bool {
        self.latest < self.until
    }

    /// The same as others are told: 0, or 1 to 8.
    pub fn told(&self) -> u8 {
        let left = self.until - self.latest;
        left.as_micros().div_ceil(STEP.as_micros()).min(STEPS) as u8
    }
}

#[cfg(test)]
mod tests;
