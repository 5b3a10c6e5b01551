//! Rejections: when a client may come back, and whether a retry on another server is worthwhile.
//!
//! [`RejectionPolicy`] keeps the fraction of retries among arrivals, which each arrival, start and rejection updates,
//! and what the clients support. It neither chooses the requests to reject nor answers them.

use crate::estimators::Average;
use crate::interface::Downstream;
use crate::time::Duration;
use oorandom::Rand64;

/// Weight of the newest arrival in the fraction of retries.
const RETRY_WEIGHT: f64 = 0.05;
/// Fraction of retries above which rejections may be final.
const MIN_RETRY_FRACTION_FOR_FINAL: f64 = 0.05;
/// Increase of the probability that a rejection is final per increase of the fraction of retries.
const FINAL_PROBABILITY_GAIN: f64 = 6.0;
/// Ratio of the mean run time, scaled by the slowdown, to the best one, scaled by the run queue per core, above which a
/// server is slow by itself.
const SLOW_SERVER_RATIO: f64 = 1.6;
/// Advertised Retry-After, as a multiple of the expected wait at the end of the queue.
const RETRY_AFTER_IN_WAITS: f64 = 2.0;
/// Smallest random factor on a Retry-After. A random part of up to 1 is added, so that clients do not all come back
/// together.
const MIN_JITTER_FACTOR: f64 = 0.5;

/// What a rejection tells the client about a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RejectionKind {
    /// A retry on another server is not worthwhile.
    Final,
    /// Another server may serve the request.
    RetryElsewhere,
}

/// The content of a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Rejection {
    /// Whether a retry on another server is worthwhile.
    pub(super) kind: RejectionKind,
    /// Time for which the client is advised to stay away.
    pub(super) retry_after: Duration,
}

/// Inputs of the decision on a rejection.
#[derive(Clone, Copy, Debug)]
pub(super) struct RejectionInputs {
    /// Expected wait at the end of the queue, in seconds.
    pub(super) expected_wait_secs: f64,
    /// Whether the latency objective of the request has passed.
    pub(super) is_past_objective: bool,
    /// Whether this server fails its runs or drains, so that other servers serve requests better.
    pub(super) is_failing_or_draining: bool,
    /// Whether this server is slow by itself, while others may not be.
    pub(super) has_local_slowdown: bool,
}

/// Measurements that show whether a server is slow by itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerSpeed {
    /// Whether the caches are cold.
    pub(super) is_warming_up: bool,
    /// Mean age of the runs on the cores, as a ratio to the usual age.
    pub(super) slowdown: f64,
    /// Runs on the cores or waiting for one, per core.
    pub(super) run_queue_per_core: f64,
    /// Mean run time, in seconds.
    pub(super) mean_run_secs: f64,
    /// Best recent mean run time, in seconds.
    pub(super) best_run_secs: f64,
}

impl ServerSpeed {
    /// Reports whether the server is warming up, or slower than the load on its cores explains.
    pub(super) fn has_local_slowdown(&self) -> bool {
        let is_slow = self.slowdown * self.mean_run_secs
            > SLOW_SERVER_RATIO * self.run_queue_per_core * self.best_run_secs;
        self.is_warming_up || is_slow
    }
}

/// Decides what rejections tell clients.
pub(super) struct RejectionPolicy {
    max_retry_after: Duration,
    marks_retries: bool,
    retry_fraction: Average,
}

impl RejectionPolicy {
    /// Starts with no retries seen.
    pub(super) fn new(downstream: &Downstream) -> RejectionPolicy {
        RejectionPolicy {
            max_retry_after: downstream.max_retry_after,
            marks_retries: downstream.marks_retries,
            retry_fraction: Average::new(0.0, RETRY_WEIGHT),
        }
    }

    /// Returns the fraction of retries among the latest arrivals, 0 to 1. If clients do not mark retries, the fraction
    /// of requests rejected here is used in its place.
    pub(super) fn retry_fraction(&self) -> f64 {
        self.retry_fraction.value()
    }

    /// Records the arrival of a request, marked as a retry or not.
    pub(super) fn on_arrival(&mut self, is_retry: bool) {
        if self.marks_retries {
            self.retry_fraction.record(f64::from(is_retry));
        }
    }

    /// Records that a request was rejected here.
    pub(super) fn on_rejection(&mut self) {
        if !self.marks_retries {
            self.retry_fraction.record(1.0);
        }
    }

    /// Records that a request was started here.
    pub(super) fn on_start(&mut self) {
        if !self.marks_retries {
            self.retry_fraction.record(0.0);
        }
    }

    /// Decides the content of a rejection.
    pub(super) fn decide(&self, inputs: &RejectionInputs, random: &mut Rand64) -> Rejection {
        let jitter = MIN_JITTER_FACTOR + random.rand_float();
        let retry_after_secs = RETRY_AFTER_IN_WAITS * inputs.expected_wait_secs * jitter;
        let retry_after = Duration::from_secs_f64(retry_after_secs);
        Rejection {
            kind: self.kind(inputs, random),
            retry_after: retry_after.min(self.max_retry_after),
        }
    }

    /// Decides whether a rejection is final: if the objective has passed, or if many retries show that other servers
    /// reject as well. If retries are not marked, the rejections of a server that is slow by itself prove nothing about
    /// the others. A server that is failing or draining sends no final rejections.
    fn kind(&self, inputs: &RejectionInputs, random: &mut Rand64) -> RejectionKind {
        // Drawn in every case, because the number and order of random draws determine later decisions.
        let probability =
            FINAL_PROBABILITY_GAIN * (self.retry_fraction() - MIN_RETRY_FRACTION_FOR_FINAL);
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
