//! The instants by which a request has to be answered.
//!
//! They are computed from the settings and the arrival; no state is kept.

use crate::interface::{Arrival, Handler, Rules};
use crate::time::{Duration, Timestamp};

/// Shortest time between the sending of an answer and its deadline: three ticks.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(30);

/// Fraction of the latency objectives that is available to a tier behind another.
const INNER_TIER_FRACTION: f64 = 0.4;

/// Returns the fraction of each latency objective that is available to the server's tier. Tier 0 is the one that
/// clients reach.
pub(super) fn objective_fraction(tier: u32) -> f64 {
    if tier == 0 { 1.0 } else { INNER_TIER_FRACTION }
}

/// Returns the latest instant at which the answer of a request with this deadline is sent.
pub(super) fn answer_by(deadline: Timestamp) -> Timestamp {
    deadline.saturating_sub(ANSWER_MARGIN)
}

/// Arrival, latency objective and deadline of one request, as instants.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestDeadlines {
    /// When the request reached the machine, even if it was read later.
    pub(super) reached: Timestamp,
    /// Instant until which the answer meets the latency objective.
    pub(super) objective: Timestamp,
    /// When the client stops waiting, or the process stops.
    pub(super) deadline: Timestamp,
}

impl RequestDeadlines {
    /// Computes the instants of a request that is read now. If requests carry no timeout, that of their handler counts
    /// from the arrival at the machine. `objective_fraction` of the handler's latency objective is available to this
    /// tier; `latest_deadline` is the latest deadline that a graceful shutdown allows.
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

/// Returns the latency objective of a request: that of its handler, extended by the request's own work, and at most the
/// handler's timeout.
fn latency_objective(arrival: &Arrival, handler: &Handler, objective_fraction: f64) -> Duration {
    let stretch = arrival.work_hint.map_or(Duration::ZERO, |hint| {
        hint.mul_f64(handler.objective_stretch)
    });
    let objective = handler.latency_objective.mul_f64(objective_fraction) + stretch;
    objective.min(handler.timeout)
}
