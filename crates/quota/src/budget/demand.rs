//! Demand of this server for a budget's units, now and in the recent mean.

use madderbay::time::{Duration, Timestamp};

/// Headroom beyond the demand, as a fraction of it, so that one more call finds a unit.
const HEADROOM_FRACTION: f64 = 0.1;
/// Less than this fraction of a call is ignored in the mean, which decays without end.
const NEGLIGIBLE_CALLS: f64 = 0.15;
/// A server with any work in this time keeps at least one unit of its base quota.
const BUSY_PERIOD: Duration = Duration::from_millis(10_000);
/// Time constant of the mean. Short peaks beyond the mean recall grants, which takes a message
/// and the end of a call; units reserved for peaks would idle.
const MEAN_TIME_CONSTANT: Duration = Duration::from_millis(1_000);

/// Tracks calls in flight and waiting.
pub(super) struct DemandTracker {
    waiting: u32,
    /// Calls in flight and waiting as of `updated_at`.
    current: f64,
    mean: f64,
    updated_at: Timestamp,
    /// When there was any work last.
    busy_at: Option<Timestamp>,
}

impl DemandTracker {
    pub(super) fn new(now: Timestamp) -> DemandTracker {
        DemandTracker {
            waiting: 0,
            current: 0.0,
            mean: 0.0,
            updated_at: now,
            busy_at: None,
        }
    }

    /// Calls that wait for a unit.
    pub(super) fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Sets the calls that wait, and says whether they are more than before.
    pub(super) fn set_waiting(&mut self, calls: u32) -> bool {
        std::mem::replace(&mut self.waiting, calls) < calls
    }

    pub(super) fn update(&mut self, now: Timestamp, in_use: u32) {
        let current = f64::from(in_use + self.waiting);
        let elapsed = (now - self.updated_at).as_secs_f64();
        let decay = (-elapsed / MEAN_TIME_CONSTANT.as_secs_f64()).exp();
        self.mean = self.current + (self.mean - self.current) * decay;
        self.current = current;
        self.updated_at = now;
        if current > 0.0 {
            self.busy_at = Some(now);
        }
    }

    /// Calls that there is work for, with headroom, up to `capacity`.
    pub(super) fn with_headroom(&self, capacity: u32) -> u32 {
        let demand = self.current.max(self.mean);
        let needed = (demand - NEGLIGIBLE_CALLS).ceil() as u32;
        (needed + (demand * HEADROOM_FRACTION) as u32).min(capacity)
    }

    /// Units of the base quota that are not granted to others.
    pub(super) fn reserved(&self, now: Timestamp, in_use: u32) -> u32 {
        let is_busy = self.busy_at.is_some_and(|at| now - at < BUSY_PERIOD);
        let needed = (in_use + self.waiting).max(self.mean.round() as u32);
        needed.max(u32::from(is_busy))
    }
}
