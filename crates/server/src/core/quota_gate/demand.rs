//! The demand for calls under one budget, from the number of requests in each stage, the calls that
//! were skipped recently, and the mean duration of a call.

use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::RequestStage;

/// Weight of the latest call in the moving average of call durations.
const MEAN_CALL_WEIGHT: f64 = 0.1;
/// Time constant of the exponential decay of skipped calls.
const SKIPPED_CALLS_DECAY: Duration = Duration::from_millis(500);

/// The demand for calls under one budget.
#[derive(Default)]
pub(super) struct Demand {
    queued: usize,
    running: usize,
    awaiting_call: usize,
    calling: usize,
    /// Number of calls that were skipped for lack of capacity, decayed until `decayed_at`.
    skipped_calls: f64,
    decayed_at: Timestamp,
    /// Moving average of the duration of successful calls, in seconds; 0 before the first.
    mean_call_secs: f64,
    /// The number of waiting calls that [`Demand::update`] returned last.
    reported: usize,
}

impl Demand {
    /// Counts a request that enters a stage. `always_calls` is set if each run of its handler makes
    /// a call.
    pub(super) fn enter(&mut self, stage: RequestStage, always_calls: bool) {
        if let Some(count) = self.count_mut(stage, always_calls) {
            *count += 1;
        }
    }

    /// Stops counting a request in the stage that it leaves.
    pub(super) fn leave(&mut self, stage: RequestStage, always_calls: bool) {
        if let Some(count) = self.count_mut(stage, always_calls) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns the count of a stage, or `None` if the stage is no demand: a run that may go without
    /// a call is no demand before it waits for one.
    fn count_mut(&mut self, stage: RequestStage, always_calls: bool) -> Option<&mut usize> {
        match stage {
            RequestStage::Queued => always_calls.then_some(&mut self.queued),
            RequestStage::Running => always_calls.then_some(&mut self.running),
            RequestStage::AwaitingCall => Some(&mut self.awaiting_call),
            RequestStage::Calling => Some(&mut self.calling),
        }
    }

    /// Records the duration of a successful call.
    pub(super) fn record_call(&mut self, duration_secs: f64) {
        self.mean_call_secs += if self.mean_call_secs == 0.0 {
            duration_secs
        } else {
            MEAN_CALL_WEIGHT * (duration_secs - self.mean_call_secs)
        };
    }

    /// Records a call that was skipped for lack of capacity.
    pub(super) fn record_skip(&mut self) {
        self.skipped_calls += 1.0;
    }

    /// Decays the count of skipped calls. Returns the number of calls that wait or will be needed,
    /// if it has changed since the last update.
    pub(super) fn update(&mut self, now: Timestamp) -> Option<usize> {
        let elapsed = (now - self.decayed_at).as_secs_f64();
        let decay_secs = SKIPPED_CALLS_DECAY.as_secs_f64();
        self.skipped_calls *= (-elapsed / decay_secs).exp();
        self.decayed_at = now;
        // Skipped calls per second times the duration of a call in seconds: the calls that would be
        // in flight.
        let skipped = self.skipped_calls / decay_secs * self.mean_call_secs;
        let waiting = self.queued + self.running + self.awaiting_call + skipped.round() as usize;
        (std::mem::replace(&mut self.reported, waiting) != waiting).then_some(waiting)
    }

    /// Reports whether requests are queued while `max_runs` requests or more have left the queue.
    pub(super) fn is_saturated(&self, max_runs: usize) -> bool {
        self.queued > 0 && self.running + self.awaiting_call + self.calling >= max_runs
    }

    /// Returns the moving average of the duration of successful calls, in seconds; 0 before the
    /// first.
    pub(super) fn mean_call_secs(&self) -> f64 {
        self.mean_call_secs
    }
}
