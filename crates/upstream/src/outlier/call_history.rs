//! The recent results of one backend's calls, as seen by this server. The weight of a result decays with its age.

use crate::attempt::AttemptOutcome;
use crate::call_counts::CallCounts;
use madderbay::time::{Duration, Timestamp};

/// Time constant of the decay of failures: long enough that failures at a rate of one a second add up, and short enough
/// that a repaired backend is trusted again.
const FAILURE_DECAY: Duration = Duration::from_millis(5_000);
/// Time constant of the decay of successes. It is shorter than that of failures, because old successes say little about
/// the current state.
const SUCCESS_DECAY: Duration = Duration::from_millis(2_000);
/// Factor that the successes are multiplied by for each consecutive failure.
const SUCCESSES_AFTER_FAILURE: f64 = 0.6;
/// Number of consecutive failures beyond which successes are not reduced further.
const MAX_CONSECUTIVE_FAILURES: i32 = 6;
/// Number of failures counted for a failed attempt.
const FAILURE_WEIGHT: f64 = 1.0;
/// Number of failures counted for an attempt that was slow or was overtaken by a later hedge.
const SLOW_CALL_WEIGHT: f64 = 0.5;
/// Weight of the latest call in the mean latency, which therefore covers about the last five calls.
const LATENCY_SMOOTHING: f64 = 0.3;
/// The mean latency is reliable only after more successful calls than this.
const MIN_LATENCY_SAMPLES: f64 = 2.5;
/// Time after the last successful call beyond which the mean latency is outdated.
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
    /// Applies the decay of the results up to `now`.
    pub(crate) fn decay(&mut self, now: Timestamp) {
        let elapsed = (now - self.decayed_at).as_secs_f64();
        self.successes *= (-elapsed / SUCCESS_DECAY.as_secs_f64()).exp();
        self.failures *= (-elapsed / FAILURE_DECAY.as_secs_f64()).exp();
        self.decayed_at = self.decayed_at.max(now);
    }

    /// Counts the outcome of an attempt. `slow` says that it took far longer than is typical.
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

    /// Returns the successes and failures that still count.
    pub(crate) fn counts(&self) -> CallCounts {
        let failures_in_row = self.consecutive_failures.clamp(0, MAX_CONSECUTIVE_FAILURES);
        let successes = self.successes * SUCCESSES_AFTER_FAILURE.powi(failures_in_row);
        CallCounts {
            successes,
            failures: self.failures,
        }
    }

    /// Reports whether the last call that says anything about the backend failed.
    pub(crate) fn last_call_failed(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Returns the recent mean latency of successful calls, or `None` if there were not enough of them.
    pub(crate) fn latency_seconds(&self, now: Timestamp) -> Option<f64> {
        self.latency.reliable(now)
    }

    /// Returns the mean latency of successful calls, however few calls it is based on.
    pub(crate) fn latency_estimate_seconds(&self) -> Option<f64> {
        self.latency.estimate()
    }

    /// Clears the results, so that the backend starts without a history.
    pub(crate) fn clear(&mut self) {
        (self.successes, self.failures, self.consecutive_failures) = (0.0, 0.0, 0);
        self.latency.samples = 0.0;
    }
}

/// Exponentially smoothed mean of the latencies of successful calls.
#[derive(Clone, Debug, Default)]
struct MeanLatency {
    seconds: f64,
    /// How many calls the mean is based on.
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

/// Returns the number of failures counted for an outcome. A failed connection may be the network's fault as well, and a
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
