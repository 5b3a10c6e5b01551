//! One backend as this server sees it: its state, the results of its calls and its attempts in flight.
//!
//! [`Backend`] implements the state transitions. Its group decides when to eject it.

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

/// Duration of the first ejection. Each further one lasts twice as long as the one before. Random jitter is applied to
/// each, so that servers that ejected a backend together do not return to it together.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(2_000);
/// Upper bound on the duration of an ejection, before jitter.
const MAX_EJECTION_TIME: Duration = Duration::from_millis(60_000);
/// Upper bound on the counted ejections, so that doubling the duration cannot overflow.
const MAX_COUNTED_EJECTIONS: u32 = 16;
/// The number of counted ejections falls by one for each such period without another ejection.
const EJECTION_COUNT_DECAY_INTERVAL: Duration = Duration::from_millis(30_000);
/// Consecutive successful probes after which the backend returns to selection.
const PROBES_TO_RETURN: u32 = 2;
/// Time from the end of a probe until the next one may be sent.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Upper bound on the attempts in flight that are tracked for one backend. A server runs fewer calls than that.
const MAX_TRACKED_ATTEMPTS: usize = 100_000;

/// What the outcome of an attempt changed in the record of its backend.
pub(crate) enum RecordEffect {
    /// Nothing: the attempt says nothing about the current state.
    Ignored,
    /// The outcome was counted.
    Counted,
    /// A probe ended. The event is set if it changed the state.
    ProbeEnded(Option<BackendEvent>),
}

/// A backend: its settings, its state and its recent results.
pub(crate) struct Backend {
    settings: BackendSettings,
    name_hash: u32,
    state: BackendState,
    /// When the current state began, or when the number of counted ejections last fell in it.
    state_since: Timestamp,
    /// While ejected: when the ejection ends. While probing: when the next probe may be sent.
    next_transition: Timestamp,
    /// Number of counted ejections. It determines the duration of the next one.
    ejections: u32,
    /// Random number from 0 to 1, drawn at the last ejection. It staggers the first probe of a backend that other
    /// servers have seen healthy again.
    return_jitter: f64,
    successful_probes: u32,
    history: CallHistory,
    /// Start of each attempt in flight, by the attempt's id.
    in_flight: BTreeMap<u64, Timestamp>,
    reports: ReportSummary,
    /// Results that are reported to other servers, as of the last evaluation.
    reported_results: CallCounts,
    /// The backend is no longer configured. Its slot may be reused once no attempt is in flight.
    removed: bool,
}

impl Backend {
    /// Creates a backend without any results.
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

    /// Marks the backend as no longer configured. Its attempts in flight continue.
    pub(crate) fn remove(&mut self) {
        self.removed = true;
    }

    /// Reports whether another backend may take its slot: it was removed, and no attempt is in flight.
    pub(crate) fn is_replaceable(&self) -> bool {
        self.removed && self.in_flight.is_empty()
    }

    // --- attempts

    /// Tracks an attempt that begins now.
    pub(crate) fn begin_attempt(&mut self, now: Timestamp, id: u64) {
        if self.in_flight.len() < MAX_TRACKED_ATTEMPTS {
            self.in_flight.insert(id, now);
        }
    }

    /// Stops tracking an attempt. Returns `false` if the attempt was not tracked or has already ended.
    pub(crate) fn end_attempt(&mut self, id: u64) -> bool {
        self.in_flight.remove(&id).is_some()
    }

    /// Counts the outcome of an attempt. `slow` says that it took far longer than is typical. `random` returns a random
    /// number from 0 to 1; it is called only for a probe.
    pub(crate) fn record(
        &mut self,
        now: Timestamp,
        started_at: Timestamp,
        outcome: AttemptOutcome,
        slow: bool,
        random: impl FnOnce() -> f64,
    ) -> RecordEffect {
        // An attempt that began before the ejection says nothing about the current state.
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

    /// Returns the event of a change from the state `from`, or `None` if the state is the same.
    fn state_change_from(&self, from: BackendState) -> Option<BackendEvent> {
        (self.state != from).then(|| BackendEvent::StateChanged {
            name: self.name(),
            from,
            to: self.state,
        })
    }

    /// Applies the transitions that are due by time. Returns an event if the state has changed.
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

    /// Ejects the backend, for longer each time. `random` is a random number from 0 to 1.
    pub(crate) fn eject(&mut self, now: Timestamp, random: f64) {
        self.ejections = (self.ejections + 1).min(MAX_COUNTED_EJECTIONS);
        let factor = f64::from(1u32 << (self.ejections - 1));
        let time = BASE_EJECTION_TIME.mul_f64(factor).min(MAX_EJECTION_TIME);
        self.enter(BackendState::Ejected, now);
        self.return_jitter = random;
        self.next_transition = now + jitter::spread(time, random);
        self.successful_probes = 0;
    }

    /// Returns the time that is left of the ejection.
    pub(crate) fn remaining_ejection(&self, now: Timestamp) -> Duration {
        self.next_transition - now
    }

    /// Reports whether a probe may be sent now.
    pub(crate) fn accepts_probe(&self, now: Timestamp) -> bool {
        self.state == BackendState::Probing
            && self.in_flight.is_empty()
            && now >= self.next_transition
    }

    // --- outlier detection

    /// Sets what other servers report. If they have seen an ejected backend healthy since its ejection, it is probed
    /// sooner: at a time within `return_spread` of their observation.
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

    /// Returns the current evidence for and against the backend, compared with the typical latency of its group.
    pub(crate) fn assess(
        &mut self,
        now: Timestamp,
        typical_latency_seconds: Option<f64>,
    ) -> OutlierEvidence {
        self.history.decay(now);
        let limit = outlier::overdue_time(typical_latency_seconds);
        // Ids increase with time, so the oldest attempts come first.
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

    /// Returns the recent mean latency, or `None` if too few calls succeeded.
    pub(crate) fn latency_seconds(&self, now: Timestamp) -> Option<f64> {
        self.history.latency_seconds(now)
    }

    // --- selection

    /// Returns its current weight: the configured weight, reduced during slow start and by reports against the backend,
    /// and 0 while it is out of selection.
    pub(crate) fn weight(&self, now: Timestamp) -> f64 {
        let fraction = match self.state {
            BackendState::Active => 1.0,
            BackendState::SlowStart => slow_start::weight_fraction(now - self.state_since),
            BackendState::Ejected | BackendState::Probing => return 0.0,
        };
        self.settings.weight * fraction * self.reports.weight_fraction()
    }

    /// Returns the expected wait of one more call, in seconds per unit of weight. `default_latency_seconds` is used if no
    /// call succeeded recently.
    pub(crate) fn cost(&self, default_latency_seconds: f64) -> f64 {
        let latency = self
            .history
            .latency_estimate_seconds()
            .unwrap_or(default_latency_seconds);
        (self.in_flight.len() + 1) as f64 * latency / self.settings.weight
    }

    // --- reports and status

    /// Returns what this server reports about the backend. An ejected backend is reported by its last failures, as long
    /// as these are recent.
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

    /// Returns its current status.
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
