//! The reports of other servers on backends, and their combined weight.
//!
//! A witness is a server that reports on a backend. It reports only its own observations, so that no report comes back
//! as a confirmation of itself. A witness that finds most backends faulty is not credible. Several witnesses of one
//! zone have little more weight than one of them, because they may share a broken link. Reports lose weight with age.
//! [`ReceivedReports`] stores the reports; it does not judge backends.

use compact_str::CompactString;
use madderbay::time::{Duration, Timestamp};
use std::collections::{BTreeMap, HashMap};

/// Age at which a report has no weight left. The weight falls linearly until then.
const MAX_REPORT_AGE: Duration = Duration::from_millis(5_000);
/// Upper bound on the witnesses whose reports on one backend are stored. The latest reports are kept.
const MAX_WITNESSES: usize = 64;
/// Upper bound on the weight of one zone's reports, in failures.
const MAX_ZONE_FAILURES: f64 = 2.0;
/// Each witness of a zone reduces the distance between the zone's weight and [`MAX_ZONE_FAILURES`] to this fraction:
/// one witness gives half of the bound, and each further one adds half of the rest.
const REMAINDER_PER_WITNESS: f64 = 0.5;
/// Upper bound on the weight of the reports of all zones, in failures.
const MAX_REPORTED_FAILURES: f64 = 4.0;
/// Minimum fraction of a zone's reports that are against a backend for the zone to count as reporting against it.
const MIN_ZONE_FRACTION: f64 = 0.5;
/// Minimum weight of a zone's reports, in failures, for the zone to count as reporting against a backend.
const MIN_ZONE_FAILURES: f64 = 0.9 * 0.5;
/// How strongly reports reduce the weight of a backend in selection: the factor of the square of their weight in
/// failures.
const WEIGHT_REDUCTION: f64 = 2.0;
/// Number of calls with unknown results that is added to the calls a witness reports.
const ASSUMED_CALLS: f64 = 0.5;
/// Minimum number of successes for a report to show the backend as healthy.
const MIN_HEALTHY_SUCCESSES: f64 = 0.9;
/// Number of failures from which a report no longer shows the backend as healthy.
const MAX_HEALTHY_FAILURES: f64 = 0.3;
/// A backend counts as seen healthy only while the weight of the reports against it is below this, in failures.
const MAX_FAILURES_IF_HEALTHY: f64 = 0.4;

/// The server that sent a report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Witness<'a> {
    pub(crate) name: &'a CompactString,
    pub(crate) zone: &'a CompactString,
    pub(crate) incarnation: u64,
    /// Whether its reports count. Reports that do not count are stored too, so that they replace older ones.
    pub(crate) credible: bool,
}

/// What a witness observed of one backend, in calls, and how long ago.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Observation {
    pub(crate) name_hash: u32,
    pub(crate) successes: f64,
    pub(crate) failures: f64,
    pub(crate) age: Duration,
}

/// A stored report of one witness on one backend.
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
    /// Returns the weight that the report has at its age, 0 to 1.
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

/// The combined weight of the reports on one backend.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ReportSummary {
    /// Weight of the reports against the backend, expressed as a number of failures seen by this server itself.
    pub(crate) failures: f64,
    /// Number of zones that report against the backend.
    pub(crate) zones_against: usize,
    /// Number of witnesses whose reports count.
    pub(crate) witnesses: usize,
    /// When a witness last saw the backend healthy. `None` if none did, or if the reports against it have too much
    /// weight.
    pub(crate) seen_healthy_at: Option<Timestamp>,
}

impl ReportSummary {
    /// Returns the fraction of its weight in selection that the reports leave a backend, 0 to 1.
    pub(crate) fn weight_fraction(&self) -> f64 {
        1.0 / (1.0 + WEIGHT_REDUCTION * self.failures * self.failures)
    }
}

/// The combined weight of one zone's reports.
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

    /// Returns the fraction of the reports that are against the backend, by weight.
    fn fraction_against(&self) -> f64 {
        self.against / (self.against + self.in_favour).max(1e-9)
    }

    /// Returns the weight of the zone's reports against the backend, in failures.
    fn failures(&self) -> f64 {
        MAX_ZONE_FAILURES
            * (1.0 - REMAINDER_PER_WITNESS.powf(self.against))
            * self.fraction_against()
    }

    fn is_against(&self) -> bool {
        self.fraction_against() >= MIN_ZONE_FRACTION && self.failures() >= MIN_ZONE_FAILURES
    }
}

/// The reports of other servers, by the hash of the backend's name and the name of the witness.
#[derive(Default)]
pub(crate) struct ReceivedReports {
    reports: HashMap<u32, BTreeMap<CompactString, Report>>,
}

impl ReceivedReports {
    /// Stores a report in place of an older one of the same witness.
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

    /// Drops the reports of a server, except those of its current incarnation, if it has one.
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

    /// Returns the combined weight of the reports on one backend at `now`.
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
        // While other servers still report against the backend, a witness that saw it healthy may have been lucky.
        let is_undisputed = summary.failures < MAX_FAILURES_IF_HEALTHY;
        summary.seen_healthy_at = summary.seen_healthy_at.filter(|_| is_undisputed);
        summary
    }

    /// Returns the number of reports stored, over all backends.
    pub(crate) fn len(&self) -> usize {
        self.reports.values().map(BTreeMap::len).sum()
    }
}

/// Drops the oldest report if there is no room for the report of another witness. Returns `false` if the new report is
/// no later than the oldest one and is to be discarded instead.
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
