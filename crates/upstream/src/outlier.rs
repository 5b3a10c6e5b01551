//! Outlier detection: when a backend is so much worse than expected that it is ejected.
//!
//! The rule is one of evidence: the recent results that this server saw itself, and what other servers report. The
//! fewer servers report on a backend, the more failures of its own a server needs. This module holds the rule; results
//! are collected by [`CallHistory`], reports by [`crate::gossip`], and ejections are made by the backend's group.

pub(crate) mod call_history;

pub(crate) use call_history::CallHistory;

use crate::attempt::AttemptOutcome;
use crate::call_counts::CallCounts;
use crate::gossip::reports::ReportSummary;
use madderbay::time::Duration;
use std::fmt;

/// An attempt is overdue after so many times the typical latency of the group.
const OVERDUE_LATENCY_FACTOR: f64 = 8.0;
/// An attempt is never overdue before this time.
const MIN_OVERDUE_TIME: Duration = Duration::from_millis(250);
/// An attempt that was given up before this fraction of the overdue time shows nothing.
const MIN_WAIT_FRACTION: f64 = 0.3;
/// A call, or the mean of a backend's calls, is slow from so many times the typical latency of the group.
const SLOW_LATENCY_FACTOR: f64 = 4.0;
/// Lower bound on the failures of a slow backend.
const SLOW_BACKEND_FAILURES: f64 = 3.0;
/// Suspicion from which a backend may be ejected, 0 to 1.
const SUSPICION_THRESHOLD: f64 = 0.6;
/// Calls of unknown result that suspicion assumes, so that a single failure does not decide.
const ASSUMED_CALLS: f64 = 0.5;
/// The same where only this server's own results count.
const ASSUMED_CALLS_OWN: f64 = 1.0;
/// Own failures needed for an ejection without confirming reports.
const MIN_FAILURES_UNCONFIRMED: f64 = 2.5;
/// Own failures needed for an ejection with confirming reports.
const MIN_FAILURES_CONFIRMED: f64 = 0.7;
/// Reported failures that confirm a failure of one's own.
const CONFIRMING_REPORTED_FAILURES: f64 = 0.9;
/// Reported failures that decide without any failure of one's own, where enough zones agree.
const DECISIVE_REPORTED_FAILURES: f64 = 3.0;
/// Zones that have to agree for that.
const DECISIVE_ZONES: usize = 2;
/// Own recent successes that overrule all reports, where there are hardly any failures.
const OVERRULING_SUCCESSES: f64 = 2.0;
/// Own failures from which successes no longer overrule the reports.
const MAX_OVERRULING_FAILURES: f64 = 0.5;
/// Fraction of the successes that is reported to others when the last call failed: they show little of the present.
const OUTDATED_SUCCESS_FRACTION: f64 = 0.3;

/// What a judgement of a backend rests on. `Display` gives it in the words of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct OutlierEvidence {
    /// Recent successes that this server saw.
    pub successes: f64,
    /// Recent failures that this server saw, overdue attempts among them.
    pub failures: f64,
    /// Attempts in flight that are overdue.
    pub overdue: usize,
    /// Where the backend is slow: its latency in multiples of the typical latency of its group.
    pub slowdown: Option<f64>,
    /// What the reports of other servers weigh, in failures of this server's own.
    pub reported_failures: f64,
    /// Zones whose servers report against the backend.
    pub reporting_zones: usize,
    /// Other servers whose reports count.
    pub witnesses: usize,
}

impl OutlierEvidence {
    /// Evidence from a backend's own results and the reports on it. `slowdown` is its latency in multiples of the
    /// typical one, where it is slow.
    pub(crate) fn new(
        results: CallCounts,
        overdue: usize,
        slowdown: Option<f64>,
        reports: &ReportSummary,
    ) -> OutlierEvidence {
        let mut successes = results.successes;
        let mut failures = results.failures + overdue as f64;
        if slowdown.is_some() {
            // The successes of a slow backend do not speak for it.
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

    /// How likely the backend is faulty, 0 to 1.
    pub fn suspicion(&self) -> f64 {
        let failures = self.failures + self.reported_failures;
        failures / (self.successes + failures + ASSUMED_CALLS)
    }

    /// Whether the evidence is enough to eject the backend.
    pub fn is_outlier(&self) -> bool {
        self.suspicion() >= SUSPICION_THRESHOLD && self.failures >= self.failures_needed()
    }

    /// How likely the backend is faulty by this server's own results alone, 0 to 1.
    pub(crate) fn own_suspicion(&self) -> f64 {
        self.failures / (self.successes + self.failures + ASSUMED_CALLS_OWN)
    }

    /// What is reported to other servers of these results.
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

/// Values of a log line. What shows nothing is left out: overdue attempts and slowdown where there are none, and the
/// reports of others without a witness.
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

/// How long an attempt may be in flight until it counts as a failure, by the typical latency of the group.
pub(crate) fn overdue_time(typical_latency_seconds: Option<f64>) -> Duration {
    typical_latency_seconds.map_or(MIN_OVERDUE_TIME, |seconds| {
        Duration::from_secs_f64(seconds * OVERDUE_LATENCY_FACTOR).max(MIN_OVERDUE_TIME)
    })
}

/// Whether one call was slow beside the typical latency of the group.
pub(crate) fn is_slow_call(latency: Duration, typical_latency_seconds: Option<f64>) -> bool {
    typical_latency_seconds
        .is_some_and(|typical| latency.as_secs_f64() > SLOW_LATENCY_FACTOR * typical)
}

/// By what factor a backend is slower than its group, where it is slow.
pub(crate) fn slowdown(
    own_latency_seconds: Option<f64>,
    typical_latency_seconds: Option<f64>,
) -> Option<f64> {
    match (own_latency_seconds, typical_latency_seconds) {
        (Some(own), Some(typical)) if own > SLOW_LATENCY_FACTOR * typical => Some(own / typical),
        _ => None,
    }
}

/// What an outcome shows, given the wait for it: a timeout after a short wait shows nothing, and a cancellation after a
/// long one shows that no reply came.
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
