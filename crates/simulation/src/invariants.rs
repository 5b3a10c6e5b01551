//! The invariants that must hold in every simulation, whatever faults are injected, and their checks.

use crate::clock;
use crate::ids::ServerId;
use crate::workload::Handler;
use madderbay::time::{Duration, Timestamp};
use serde::{Serialize, Serializer};
use std::collections::BTreeMap;
use std::fmt;

/// Violations beyond this number are not recorded.
const MAX_VIOLATIONS: usize = 100;
/// The time after the last fault within which all running servers must come to hold one view.
const MAX_CONVERGENCE_TIME: Duration = Duration::from_millis(14_000);
/// The highest ratio of retries to first attempts, including the retries that are saved up at the start.
const MAX_RETRY_RATIO: f64 = 0.12;
/// The ratio of retries is checked only above this number of first attempts, because it says nothing with fewer.
const MIN_FIRST_ATTEMPTS: u64 = 500;
/// The number of members that a view may hold in addition to the servers that exist.
const MAX_EXTRA_MEMBERS: usize = 1;

/// A rule that no simulation may violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// Each request gets exactly one answer, in time, unless its server was stopped or killed.
    OneAnswerPerRequest,
    /// A request with an idempotency key runs once, calls upstream once, and is not rejected after it has started.
    NoDuplicateEffects,
    /// The fleet never has more upstream calls in flight than its quota.
    QuotaNeverExceeded,
    /// Retries stay within a tenth of first attempts.
    BoundedRetries,
    /// Some time after the last fault, all running servers hold one view.
    ViewsConverge,
    /// A server never holds more members than there are servers, plus one.
    BoundedMemberTables,
}

impl Invariant {
    /// All invariants.
    pub const ALL: [Invariant; 6] = [
        Invariant::OneAnswerPerRequest,
        Invariant::NoDuplicateEffects,
        Invariant::QuotaNeverExceeded,
        Invariant::BoundedRetries,
        Invariant::ViewsConverge,
        Invariant::BoundedMemberTables,
    ];

    /// Returns the name of the invariant in reports.
    pub fn rule(self) -> &'static str {
        match self {
            Invariant::OneAnswerPerRequest => "one answer each",
            Invariant::NoDuplicateEffects => "no effect twice",
            Invariant::QuotaNeverExceeded => "a budget is never passed",
            Invariant::BoundedRetries => "repeats within a tenth",
            Invariant::ViewsConverge => "settles",
            Invariant::BoundedMemberTables => "tables are bounded",
        }
    }
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.rule())
    }
}

impl Serialize for Invariant {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.rule())
    }
}

/// A violation of an invariant.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Violation {
    /// Milliseconds since the start.
    pub at_ms: u64,
    /// The invariant that was violated.
    #[serde(rename = "rule")]
    pub invariant: Invariant,
    /// Where and how it was violated, in one line.
    #[serde(rename = "what")]
    pub detail: String,
}

/// The violations that were found, and the counts over the whole fleet that the checks need.
#[derive(Default)]
pub(crate) struct InvariantChecker {
    violations: Vec<Violation>,
    engine_runs: BTreeMap<String, u32>,
    first_attempts: u64,
    retries: u64,
}

impl InvariantChecker {
    fn record(&mut self, now: Timestamp, invariant: Invariant, detail: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(Violation {
                at_ms: (now - clock::start()).as_millis(),
                invariant,
                detail,
            });
        }
    }

    /// Records an answer that no client is waiting for.
    pub(crate) fn record_unexpected_answer(
        &mut self,
        now: Timestamp,
        server: ServerId,
        line: &str,
    ) {
        let detail = format!("{server}: answer to no pending request, or a second answer: {line}");
        self.record(now, Invariant::OneAnswerPerRequest, detail);
    }

    /// Records that a request was not answered in time.
    pub(crate) fn record_missing_answer(
        &mut self,
        now: Timestamp,
        server: ServerId,
        handler: Handler,
        reference: &str,
    ) {
        let handler = handler.name();
        let detail = format!("{server}: {handler} {reference} got no answer");
        self.record(now, Invariant::OneAnswerPerRequest, detail);
    }

    /// Records that a request with an idempotency key was rejected after it had started.
    pub(crate) fn record_rejection_after_start(
        &mut self,
        now: Timestamp,
        server: ServerId,
        reference: &str,
    ) {
        let detail = format!("{server}: {reference} was rejected after it had started");
        self.record(now, Invariant::NoDuplicateEffects, detail);
    }

    /// Counts the runs that an engine starts for a request. A second run of a request with an idempotency key is a
    /// violation.
    pub(crate) fn count_engine_runs(
        &mut self,
        now: Timestamp,
        server: ServerId,
        handler: Handler,
        reference: &str,
        runs: u32,
    ) {
        let total = self.engine_runs.entry(reference.into()).or_default();
        *total += runs;
        if *total > 1 && handler.has_idempotency_key() {
            let detail = format!("{server}: {reference} ran twice");
            self.record(now, Invariant::NoDuplicateEffects, detail);
        }
    }

    /// Checks that the upstream calls that the fleet has in flight are within the quota.
    pub(crate) fn check_quota(&mut self, now: Timestamp, calls_in_flight: u32, quota: u32) {
        if calls_in_flight > quota {
            let detail =
                format!("{calls_in_flight} upstream calls in flight exceed the quota of {quota}");
            self.record(now, Invariant::QuotaNeverExceeded, detail);
        }
    }

    /// Checks that a server's view does not hold too many members.
    pub(crate) fn check_member_table(
        &mut self,
        now: Timestamp,
        server: ServerId,
        members: usize,
        servers: usize,
    ) {
        if members > servers + MAX_EXTRA_MEMBERS {
            let detail = format!("{server} holds {members} members");
            self.record(now, Invariant::BoundedMemberTables, detail);
        }
    }

    /// Records that the views still differ at the end, unless the last fault is too recent for them to converge.
    pub(crate) fn check_divergence(&mut self, now: Timestamp, since_last_fault: Duration) {
        if since_last_fault > MAX_CONVERGENCE_TIME {
            let seconds = since_last_fault.as_secs_f64();
            let detail = format!("views differ {seconds:.1} s after the last fault");
            self.record(now, Invariant::ViewsConverge, detail);
        }
    }

    /// Checks that each request with an idempotency key was called at most once. `calls` has the completed calls of
    /// each such request, across all backends.
    pub(crate) fn check_keyed_calls(&mut self, now: Timestamp, calls: &BTreeMap<&str, u32>) {
        for (reference, count) in calls.iter().filter(|(_, count)| **count > 1) {
            let detail = format!("{reference} called {count} times");
            self.record(now, Invariant::NoDuplicateEffects, detail);
        }
    }

    /// Adds the upstream attempts of one incarnation of a server.
    pub(crate) fn count_attempts(&mut self, first_attempts: u64, retries: u64) {
        self.first_attempts += first_attempts;
        self.retries += retries;
    }

    /// Checks the retries of the whole simulation, and returns the number of calls per first attempt.
    pub(crate) fn check_retries(&mut self, now: Timestamp) -> f64 {
        let ratio = 1.0 + self.retries as f64 / self.first_attempts.max(1) as f64;
        if ratio > 1.0 + MAX_RETRY_RATIO && self.first_attempts > MIN_FIRST_ATTEMPTS {
            let detail = format!("{ratio:.3} upstream calls per first attempt");
            self.record(now, Invariant::BoundedRetries, detail);
        }
        ratio
    }

    /// Ends the checks and returns the violations.
    pub(crate) fn into_violations(self) -> Vec<Violation> {
        self.violations
    }
}
