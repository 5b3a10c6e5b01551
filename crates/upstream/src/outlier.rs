//! Outlier detection: decides when a backend is so much worse than expected that it is ejected.
//!
//! The decision is based on evidence: the recent results that this server saw itself, and the reports of other servers.
//! The fewer servers report on a backend, the more failures of its own a server needs. This module holds the rule.
//! [`CallHistory`] collects the results, [`crate::gossip`] the reports, and the backend's group carries out the
//! ejections.

pub(crate) mod call_history;

pub(crate) use call_history::CallHistory;

use crate::attempt::AttemptOutcome;
use crate::call_counts::CallCounts;
use crate::gossip::reports::ReportSummary;
use madderbay::time::Duration;
use std::fmt;

/// An attempt is overdue after this multiple of the typical latency of the group.
const OVERDUE_LATENCY_FACTOR: f64 = 8.0;
/// Lower bound on the time after which an attempt is overdue.
const MIN_OVERDUE_TIME: Duration = Duration::from_millis(250);
/// An attempt that was given up before this fraction of the overdue time says nothing about the backend.
const MIN_WAIT_FRACTION: f64 = 0.3;
/// A call, or the mean of a backend's calls, is slow if its latency exceeds this multiple of the typical latency of the
/// group.
const SLOW_LATENCY_FACTOR: f64 = 4.0;
/// Lower bound on the failures that a slow backend is assessed with.
const SLOW_BACKEND_FAILURES: f64 = 3.0;
/// Suspicion from which a backend may be ejected, 0 to 1.
const SUSPICION_THRESHOLD: f64 = 0.6;
/// Number of calls with unknown results that is added when suspicion is computed, so that a single failure is not
/// decisive.
const ASSUMED_CALLS: f64 = 0.5;
/// The same as [`ASSUMED_CALLS`], for suspicion by this server's own results alone.
const ASSUMED_CALLS_OWN: f64 = 1.0;
/// Failures seen by this server that are needed for an ejection without confirming reports.
const MIN_FAILURES_UNCONFIRMED: f64 = 2.5;
/// Failures seen by this server that are needed for an ejection with confirming reports.
const MIN_FAILURES_CONFIRMED: f64 = 0.7;
/// Weight of the reported failures from which they confirm failures seen by this server.
const CONFIRMING_REPORTED_FAILURES: f64 = 0.9;
/// Weight of the reported failures from which they are decisive without any failure seen by this server, if enough
/// zones agree.
const DECISIVE_REPORTED_FAILURES: f64 = 3.0;
/// Number of zones that have to agree for reports to be decisive.
const DECISIVE_ZONES: usize = 2;
/// Recent successes seen by this server from which they overrule all reports, if there are hardly any failures.
const OVERRULING_SUCCESSES: f64 = 2.0;
/// Failures seen by this server from which its successes no longer overrule the reports.
const MAX_OVERRULING_FAILURES: f64 = 0.5;
/// Fraction of the successes that is reported to other servers if the last call failed: earlier successes then say
/// little about the current state.
const OUTDATED_SUCCESS_FRACTION: f64 = 0.3;

/// The evidence for and against a backend. `Display` writes it as it appears in the log.
#[derive(Clone, Debug, PartialEq)]
pub struct OutlierEvidence {
    /// Recent successes that this server saw; 0 for a slow backend.
    pub successes: f64,
    /// Recent failures that this server saw, including overdue attempts.
    pub failures: f64,
    /// Number of attempts in flight that are overdue.
    pub overdue: usize,
    /// The latency of the backend in multiples of the typical latency of its group, if the backend is slow.
    pub slowdown: Option<f64>,
    /// Weight of the reports of other servers, expressed as a number of failures seen by this server itself.
    pub reported_failures: f64,
    /// Number of zones whose servers report against the backend.
    pub reporting_zones: usize,
    /// Number of other servers whose reports count.
    pub witnesses: usize,
}

impl OutlierEvidence {
    /// Derives the evidence from a backend's results and the reports on it. `slowdown` is its latency in multiples of
    /// the typical one, if it is slow.
    pub(crate) fn new(
        results: CallCounts,
        overdue: usize,
        slowdown: Option<f64>,
        reports: &ReportSummary,
    ) -> OutlierEvidence {
        let mut successes = results.successes;
        let mut failures = results.failures + overdue as f64;
        if slowdown.is_some() {
            // The successes of a slow backend do not count in its favour.
            successes = 0.0;
            failures = failures.max(SLOW_BACKEND_FAILURES);
        }
        let overrules_reports = slowdown.is_none()
            && successes >= OVERRULING_SUCCESSES
            && failures < MAX_OVERRULING_FAILURES;
        OutlierEvidence {
            successes,
            failures,
            overdue,
            slowdown,
            reported_failures: if overrules_reports {
                0.0
            } else {
                reports.failures
            },
            reporting_zones: reports.zones_against,
            witnesses: reports.witnesses,
        }
    }

