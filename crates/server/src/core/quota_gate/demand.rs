//! The demand for calls under one budget: its requests by stage, the calls that were skipped lately, and how long a
//! call takes. It is given changes and never asks.

use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::RequestStage;

/// Weight of the newest call in the mean duration of calls.
const MEAN_CALL_WEIGHT: f64 = 0.1;
/// Time constant with which skipped calls are forgotten.
const SKIPPED_CALLS_DECAY: Duration = Duration::from_millis(500);

/// The demand for calls under one budget.
#[derive(Default)]
pub(super) struct Demand {
    queued: usize,
    running: usize,
    awaiting_call: usize,
    calling: usize,
    /// Calls that were skipped for lack of capacity, decayed to `decayed_at`.
    skipped_calls: f64,
    decayed_at: Timestamp,
    /// Moving average of the duration of successful calls, in seconds; 0 before the first.
    mean_call_secs: f64,
    /// The waiting calls that were last returned by [`Demand::update`].
    reported: usize,
}

impl Demand {
    /// A request enters a stage. `always_calls` says whether each run of its handler makes a call.
    pub(super) fn enter(&mut self, stage: RequestStage, always_calls: bool) {
        if let Some(count) = self.count_mut(stage, always_calls) {
            *count += 1;
        }
    }

    /// A request leaves a stage.
    pub(super) fn leave(&mut self, stage: RequestStage, always_calls: bool) {
        if let Some(count) = self.count_mut(stage, always_calls) {
            *count = count.saturating_sub(1);
        }
    }

    /// Runs that may go without a call are no demand before they wait for one.
    fn count_mut(&mut self, stage: RequestStage, always_calls: bool) -> Option<&mut usize> {
        match stage {
            RequestStage::Queued => always_calls.then_some(&mut self.queued),
            RequestStage::Running => always_calls.then_some(&mut self.running),
            RequestStage::AwaitingCall => Some(&mut self.awaiting_call),
            RequestStage::Calling => Some(&mut self.calling),
        }
    }

    /// A call succeeded after this time.
    pub(super) fn record_call(&mut self, duration_secs: f64) {
        self.mean_call_secs += if self.mean_call_secs == 0.0 {
            duration_secs
        } else {
            MEAN_CALL_WEIGHT * (duration_secs - self.mean_call_secs)
        };
    }

    /// A call was skipped for lack of capacity.
    pub(super) fn record_skip(&mut self) {
        self.skipped_calls += 1.0;
    }

    /// Forgets skipped calls with time. Returns the calls that wait or will be needed, where their number is another
    /// than at the last update.
    pub(super) fn update(&mut self, now: Timestamp) -> Option<usize> {
        let elapsed = (now - self.decayed_at).as_secs_f64();
        let decay_secs = SKIPPED_CALLS_DECAY.as_secs_f64();
        self.skipped_calls *= (-elapsed / decay_secs).exp();
        self.decayed_at = now;
        // Skipped calls a second, times the seconds of a call: those that would be in flight.
        let skipped = self.skipped_calls / decay_secs * self.mean_call_secs;
        let waiting = self.queued + self.running + self.awaiting_call + skipped.round() as usize;
        (std::mem::replace(&mut self.reported, waiting) != waiting).then_some(waiting)
    }

    /// Whether requests are queued while `runs` requests are beyond the queue.
    pub(super) fn is_saturated(&self, max_runs: usize) -> bool {
        self.queued > 0 && self.running + self.awaiting_call + self.calling >= max_runs
    }

    /// Moving average of the duration of successful calls, in seconds; 0 before the first.
    pub(super) fn mean_call_secs(&self) -> f64 {
        self.mean_call_secs
    }
}
