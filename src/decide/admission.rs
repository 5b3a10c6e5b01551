//! Admission: which arrivals may start at all.
//!
//! [`AdmissionController`] keeps the fraction of arrivals that is admitted, which an integral control loop lowers when
//! latency is too high, the rate of failed runs, and the weights of the latest arrivals, among which a new one is
//! ranked. It is updated with each arrival, the outcome of each run and the latency at each tick. It never answers a
//! request itself.

use super::budget_controller::MAX_CONTROL_ERROR;
use crate::estimators::{Average, Ranking};
use crate::time::Duration;
use oorandom::Rand64;

/// Decrease of the admitted fraction, per second, when the latency exceeds its setpoint by one setpoint.
const CUT_RATE_PER_SECOND: f64 = 0.5;
/// Increase of the admitted fraction during recovery, per second.
const RECOVERY_RATE_PER_SECOND: f64 = 0.2;
/// Smallest admitted fraction. The control loop needs completions to detect that it may recover.
const MIN_ADMITTED_FRACTION: f64 = 0.3;
/// Number of latest arrivals among whose weights a new one is ranked: a few seconds of a server's traffic.
const RANKED_ARRIVALS: usize = 64;
/// Weight of the newest run in the moving average of the failure rate, 0 to 1.
const FAILURE_WEIGHT: f64 = 0.08;
/// Factor on the failure rate per tick, so that a server that gets no runs is tried again after some seconds.
const FAILURE_RATE_DECAY_FACTOR: f64 = 0.999;
/// Failure rate above which arrivals are sent to other servers, 0 to 1.
const MAX_FAILURE_RATE: f64 = 0.25;

/// Decision on an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AdmissionDecision {
    /// Queue the request.
    Admit,
    /// Reject the request: its weight ranks within the fraction that is not admitted, or the server fails its runs.
    Reject,
}

/// Properties of an arrival that admission depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct AdmissionInputs {
    /// The priority weight of the request.
    pub(super) weight: f64,
    /// Whether the request is safe to run twice.
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
    /// Starts by admitting all arrivals.
    pub(super) fn new() -> AdmissionController {
        AdmissionController {
            admitted_fraction: 1.0,
            failure_rate: Average::new(0.0, FAILURE_WEIGHT),
            recent_weights: Ranking::new(RANKED_ARRIVALS),
        }
    }

    /// Returns the fraction of arrivals that is admitted, 0 to 1.
    pub(super) fn admitted_fraction(&self) -> f64 {
        self.admitted_fraction
    }

    /// Returns the fraction of the latest runs that failed, 0 to 1.
    pub(super) fn failure_rate(&self) -> f64 {
        self.failure_rate.value()
    }

    /// Reports whether so many runs fail that arrivals are better served by other servers.
    pub(super) fn is_failing(&self) -> bool {
        self.failure_rate() > MAX_FAILURE_RATE
    }

    /// Returns the rank of a weight among those of the latest arrivals, 0 to 1. It ranks above equal weights.
    pub(super) fn rank(&self, weight: f64) -> f64 {
        self.recent_weights.rank(weight, 1.0)
    }

    /// Admits the admitted fraction of arrivals and rejects the others, the lowest weight first.
    ///
    /// A server whose runs fail answers quickly and therefore attracts traffic. While its failure rate is too high, it
    /// rejects all requests that are not idempotent, and of the idempotent ones a fraction equal to its failure rate;
    /// the others probe whether runs still fail.
    pub(super) fn decide(
        &mut self,
        arrival: AdmissionInputs,
        random: &mut Rand64,
    ) -> AdmissionDecision {
        // Drawn in every case, because the number and order of random draws determine later decisions.
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

    /// Reports whether the request may be used to probe whether runs still fail.
    fn may_probe(&self, arrival: AdmissionInputs, random: &mut Rand64) -> bool {
        arrival.is_idempotent
            && (random.rand_float() > self.failure_rate() || arrival.is_server_idle)
    }

    /// Records that a run that answers its request has completed or failed.
    pub(super) fn record_run(&mut self, has_failed: bool) {
        self.failure_rate.record(f64::from(has_failed));
    }

    /// Decays the failure rate by one tick.
    pub(super) fn decay_failure_rate(&mut self) {
        self.failure_rate
            .relax_towards(0.0, FAILURE_RATE_DECAY_FACTOR);
    }

    /// Performs one step of the integral control loop, `elapsed` after the last one.
    ///
    /// `latency_excess` is the amount by which the worst latency of a handler exceeds its setpoint, in setpoints. If
    /// `rejecting_helps` is false, the latency is not caused by the arrivals, and the admitted fraction recovers.
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