    /// Returns the suspicion that the backend is faulty, 0 to 1.
    pub fn suspicion(&self) -> f64 {
        let failures = self.failures + self.reported_failures;
        failures / (self.successes + failures + ASSUMED_CALLS)
    }

    /// Reports whether the evidence is sufficient to eject the backend.
    pub fn is_outlier(&self) -> bool {
        self.suspicion() >= SUSPICION_THRESHOLD && self.failures >= self.failures_needed()
    }

    /// Returns the suspicion that the backend is faulty by this server's own results alone, 0 to 1.
    pub(crate) fn own_suspicion(&self) -> f64 {
        self.failures / (self.successes + self.failures + ASSUMED_CALLS_OWN)
    }

    /// Returns what this server reports about these results to other servers.
    pub(crate) fn reported_results(&self, last_call_failed: bool) -> CallCounts {
        let successes = if last_call_failed {
            self.successes * OUTDATED_SUCCESS_FRACTION
        } else {
            self.successes
        };
        CallCounts {
            successes,
            failures: self.failures,
        }
    }

    fn failures_needed(&self) -> f64 {
        if self.reported_failures >= DECISIVE_REPORTED_FAILURES
            && self.reporting_zones >= DECISIVE_ZONES
        {
            0.0
        } else if self.reported_failures >= CONFIRMING_REPORTED_FAILURES {
            MIN_FAILURES_CONFIRMED
        } else {
            MIN_FAILURES_UNCONFIRMED
        }
    }
}

/// Writes the values of a log line. Values without information are omitted: overdue attempts and slowdown if there are
/// none, and the reports of others if there is no witness.
impl fmt::Display for OutlierEvidence {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (failures, successes) = (self.failures, self.successes);
        write!(f, "failures={failures:.1}, successes={successes:.1}")?;
        if self.overdue > 0 {
            write!(f, ", overdue={}", self.overdue)?;
        }
        if let Some(factor) = self.slowdown {
            write!(f, ", slowdown={factor:.0}")?;
        }
        write!(f, ", witnesses={}", self.witnesses)?;
        if self.witnesses > 0 {
            let (failures, zones) = (self.reported_failures, self.reporting_zones);
            write!(f, ", reported_failures={failures:.1}, zones={zones}")?;
        }
        Ok(())
    }
}

/// Returns the time in flight after which an attempt counts as a failure, derived from the typical latency of the
/// group.
pub(crate) fn overdue_time(typical_latency_seconds: Option<f64>) -> Duration {
    typical_latency_seconds.map_or(MIN_OVERDUE_TIME, |seconds| {
        Duration::from_secs_f64(seconds * OVERDUE_LATENCY_FACTOR).max(MIN_OVERDUE_TIME)
    })
}

/// Reports whether a call was slow compared with the typical latency of the group.
pub(crate) fn is_slow_call(latency: Duration, typical_latency_seconds: Option<f64>) -> bool {
    typical_latency_seconds
        .is_some_and(|typical| latency.as_secs_f64() > SLOW_LATENCY_FACTOR * typical)
}

/// Returns the factor by which a backend is slower than its group, or `None` if it is not slow.
pub(crate) fn slowdown(
    own_latency_seconds: Option<f64>,
    typical_latency_seconds: Option<f64>,
) -> Option<f64> {
    match (own_latency_seconds, typical_latency_seconds) {
        (Some(own), Some(typical)) if own > SLOW_LATENCY_FACTOR * typical => Some(own / typical),
        _ => None,
    }
}

/// Adjusts an outcome by the time waited for it: a timeout after a short wait says nothing about the backend and
/// becomes a cancellation, and a cancellation after a long wait shows that no reply came and becomes a timeout.
pub(crate) fn outcome_after_wait(
    outcome: AttemptOutcome,
    waited: Duration,
    typical_latency_seconds: Option<f64>,
) -> AttemptOutcome {
    let overdue = overdue_time(typical_latency_seconds);
    match outcome {
        AttemptOutcome::TimedOut if waited < overdue.mul_f64(MIN_WAIT_FRACTION) => {
            AttemptOutcome::Cancelled
        }
        AttemptOutcome::Cancelled if waited > overdue => AttemptOutcome::TimedOut,
        outcome => outcome,
    }
}
