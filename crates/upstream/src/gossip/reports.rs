//! The reports of other servers on backends, and what they weigh together.
//!
//! A witness reports only what it saw itself, so that no report comes back as a confirmation of itself. A witness that
//! finds most backends faulty is not credible. The witnesses of one zone weigh little more than one of them, since they
//! may share a broken link. Reports lose their weight with age. [`ReceivedReports`] owns the reports; it never judges a
//! backend.

use compact_str::CompactString;
use madderbay::time::{Duration, Timestamp};
use std::collections::{BTreeMap, HashMap};

/// Age at which a report has lost all its weight; it falls linearly until then.
const MAX_REPORT_AGE: Duration = Duration::from_millis(5_000);
/// Witnesses stored for one backend: the latest.
const MAX_WITNESSES: usize = 64;
/// Upper bound on the weight of a zone's reports, in failures.
const MAX_ZONE_FAILURES: f64 = 2.0;
/// Fraction of what is missing to that bound which is still missing after one more witness: a single one weighs half
/// of it, each further one half of the rest.
const REMAINDER_PER_WITNESS: f64 = 0.5;
/// Upper bound on the weight of all zones, in failures.
const MAX_REPORTED_FAILURES: f64 = 4.0;
/// A zone reports against a backend from this fraction of its reports on.
const MIN_ZONE_FRACTION: f64 = 0.5;
/// A zone reports against a backend from this weight of its reports on, in failures.
const MIN_ZONE_FAILURES: f64 = 0.9 * 0.5;
/// How strongly reports reduce the weight of a backend, by the square of what they weigh in failures.
const WEIGHT_REDUCTION: f64 = 2.0;
/// Calls of unknown result that are assumed beside those that a witness reports.
const ASSUMED_CALLS: f64 = 0.5;
/// Successes from which a witness saw a backend healthy, where it reports hardly any failures.
const MIN_HEALTHY_SUCCESSES: f64 = 0.9;
/// Failures from which a witness did not see a backend healthy.
const MAX_HEALTHY_FAILURES: f64 = 0.3;
/// A backend counts as seen healthy only while reports against it weigh less than this, in failures.
const MAX_FAILURES_IF_HEALTHY: f64 = 0.4;

/// Who reports.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Witness<'a> {
    pub(crate) name: &'a CompactString,
    pub(crate) zone: &'a CompactString,
    pub(crate) incarnation: u64,
    /// Whether its reports count; others are stored, so that they replace older ones.
    pub(crate) credible: bool,
}

/// What a witness saw of one backend, in calls, and how long ago.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Observation {
    pub(crate) name_hash: u32,
    pub(crate) successes: f64,
    pub(crate) failures: f64,
    pub(crate) age: Duration,
}

/// A stored report.
#[derive(Clone, Debug)]
struct Report {
    zone: CompactString,
    incarnation: u64,
    successes: f64,
    failures: f64,
    observed_at: Timestamp,
    credible: bool,
}

impl Report {
    /// The weight that is left at its age, 0 to 1.
    fn weight(&self, now: Timestamp) -> f64 {
        let age = (now - self.observed_at).as_secs_f64();
        1.0 - (age / MAX_REPORT_AGE.as_secs_f64()).min(1.0)
    }

    fn is_current(&self, now: Timestamp) -> bool {
        now - self.observed_at < MAX_REPORT_AGE
    }

    fn shows_healthy(&self) -> bool {
        self.successes >= MIN_HEALTHY_SUCCESSES && self.failures < MAX_HEALTHY_FAILURES
    }

    /// Whether it was made before a report of this incarnation at this time.
    fn is_later_than(&self, incarnation: u64, observed_at: Timestamp) -> bool {
        self.incarnation > incarnation
            || self.incarnation == incarnation && self.observed_at > observed_at
    }
}

/// What the reports on one backend weigh together.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ReportSummary {
    /// The weight of the reports against it, in failures of this server's own.
    pub(crate) failures: f64,
    /// Zones that report against it.
    pub(crate) zones_against: usize,
    /// Witnesses whose reports count.
    pub(crate) witnesses: usize,
    /// When a witness last saw it healthy, where hardly any report speaks against it.
    pub(crate) seen_healthy_at: Option<Timestamp>,
}

impl ReportSummary {
    /// The fraction of a backend's weight that the reports leave, 0 to 1.
    pub(crate) fn weight_fraction(&self) -> f64 {
        1.0 / (1.0 + WEIGHT_REDUCTION * self.failures * self.failures)
    }
}

/// The weights of one zone's reports.
#[derive(Default)]
struct ZoneTally {
    against: f64,
    in_favour: f64,
}

