//! Tracks this server's demand for units of a budget: the current value and a recent mean.

use madderbay::time::{Duration, Timestamp};

/// Headroom above the demand, as a fraction of it, so that a further call finds a free unit.
const HEADROOM_FRACTION: f64 = 0.1;
/// Fraction of a call that is ignored when the demand is rounded up, because the mean decays
/// exponentially and never reaches zero.
const NEGLIGIBLE_CALLS: f64 = 0.15;
/// A server that had any work within this period keeps at least one unit of its base quota.
const BUSY_PERIOD: Duration = Duration::from_millis(10_000);
/// Time constant of the mean. Units for a short peak above the mean are obtained by recalling
/// grants, which takes one message and the end of a call; units reserved for peaks would be idle.
const MEAN_TIME_CONSTANT: Duration = Duration::from_millis(1_000);

/// Tracks the calls that are in flight or waiting.
pub(super) struct DemandTracker {
    waiting: u32,
    /// Calls in flight plus waiting calls, as of `updated_at`.
    current: f64,
    mean: f64,
    updated_at: Timestamp,
    /// When a call was last in flight or waiting.
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

    /// Returns the calls that wait for a unit.
    pub(super) fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Sets the number of waiting calls and reports whether it increased.
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

    /// Returns the demand in calls, with headroom, limited to `capacity`.
    pub(super) fn with_headroom(&self, capacity: u32) -> u32 {
        let demand = self.current.max(self.mean);
        let needed = (demand - NEGLIGIBLE_CALLS).ceil() as u32;
        (needed + (demand * HEADROOM_FRACTION) as u32).min(capacity)
    }

    /// Returns the units of the base quota that must not be granted to other servers.
    pub(super) fn reserved(&self, now: Timestamp, in_use: u32) -> u32 {
        let is_busy = self.busy_at.is_some_and(|at| now - at < BUSY_PERIOD);
        let needed = (in_use + self.waiting).max(self.mean.round() as u32);
        needed.max(u32::from(is_busy))
    }
}
