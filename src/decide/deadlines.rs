//! The instants that a request is held to.
//!
//! Owns nothing; computes them from the settings and the arrival.

use crate::interface::{Arrival, Handler, Rules};
use crate::time::{Duration, Timestamp};

/// Time before its deadline at which an answer leaves: three ticks.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(30);

/// Fraction of the latency objectives that a tier behind another has for itself.
const INNER_TIER_FRACTION: f64 = 0.4;

/// The fraction of each latency objective that the server's tier has; 0 is the tier that clients reach.
pub(super) fn objective_fraction(tier: u32) -> f64 {
    if tier == 0 { 1.0 } else { INNER_TIER_FRACTION }
}

/// When the answer of a request with this deadline leaves at the latest.
pub(super) fn answer_by(deadline: Timestamp) -> Timestamp {
    deadline.saturating_sub(ANSWER_MARGIN)
}

/// The instants of one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestDeadlines {
    /// When it reached the machine, read or not.
    pub(super) reached: Timestamp,
    /// When its answer is in time.
    pub(super) objective: Timestamp,
    /// When its client stops waiting, or the process stops.
    pub(super) deadline: Timestamp,
}

impl RequestDeadlines {
    /// The instants of a request that is read now. Where requests carry no timeout, their handler's counts from the
    /// arrival at the machine. The tier has `objective_fraction` of the handler's latency objective; `last` is the
    /// latest deadline that a graceful shutdown allows.
    pub(super) fn new(
        now: Timestamp,
        arrival: &Arrival,
        handler: &Handler,
        rules: &Rules,
        objective_fraction: f64,
        latest_deadline: Option<Timestamp>,
    ) -> RequestDeadlines {
        let reached = now.saturating_sub(arrival.read_delay);
        let client_deadline = if rules.requests_carry_timeout {
            now + arrival.timeout
        } else {
            (reached + handler.timeout).max(now)
        };
        let deadline =
            latest_deadline.map_or(client_deadline, |latest| client_deadline.min(latest));
        let objective = reached + latency_objective(arrival, handler, objective_fraction);
        RequestDeadlines {
            reached,
            objective: objective.min(answer_by(deadline)),
            deadline,
        }
    }
}

/// The latency objective of a request: that of its handler, longer by its own work, at most the handler's timeout.
fn latency_objective(arrival: &Arrival, handler: &Handler, objective_fraction: f64) -> Duration {
    let stretch = arrival.work_hint.map_or(Duration::ZERO, |hint| {
        hint.mul_f64(handler.objective_stretch)
    });
    let objective = handler.latency_objective.mul_f64(objective_fraction) + stretch;
    objective.min(handler.timeout)
}
