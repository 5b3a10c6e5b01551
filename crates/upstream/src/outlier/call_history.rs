//! Recent results of one backend's calls, as this server saw them. Old results count less and less.

use crate::attempt::AttemptOutcome;
use crate::call_counts::CallCounts;
use madderbay::time::{Duration, Timestamp};

/// Time constant of the decay of failures: long enough that one a second adds up, and short enough that a repaired
/// backend is trusted again.
const FAILURE_DECAY: Duration = Duration::from_millis(5_000);
/// Time constant of the decay of successes; they count shorter, since they show little of the present.
const SUCCESS_DECAY: Duration = Duration::from_millis(2_000);
/// Fraction of the successes that still counts after each consecutive failure.
const SUCCESSES_AFTER_FAILURE: f64 = 0.6;
/// Consecutive failures beyond which successes count no less.
const MAX_CONSECUTIVE_FAILURES: i32 = 6;
/// What a failed attempt counts.
const FAILURE_WEIGHT: f64 = 1.0;
/// What an attempt counts as a failure that was slow, or that a later hedge overtook.
const SLOW_CALL_WEIGHT: f64 = 0.5;
/// Weight of the newest call in the mean latency, which so covers the last five or so.
const LATENCY_SMOOTHING: f64 = 0.3;
/// The mean latency needs more successful calls than this.
const MIN_LATENCY_SAMPLES: f64 = 2.5;
/// Time after the last successful call from which the mean latency says nothing.
const MAX_LATENCY_AGE: Duration = Duration::from_millis(10_000);

/// The recent results of one backend.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallHistory {
    successes: f64,
    failures: f64,
    consecutive_failures: i32,
    decayed_at: Timestamp,
    latency: MeanLatency,
}

impl CallHistory {
    /// Lets the results age until `now`.
    pub(crate) fn decay(&mut self, now: Timestamp) {
        let elapsed = (now - self.decayed_at).as_secs_f64();
        self.successes *= (-elapsed / SUCCESS_DECAY.as_secs_f64()).exp();
        self.failures *= (-elapsed / FAILURE_DECAY.as_secs_f64()).exp();
        self.decayed_at = self.decayed_at.max(now);
    }

    /// Counts the outcome of an attempt; `slow` where it took far longer than is typical.
    pub(crate) fn record(
        &mut self,
        now: Timestamp,
        outcome: AttemptOutcome,
        latency: Duration,
        slow: bool,
    ) {
        self.decay(now);
        let weight = failure_weight(outcome);
        self.failures += weight;
        self.consecutive_failures += i32::from(weight > 0.0);
        if outcome != AttemptOutcome::Success {
            return;
        }
        if slow {
            self.failures += SLOW_CALL_WEIGHT;
        } else {
            self.successes += 1.0;
            self.consecutive_failures = 0;
        }
        self.latency.record(now, latency);
    }

    /// Successes and failures that still count.
    pub(crate) fn counts(&self) -> CallCounts {
        let failures_in_row = self.consecutive_failures.clamp(0, MAX_CONSECUTIVE_FAILURES);
        let successes = self.successes * SUCCESSES_AFTER_FAILURE.powi(failures_in_row);
        CallCounts {
            successes,
            failures: self.failures,
        }
    }

    /// Whether the last call that shows anything failed.
    pub(crate) fn last_call_failed(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Recent mean latency of successful calls, where there were enough of them.
    pub(crate) fn latency_seconds(&self, now: Timestamp) -> Option<f64> {
        self.latency.reliable(now)
    }

    /// The same, however few calls it rests on.
    pub(crate) fn latency_estimate_seconds(&self) -> Option<f64> {
        self.latency.estimate()
    }

    /// Forgets the results: the backend begins anew.
    pub(crate) fn clear(&mut self) {
        (self.successes, self.failures, self.consecutive_failures) = (0.0, 0.0, 0);
        self.latency.samples = 0.0;
    }
}

/// Exponentially smoothed mean of the latencies of successful calls.
#[derive(Clone, Debug, Default)]
struct MeanLatency {
    seconds: f64,
    /// How many calls the mean rests on.
    samples: f64,
    updated_at: Timestamp,
}

impl MeanLatency {
    fn record(&mut self, now: Timestamp, latency: Duration) {
        if now - self.updated_at > MAX_LATENCY_AGE {
            self.samples = 0.0;
        }
        let weight = if self.samples == 0.0 {
            1.0
        } else {
            LATENCY_SMOOTHING
        };
        self.seconds += weight * (latency.as_secs_f64() - self.seconds);
        self.samples += 1.0;
        self.updated_at = now;
    }

    fn reliable(&self, now: Timestamp) -> Option<f64> {
        let recent = now - self.updated_at <= MAX_LATENCY_AGE;
        (self.samples > MIN_LATENCY_SAMPLES && recent).then_some(self.seconds)
    }

    fn estimate(&self) -> Option<f64> {
        (self.samples > 0.0).then_some(self.seconds)
    }
}

/// What an outcome counts as a failure of the backend. A failed connection may be the network's fault as well, and a
/// cancelled attempt proves nothing.
fn failure_weight(outcome: AttemptOutcome) -> f64 {
    if outcome.is_failure() {
        FAILURE_WEIGHT
    } else if outcome == AttemptOutcome::LostToHedge {
        SLOW_CALL_WEIGHT
    } else {
        0.0
    }
}

#[cfg(test)]
mod tests;