impl ZoneTally {
    fn add(&mut self, report: &Report, weight: f64) {
        let calls = report.successes + report.failures + ASSUMED_CALLS;
        self.against += weight * (report.failures / calls);
        self.in_favour += weight * (report.successes / calls);
    }

    /// The fraction of the reports that is against the backend.
    fn fraction_against(&self) -> f64 {
        self.against / (self.against + self.in_favour).max(1e-9)
    }

    /// What the zone's reports weigh, in failures.
    fn failures(&self) -> f64 {
        MAX_ZONE_FAILURES
            * (1.0 - REMAINDER_PER_WITNESS.powf(self.against))
            * self.fraction_against()
    }

    fn is_against(&self) -> bool {
        self.fraction_against() >= MIN_ZONE_FRACTION && self.failures() >= MIN_ZONE_FAILURES
    }
}

/// The reports of other servers, by the hash of the backend's name and the witness.
#[derive(Default)]
pub(crate) struct ReceivedReports {
    reports: HashMap<u32, BTreeMap<CompactString, Report>>,
}

impl ReceivedReports {
    /// Stores a report in place of the older one of the same witness.
    pub(crate) fn record(&mut self, now: Timestamp, witness: Witness, seen: Observation) {
        let reports = self.reports.entry(seen.name_hash).or_default();
        let observed_at = now.saturating_sub(seen.age);
        if !evict_oldest_if_full(witness.name, observed_at, reports) {
            return;
        }
        let is_outdated = reports
            .get(witness.name)
            .is_some_and(|stored| stored.is_later_than(witness.incarnation, observed_at));
        if !is_outdated {
            let report = Report {
                zone: witness.zone.clone(),
                incarnation: witness.incarnation,
                successes: seen.successes,
                failures: seen.failures,
                observed_at,
                credible: witness.credible,
            };
            reports.insert(witness.name.clone(), report);
        }
    }

    /// Drops the reports of a server, but for those of its present incarnation, if it has one.
    pub(crate) fn retain_incarnation(&mut self, name: &CompactString, incarnation: Option<u64>) {
        for reports in self.reports.values_mut() {
            if reports
                .get(name)
                .is_some_and(|stored| Some(stored.incarnation) != incarnation)
            {
                reports.remove(name);
            }
        }
    }

    /// Drops the reports that are too old, and those on backends that are not known.
    pub(crate) fn prune(&mut self, now: Timestamp, is_known: impl Fn(u32) -> bool) {
        self.reports.retain(|name_hash, reports| {
            reports.retain(|_, report| report.is_current(now));
            !reports.is_empty() && is_known(*name_hash)
        });
    }

    /// What the reports on one backend weigh now.
    pub(crate) fn summary(&self, now: Timestamp, name_hash: u32) -> ReportSummary {
        let Some(reports) = self.reports.get(&name_hash) else {
            return ReportSummary::default();
        };
        let mut zones: BTreeMap<&CompactString, ZoneTally> = BTreeMap::new();
        let mut summary = ReportSummary::default();
        for report in reports
            .values()
            .filter(|report| report.credible && report.is_current(now))
        {
            zones
                .entry(&report.zone)
                .or_default()
                .add(report, report.weight(now));
            summary.witnesses += 1;
            if report.shows_healthy() {
                summary.seen_healthy_at = summary.seen_healthy_at.max(Some(report.observed_at));
            }
        }
        for zone in zones.into_values() {
            summary.failures += zone.failures();
            summary.zones_against += usize::from(zone.is_against());
        }
        summary.failures = summary.failures.min(MAX_REPORTED_FAILURES);
        // While others still report against it, a witness that saw it healthy may have been lucky.
        let is_undisputed = summary.failures < MAX_FAILURES_IF_HEALTHY;
        summary.seen_healthy_at = summary.seen_healthy_at.filter(|_| is_undisputed);
        summary
    }

    /// Reports stored, on all backends.
    pub(crate) fn len(&self) -> usize {
        self.reports.values().map(BTreeMap::len).sum()
    }
}

/// Drops the oldest report where there are too many for one of a further witness. False where the new report itself is
/// no later than that one.
fn evict_oldest_if_full(
    name: &CompactString,
    observed_at: Timestamp,
    reports: &mut BTreeMap<CompactString, Report>,
) -> bool {
    if reports.len() < MAX_WITNESSES || reports.contains_key(name) {
        return true;
    }
    let oldest = reports.iter().min_by_key(|(_, report)| report.observed_at);
    let Some((name, report)) = oldest.map(|(name, report)| (name.clone(), report)) else {
        return false;
    };
    let replaces = report.observed_at < observed_at;
    if replaces {
        reports.remove(&name);
    }
    replaces
}

#[cfg(test)]
mod tests;
