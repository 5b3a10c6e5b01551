//! How calls complete, and how a limit changes.

use std::fmt;

/// How a call completed, as far as this is evidence about the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The upstream answered; the latency of the call is a sample.
    Success,
    /// The upstream rejected the call, could not be reached or failed. The latency is not a sample.
    Failure,
    /// The caller stopped waiting; the latency of the call would have been longer.
    TimedOut,
    /// The caller ended the call for reasons of its own; this is no evidence about the upstream.
    Cancelled,
}

/// Why a limit changed. `Display` writes the cause as it appears in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdjustmentCause {
    /// Calls seem to queue at the upstream: a probe lowers the limit.
    Queueing,
    /// The probe did not lower latency: the upstream has become slower, and the limit is restored.
    ProbeReverted,
    /// Demand reached the limit, and the upstream sustains more.
    Demand,
    /// Most calls of a window failed.
    Failures,
    /// No call was answered in the last windows.
    Silence,
    /// The circuit breaker opened: no calls are allowed until its backoff ends.
    CircuitOpened,
    /// The circuit breaker's backoff ended: one trial call is allowed.
    CircuitHalfOpen,
}

impl fmt::Display for AdjustmentCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AdjustmentCause::Queueing => "queueing",
            AdjustmentCause::ProbeReverted => "probe-reverted",
            AdjustmentCause::Demand => "demand",
            AdjustmentCause::Failures => "failures",
            AdjustmentCause::Silence => "silence",
            AdjustmentCause::CircuitOpened => "circuit-opened",
            AdjustmentCause::CircuitHalfOpen => "circuit-half-open",
        })
    }
}

/// One change of a limit, for the log. `Display` writes the event and the values of the log line.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// The limit before, in calls; 0 while the circuit breaker was open.
    pub from: f64,
    /// The limit after, in calls; 0 while the circuit breaker is open.
    pub to: f64,
    /// Why the limit changed.
    pub cause: AdjustmentCause,
}

impl fmt::Display for LimitChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LimitChange { from, to, cause } = self;
        let event = if to < from { "lowered" } else { "raised" };
        write!(
            f,
            "limit {event}, from={from:.1}, to={to:.1}, cause={cause}"
        )
    }
}

/// Changes of limits since they were last taken.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LimitChanges {
    /// The changes that were stored, in the order in which they happened.
    pub changes: Vec<LimitChange>,
    /// Number of further changes that were not stored because too many were pending.
    pub dropped: u64,
}
