//! One backend as this server sees it: its state, its results and its attempts in flight.
//!
//! [`Backend`] owns the transitions between the states; when to eject it is decided by its group.

use crate::attempt::AttemptOutcome;
use crate::backend_state::BackendState;
use crate::call_counts::CallCounts;
use crate::events::BackendEvent;
use crate::gossip::LocalObservation;
use crate::gossip::codec::name_hash;
use crate::gossip::reports::ReportSummary;
use crate::jitter;
use crate::outlier::{self, CallHistory, OutlierEvidence};
use crate::settings::BackendSettings;
use crate::slow_start;
use crate::status::BackendStatus;
use compact_str::CompactString;
use madderbay::time::{Duration, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The first ejection takes this long, each further one twice as long as the one before. Each is spread at random, so
/// that servers that ejected together do not return together.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(2_000);
/// Upper bound on an ejection before it is spread.
const MAX_EJECTION_TIME: Duration = Duration::from_millis(60_000);
/// Bound on the ejections that count, so that doubling cannot overflow.
const MAX_COUNTED_EJECTIONS: u32 = 16;
/// One ejection is forgotten for each such time without another.
const EJECTION_COUNT_DECAY_INTERVAL: Duration = Duration::from_millis(30_000);
/// Successful probes in a row that end the ejection.
const PROBES_TO_RETURN: u32 = 2;
/// Time from the end of a probe until the next one may be sent.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Attempts in flight that are followed at one backend; a server runs fewer calls.
const MAX_TRACKED_ATTEMPTS: usize = 100_000;

/// What the end of an attempt changed.
pub(crate) enum RecordEffect {
    /// The attempt shows nothing of the present state.
    Ignored,
    /// The outcome was counted.
    Counted,
    /// A probe ended, perhaps with a change of state.
    ProbeEnded(Option<BackendEvent>),
}

/// A backend.
pub(crate) struct Backend {
    settings: BackendSettings,
    name_hash: u32,
    state: BackendState,
    /// When the state began, or when an ejection was last forgotten in it.
    state_since: Timestamp,
    /// When the ejection ends, or the next probe may be made.
    next_transition: Timestamp,
    /// Ejections that are not forgotten.
    ejections: u32,
    /// Random number drawn at the last ejection: the backend's place in a staggered return.
    return_jitter: f64,
    successful_probes: u32,
    history: CallHistory,
    /// When each attempt in flight was made, by its id.
    in_flight: BTreeMap<u64, Timestamp>,
    reports: ReportSummary,
    /// Results to report to others, as of the last evaluation.
    reported_results: CallCounts,
    /// No longer configured; its slot is free once nothing is in flight.
    removed: bool,
}

impl Backend {
    /// A backend without any results.
    pub(crate) fn new(now: Timestamp, settings: BackendSettings, state: BackendState) -> Backend {
        Backend {
            name_hash: name_hash(&settings.name),
            settings,
            state,
            state_since: now,
            next_transition: now,
            ejections: 0,
            return_jitter: 0.0,
            successful_probes: 0,
            history: CallHistory::default(),
            in_flight: BTreeMap::new(),
            reports: ReportSummary::default(),
            reported_results: CallCounts::default(),
            removed: false,
        }
    }

    // --- configuration

    pub(crate) fn settings(&self) -> &BackendSettings {
        &self.settings
    }

    pub(crate) fn set_settings(&mut self, settings: BackendSettings) {
        self.settings = settings;
    }

    pub(crate) fn name(&self) -> CompactString {
        self.settings.name.clone()
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.settings.address
    }

    pub(crate) fn name_hash(&self) -> u32 {
        self.name_hash
    }

    pub(crate) fn is_removed(&self) -> bool {
        self.removed
    }

    /// Marks it as no longer configured. Its attempts in flight go on.
    pub(crate) fn remove(&mut self) {
        self.removed = true;
    }

    /// Whether another backend may take its slot.
    pub(crate) fn is_replaceable(&self) -> bool {
        self.removed && self.in_flight.is_empty()
    }

    // --- attempts

    /// Follows an attempt that is made now.
    pub(crate) fn begin_attempt(&mut self, now: Timestamp, id: u64) {
        if self.in_flight.len() < MAX_TRACKED_ATTEMPTS {
            self.in_flight.insert(id, now);
        }
    }

    /// Ends an attempt. False where it is not followed, or ended before.
    pub(crate) fn end_attempt(&mut self, id: u64) -> bool {
        self.in_flight.remove(&id).is_some()
    }

    /// Counts the outcome of an attempt; `slow` where it took far longer than is typical. `random` draws a number from
    /// 0 to 1; it is called for a probe only.
    pub(crate) fn record(
        &mut self,
        now: Timestamp,
        started_at: Timestamp,
        outcome: AttemptOutcome,
        slow: bool,
        random: impl FnOnce() -> f64,
    ) -> RecordEffect {
        // What began before the ejection shows nothing of the present.
        let is_outdated = self.state == BackendState::Probing && started_at < self.state_since;
        if self.state == BackendState::Ejected || is_outdated {
            return RecordEffect::Ignored;
        }
        self.history.record(now, outcome, now - started_at, slow);
        if self.state != BackendState::Probing {
            return RecordEffect::Counted;
        }
        self.record_probe(now, outcome, slow, random());
        RecordEffect::ProbeEnded(self.state_change_from(BackendState::Probing))
    }

    fn record_probe(&mut self, now: Timestamp, outcome: AttemptOutcome, slow: bool, random: f64) {
        self.next_transition = now + PROBE_INTERVAL;
        match outcome {
            AttemptOutcome::Success if !slow => {
                self.successful_probes += 1;
                if self.successful_probes >= PROBES_TO_RETURN {
                    self.enter(BackendState::SlowStart, now);
                }
            }
            AttemptOutcome::Rejected | AttemptOutcome::NotRun | AttemptOutcome::Cancelled => {}
            _ => self.eject(now, random),
        }
    }

    // --- state

    pub(crate) fn state(&self) -> BackendState {
        self.state
    }

    fn enter(&mut self, state: BackendState, now: Timestamp) {
        self.state = state;
        self.state_since = now;
    }

    /// The event of a change from a former state, where it is another one now.
    fn state_change_from(&self, from: BackendState) -> Option<BackendEvent> {
        (self.state != from).then(|| BackendEvent::StateChanged {
            name: self.name(),
            from,
            to: self.state,
        })
    }

    /// Makes the transitions that time brings. Returns an event where the state is another one now.
    pub(crate) fn advance(&mut self, now: Timestamp) -> Option<BackendEvent> {
        let before = self.state;
        let elapsed = now - self.state_since;
        match self.state {
            BackendState::Ejected if now >= self.next_transition => {
                self.enter(BackendState::Probing, now);
                self.next_transition = now;
                self.successful_probes = 0;
                self.history.clear();
            }
            BackendState::SlowStart if elapsed >= slow_start::SLOW_START_WINDOW => {
                self.enter(BackendState::Active, now);
            }
            BackendState::Active
                if self.ejections > 0 && elapsed >= EJECTION_COUNT_DECAY_INTERVAL =>
            {
                self.ejections -= 1;
                self.state_since = now;
            }
            _ => {}
        }
        self.state_change_from(before)
    }

    /// Ejects it, for longer each time; `random` is from 0 to 1.
    pub(crate) fn eject(&mut self, now: Timestamp, random: f64) {
        self.ejections = (self.ejections + 1).min(MAX_COUNTED_EJECTIONS);
        let factor = f64::from(1u32 << (self.ejections - 1));
        let time = BASE_EJECTION_TIME.mul_f64(factor).min(MAX_EJECTION_TIME);
        self.enter(BackendState::Ejected, now);
        self.return_jitter = random;
        self.next_transition = now + jitter::spread(time, random);
        self.successful_probes = 0;
    }

    /// How long the ejection still takes.
    pub(crate) fn remaining_ejection(&self, now: Timestamp) -> Duration {
        self.next_transition - now
    }

    /// Whether a probe may be sent now.
    pub(crate) fn accepts_probe(&self, now: Timestamp) -> bool {
        self.state == BackendState::Probing
            && self.in_flight.is_empty()
            && now >= self.next_transition
    }

    // --- judgement

    /// Sets what others report. Where they saw an ejected backend healthy since its ejection, it is probed sooner, at a
    /// time within `return_spread` of their observation.
    pub(crate) fn set_reports(&mut self, reports: ReportSummary, return_spread: Duration) {
        self.reports = reports;
        let seen_healthy = self
            .reports
            .seen_healthy_at
            .filter(|at| *at > self.state_since);
        if let (BackendState::Ejected, Some(at)) = (self.state, seen_healthy) {
            let probe_at = at + return_spread.mul_f64(self.return_jitter);
            self.next_transition = self.next_transition.min(probe_at);
        }
    }

    /// The evidence for and against it now, beside the typical latency of its group.
    pub(crate) fn assess(
        &mut self,
        now: Timestamp,
        typical_latency_seconds: Option<f64>,
    ) -> OutlierEvidence {
        self.history.decay(now);
        let limit = outlier::overdue_time(typical_latency_seconds);
        // Ids rise with time, so that the oldest attempts come first.
        let overdue = self
            .in_flight
            .values()
            .take_while(|started_at| now - **started_at > limit)
            .count();
        let slowdown =
            outlier::slowdown(self.history.latency_seconds(now), typical_latency_seconds);
        let results = self.history.counts();
        let evidence = OutlierEvidence::new(results, overdue, slowdown, &self.reports);
        self.reported_results = evidence.reported_results(self.history.last_call_failed());
        evidence
    }

    /// Recent mean latency, where enough calls succeeded.
    pub(crate) fn latency_seconds(&self, now: Timestamp) -> Option<f64> {
        self.history.latency_seconds(now)
    }

    // --- selection

    /// Its present weight: what the operator set, reduced in slow start and by reports against it.
    pub(crate) fn weight(&self, now: Timestamp) -> f64 {
        let fraction = match self.state {
            BackendState::Active => 1.0,
            BackendState::SlowStart => slow_start::weight_fraction(now - self.state_since),
            BackendState::Ejected | BackendState::Probing => return 0.0,
        };
        self.settings.weight * fraction * self.reports.weight_fraction()
    }

    /// What one more call would wait for, in seconds for each unit of weight. `default_latency_seconds` is taken where
    /// no call succeeded recently.
    pub(crate) fn cost(&self, default_latency_seconds: f64) -> f64 {
        let latency = self
            .history
            .latency_estimate_seconds()
            .unwrap_or(default_latency_seconds);
        (self.in_flight.len() + 1) as f64 * latency / self.settings.weight
    }

    // --- what others see

    /// What this server reports of it. An ejected backend is reported by its last failures, while these are recent.
    pub(crate) fn observation(&mut self, now: Timestamp) -> LocalObservation {
        let calls = if self.state == BackendState::Ejected {
            self.history.decay(now);
            CallCounts {
                successes: 0.0,
                failures: self.history.counts().failures,
            }
        } else {
            self.reported_results
        };
        LocalObservation {
            name_hash: self.name_hash,
            state: self.state,
            calls,
            reported_failures: self.reports.failures,
        }
    }

    /// It as it stands.
    pub(crate) fn status(&self, now: Timestamp) -> BackendStatus {
        let mut history = self.history.clone();
        history.decay(now);
        let results = history.counts();
        BackendStatus {
            name: self.name(),
            address: self.settings.address,
            zone: self.settings.zone.clone(),
            state: self.state,
            weight: self.weight(now) / self.settings.weight,
            observed: results.successes + results.failures,
            failures: results.failures,
            in_flight: self.in_flight.len(),
            typical_latency: self
                .history
                .latency_estimate_seconds()
                .map(Duration::from_secs_f64),
            witnesses: self.reports.witnesses,
            gossip_failures: self.reports.failures,
        }
    }
}
