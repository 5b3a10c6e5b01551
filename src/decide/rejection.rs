//! Rejections: when a client may come back, and whether a retry on another server is of use.
//!
//! Owns the fraction of retries among arrivals and what clients understand. Is given each arrival, start and
//! rejection. Chooses no request to reject and answers none.

use crate::estimators::Average;
use crate::interface::Downstream;
use crate::time::Duration;
use oorandom::Rand64;

/// Weight of the newest arrival in the fraction of retries.
const RETRY_WEIGHT: f64 = 0.05;
/// Fraction of retries from which rejections may be final.
const FINAL_ABOVE_RETRY_FRACTION: f64 = 0.05;
/// Growth of the probability that a rejection is final with the fraction of retries.
const FINAL_PROBABILITY_GAIN: f64 = 6.0;
/// Mean run time of a server that is slow by itself, in its best mean and per crowding of the cores.
const SLOW_SERVER_RATIO: f64 = 1.6;
/// Advertised Retry-After, in waits expected at the end of the queue.
const RETRY_AFTER_IN_WAITS: f64 = 2.0;
/// Least factor on a Retry-After; the random part adds up to one, so that clients do not come back together.
const MIN_JITTER_FACTOR: f64 = 0.5;

/// What a rejection says about a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RejectionKind {
    /// A retry on another server is of no use.
    Final,
    /// Another server may serve the request.
    RetryElsewhere,
}

/// How a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Rejection {
    /// Whether a retry on another server is of use.
    pub(super) kind: RejectionKind,
    /// Time for which the client is advised to stay away.
    pub(super) retry_after: Duration,
}

/// What a rejection rests on.
#[derive(Clone, Copy, Debug)]
pub(super) struct RejectionInputs {
    /// Wait expected at the end of the queue, in seconds.
    pub(super) expected_wait_secs: f64,
    /// Whether the latency objective of the request has passed.
    pub(super) is_past_objective: bool,
    /// Whether this server fails its runs or drains, so that others do better.
    pub(super) is_failing_or_draining: bool,
    /// Whether this server is slow, though others may not be.
    pub(super) has_local_slowdown: bool,
}

/// The pace of a server, as it shows whether the server is slow by itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerSpeed {
    /// Whether its caches are cold.
    pub(super) is_warming_up: bool,
    /// Mean age of the runs on the cores, as a ratio to the usual age.
    pub(super) slowdown: f64,
    /// Runs on the cores or waiting for one, per core.
    pub(super) run_queue_per_core: f64,
    /// Mean run time, in seconds.
    pub(super) mean_run_secs: f64,
    /// Best mean run time of late, in seconds.
    pub(super) best_run_secs: f64,
}

impl ServerSpeed {
    /// Whether the server is slower than its crowded cores explain.
    pub(super) fn has_local_slowdown(&self) -> bool {
        let is_slow = self.slowdown * self.mean_run_secs
            > SLOW_SERVER_RATIO * self.run_queue_per_core * self.best_run_secs;
        self.is_warming_up || is_slow
    }
}

/// Decides what rejections say.
pub(super) struct RejectionPolicy {
    max_retry_after: Duration,
    marks_retries: bool,
    retry_fraction: Average,
}

impl RejectionPolicy {
    /// No retries were seen.
    pub(super) fn new(downstream: &Downstream) -> RejectionPolicy {
        RejectionPolicy {
            max_retry_after: downstream.max_retry_after,
            marks_retries: downstream.marks_retries,
            retry_fraction: Average::new(0.0, RETRY_WEIGHT),
        }
    }

    /// The fraction of retries among the latest arrivals, 0 to 1. Where clients do not mark retries, the fraction
    /// rejected here stands in for it.
    pub(super) fn retry_fraction(&self) -> f64 {
        self.retry_fraction.value()
    }

    /// A request arrived, marked as a retry or not.
    pub(super) fn on_arrival(&mut self, is_retry: bool) {
        if self.marks_retries {
            self.retry_fraction.record(f64::from(is_retry));
        }
    }

    /// A request was rejected here.
    pub(super) fn on_rejection(&mut self) {
        if !self.marks_retries {
            self.retry_fraction.record(1.0);
        }
    }

    /// A request was started here.
    pub(super) fn on_start(&mut self) {
        if !self.marks_retries {
            self.retry_fraction.record(0.0);
        }
    }

    /// Decides how a request is rejected.
    pub(super) fn decide(&self, inputs: &RejectionInputs, random: &mut Rand64) -> Rejection {
        let jitter = MIN_JITTER_FACTOR + random.rand_float();
        let retry_after_secs = RETRY_AFTER_IN_WAITS * inputs.expected_wait_secs * jitter;
        let retry_after = Duration::from_secs_f64(retry_after_secs);
        Rejection {
            kind: self.kind(inputs, random),
            retry_after: retry_after.min(self.max_retry_after),
        }
    }

    /// A rejection is final where the objective has passed, or where many retries show that other servers reject too.
    /// Where retries are not marked, those that a server slow by itself rejects prove nothing.
    fn kind(&self, inputs: &RejectionInputs, random: &mut Rand64) -> RejectionKind {
        // Drawn whatever the answer: the number and order of draws are part of the decisions.
        let probability =
            FINAL_PROBABILITY_GAIN * (self.retry_fraction() - FINAL_ABOVE_RETRY_FRACTION);
        let is_drawn = random.rand_float() < probability;
        let retries_show_load = self.marks_retries || !inputs.has_local_slowdown;
        let others_reject = is_drawn && retries_show_load;
        if !inputs.is_failing_or_draining && (inputs.is_past_objective || others_reject) {
            RejectionKind::Final
        } else {
            RejectionKind::RetryElsewhere
        }
    }
}

#[cfg(test)]
mod tests;
