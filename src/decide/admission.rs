//! Admission: which arrivals may start at all.
//!
//! Owns the fraction of arrivals that is admitted, cut by an integral loop on latency, the rate of failures, and the
//! weights of the latest arrivals, among which a new one is ranked. Is given each arrival, the outcome of each run and
//! the latency of each tick. Never answers a request.

use super::budget_controller::MAX_CONTROL_ERROR;
use crate::estimators::{Average, Ranking};
use crate::time::Duration;
use oorandom::Rand64;

/// Cut of the admitted fraction, per second, for a latency of one setpoint over the setpoint.
const CUT_RATE_PER_SECOND: f64 = 0.5;
/// Recovery of the admitted fraction, per second.
const RECOVERY_RATE_PER_SECOND: f64 = 0.2;
/// Least fraction admitted. The loop needs completions to see that it may recover.
const MIN_ADMITTED_FRACTION: f64 = 0.3;
/// Latest arrivals among whose weights a new one is ranked: a few seconds of a server's traffic.
const RANKED_ARRIVALS: usize = 64;
/// Weight of the newest run in the failure rate, 0 to 1.
const FAILURE_WEIGHT: f64 = 0.08;
/// Fraction of the failure rate kept per tick. A server without runs is tried again after some seconds.
const FAILURE_RATE_DECAY_FACTOR: f64 = 0.999;
/// Failure rate above which arrivals are sent to other servers, 0 to 1.
const MAX_FAILURE_RATE: f64 = 0.25;

/// What is decided on an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AdmissionDecision {
    /// It is queued.
    Admit,
    /// It is rejected: its weight ranks below the fraction that is cut, or the server fails its runs.
    Reject,
}

/// What admission needs to know of an arrival.
#[derive(Clone, Copy, Debug)]
pub(super) struct AdmissionInputs {
    /// The priority weight of the request.
    pub(super) weight: f64,
    /// Whether the request may run twice.
    pub(super) is_idempotent: bool,
    /// Whether no run is in flight.
    pub(super) is_server_idle: bool,
}

/// Decides which arrivals are admitted.
pub(super) struct AdmissionController {
    /// Fraction of arrivals admitted, from `MIN_ADMITTED_FRACTION` to 1.
    admitted_fraction: f64,
    failure_rate: Average,
    recent_weights: Ranking,
}

impl AdmissionController {
    /// Admits all arrivals.
    pub(super) fn new() -> AdmissionController {
        AdmissionController {
            admitted_fraction: 1.0,
            failure_rate: Average::new(0.0, FAILURE_WEIGHT),
            recent_weights: Ranking::new(RANKED_ARRIVALS),
        }
    }

    /// The fraction of arrivals admitted, 0 to 1.
    pub(super) fn admitted_fraction(&self) -> f64 {
        self.admitted_fraction
    }

    /// The fraction of the latest runs that failed, 0 to 1.
    pub(super) fn failure_rate(&self) -> f64 {
        self.failure_rate.value()
    }

    /// Whether so many runs fail that arrivals do better on other servers.
    pub(super) fn is_failing(&self) -> bool {
        self.failure_rate() > MAX_FAILURE_RATE
    }

    /// Rank of a weight among those of the latest arrivals, 0 to 1. It ranks above equal ones.
    pub(super) fn rank(&self, weight: f64) -> f64 {
        self.recent_weights.rank(weight, 1.0)
    }

    /// Rejects what is beyond the admitted fraction, the lowest weight first.
    ///
    /// A server that fails its runs answers quickly, and so attracts traffic. While it does, it rejects all but idempotent
    /// requests, and of these as large a fraction as fails; the others probe whether runs still fail.
    pub(super) fn decide(
        &mut self,
        arrival: AdmissionInputs,
        random: &mut Rand64,
    ) -> AdmissionDecision {
        // Drawn whatever the answer: the number and order of draws are part of the decisions.
        let tie_break = random.rand_float();
        let may_probe = self.may_probe(arrival, random);
        if self.is_failing() && !may_probe {
            return AdmissionDecision::Reject;
        }
        self.recent_weights.push(arrival.weight);
        let rank = self.recent_weights.rank(arrival.weight, tie_break);
        if rank >= 1.0 - self.admitted_fraction {
            AdmissionDecision::Admit
        } else {
            AdmissionDecision::Reject
        }
    }

    /// Whether the request may show whether runs still fail.
    fn may_probe(&self, arrival: AdmissionInputs, random: &mut Rand64) -> bool {
        arrival.is_idempotent
            && (random.rand_float() > self.failure_rate() || arrival.is_server_idle)
    }

    /// A run that answers its request has completed or failed.
    pub(super) fn record_run(&mut self, has_failed: bool) {
        self.failure_rate.record(f64::from(has_failed));
    }

    /// Lets the failure rate fade by one tick.
    pub(super) fn decay_failure_rate(&mut self) {
        self.failure_rate
            .relax_towards(0.0, FAILURE_RATE_DECAY_FACTOR);
    }

    /// One step of the integral loop, `elapsed` after the last.
    ///
    /// `latency_excess` is the worst latency of a handler over its setpoint, in setpoints. Where `rejecting_helps` is false,
    /// the latency has another cause than the arrivals, and the fraction recovers.
    pub(super) fn update(&mut self, elapsed: Duration, latency_excess: f64, rejecting_helps: bool) {
        let change_per_second = if rejecting_helps && latency_excess > 0.0 {
            -CUT_RATE_PER_SECOND * latency_excess.min(MAX_CONTROL_ERROR)
        } else {
            RECOVERY_RATE_PER_SECOND
        };
        let changed = self.admitted_fraction + elapsed.as_secs_f64() * change_per_second;
        self.admitted_fraction = changed.clamp(MIN_ADMITTED_FRACTION, 1.0);
    }
}
