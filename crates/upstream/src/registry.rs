//! The table of backends, their groups, and the handlers that each group serves.
//!
//! [`BackendRegistry`] owns all backends and groups. It is given the operator's list of backends, attempts and their
//! outcomes. It knows neither the fleet nor the schedule.

use crate::attempt::{AttemptOutcome, UpstreamAttempt};
use crate::backend::{Backend, RecordEffect};
use crate::backend_group::{BackendGroup, EvaluationContext};
use crate::backend_id::BackendId;
use crate::backend_state::BackendState;
use crate::backend_table::BackendTable;
use crate::events::BackendEvent;
use crate::gossip::LocalObservation;
use crate::outlier;
use crate::retry::budget::AttemptCounts;
use crate::settings::BackendSettings;
use crate::status::BackendStatus;
use madderbay::interface::HandlerId;
use madderbay::time::Timestamp;
use oorandom::Rand64;
use std::collections::{HashMap, HashSet};

/// The backends that serve the same list of handlers, collected while a configuration is read.
struct GroupMembers {
    handlers: Vec<HandlerId>,
    backends: Vec<BackendId>,
}

/// What the caller has to do after the end of an attempt.
pub(crate) enum FinishEffect {
    /// No further action is needed.
    None,
    /// A probe ended: an evaluation should follow soon. The event is set if the probe changed the state of the backend.
    ProbeEnded(Option<BackendEvent>),
    /// The attempt failed: an evaluation and a round of gossip should follow soon.
    AttemptFailed,
}

/// All backends that one server calls.
#[derive(Default)]
pub(crate) struct BackendRegistry {
    backends: BackendTable,
    groups: Vec<BackendGroup>,
    /// Index in `groups` of the group that serves a handler.
    group_by_handler: HashMap<HandlerId, usize>,
    /// Hashes of the names of the configured backends.
    name_hashes: HashSet<u32>,
}

impl BackendRegistry {
    // --- configuration

    /// Applies the operator's list of backends. Backends and groups that existed before keep their state and their
    /// attempts in flight. Returns an event for each backend that was added or removed.
    pub(crate) fn configure(
        &mut self,
        now: Timestamp,
        backends: Vec<BackendSettings>,
        retry_ratio: f64,
    ) -> Vec<BackendEvent> {
        let mut events = self.remove_unlisted(&backends);
        let mut groups: Vec<GroupMembers> = vec![];
        for settings in backends {
            let handlers = settings.handlers.clone();
            let id = self.add_or_update(now, settings, &mut events);
            match groups.iter_mut().find(|group| group.handlers == handlers) {
                Some(group) => group.backends.push(id),
                None => groups.push(GroupMembers {
                    handlers,
                    backends: vec![id],
                }),
            }
        }
        self.regroup(now, groups, retry_ratio);
        self.rebuild_indices();
        events
    }

    fn remove_unlisted(&mut self, listed: &[BackendSettings]) -> Vec<BackendEvent> {
        let mut events = vec![];
        for backend in self.backends.configured_mut() {
            let is_same = |settings: &BackendSettings| settings.is_same_backend(backend.settings());
            if !listed.iter().any(is_same) {
                backend.remove();
                events.push(BackendEvent::ConfigurationChanged {
                    name: backend.name(),
                    present: false,
                });
            }
        }
        events
    }

    fn add_or_update(
        &mut self,
        now: Timestamp,
        settings: BackendSettings,
        events: &mut Vec<BackendEvent>,
    ) -> BackendId {
        if let Some(id) = self.backends.find(&settings) {
            self.backends[id].set_settings(settings);
            return id;
        }
        events.push(BackendEvent::ConfigurationChanged {
            name: settings.name.clone(),
            present: true,
        });
        // A backend that is added to others may have cold caches, and all servers begin to use it at the same time.
        let state = if self.groups.is_empty() {
            BackendState::Active
        } else {
            BackendState::SlowStart
        };
        self.backends.insert(Backend::new(now, settings, state))
    }

    /// Sets the groups in the order of the list. A group that existed before with the same handlers is kept.
    fn regroup(&mut self, now: Timestamp, groups: Vec<GroupMembers>, retry_ratio: f64) {
        let mut previous = std::mem::take(&mut self.groups);
        for GroupMembers { handlers, backends } in groups {
            let same = previous
                .iter()
                .position(|group| group.handlers() == handlers);
            let mut group = match same {
                Some(index) => previous.swap_remove(index),
                None => BackendGroup::new(now, handlers, retry_ratio),
            };
            group.set_backends(backends);
            self.groups.push(group);
        }
    }

    fn rebuild_indices(&mut self) {
        self.group_by_handler.clear();
        for (index, group) in self.groups.iter().enumerate() {
            self.group_by_handler
                .extend(group.handlers().iter().map(|handler| (*handler, index)));
        }
        self.name_hashes = self.backends.configured().map(Backend::name_hash).collect();
    }

    /// Sets the retry ratio of all groups.
    pub(crate) fn set_retry_ratio(&mut self, ratio: f64) {
        for group in &mut self.groups {
            group.retry_budget_mut().set_ratio(ratio);
        }
    }

    // --- queries

    /// Returns the hashes of the names of the configured backends.
    pub(crate) fn name_hashes(&self) -> &HashSet<u32> {
        &self.name_hashes
    }

    /// Returns the group that serves a handler.
    pub(crate) fn group(&self, handler: HandlerId) -> Option<&BackendGroup> {
        let index = self.group_by_handler.get(&handler)?;
        Some(&self.groups[*index])
    }

    /// Returns the group that serves a handler, for changes.
    pub(crate) fn group_mut(&mut self, handler: HandlerId) -> Option<&mut BackendGroup> {
        let index = self.group_by_handler.get(&handler)?;
        Some(&mut self.groups[*index])
    }

    /// Returns all groups.
    pub(crate) fn groups(&self) -> &[BackendGroup] {
        &self.groups
    }

    /// Iterates over the states of the configured backends, group by group.
    pub(crate) fn states(&self) -> impl Iterator<Item = BackendState> {
        self.by_group().map(Backend::state)
    }

    /// Returns the current status of each configured backend, group by group.
    pub(crate) fn statuses(&self, now: Timestamp) -> Vec<BackendStatus> {
        self.by_group().map(|backend| backend.status(now)).collect()
    }

    fn by_group(&self) -> impl Iterator<Item = &Backend> {
        self.groups
            .iter()
            .flat_map(BackendGroup::backends)
            .map(|id| &self.backends[*id])
    }

    /// Returns what this server observes of each configured backend, in the order of the table.
    pub(crate) fn observations(&mut self, now: Timestamp) -> Vec<LocalObservation> {
        self.backends
            .configured_mut()
            .map(|backend| backend.observation(now))
            .collect()
    }

    /// Returns the sum of the recent attempts of all groups.
    pub(crate) fn recent_attempts(&mut self, now: Timestamp) -> AttemptCounts {
        self.groups
            .iter_mut()
            .map(|group| group.retry_budget_mut().recent_attempts(now))
            .fold(AttemptCounts::default(), AttemptCounts::plus)
    }

    // --- attempts and evaluation

    /// Selects the backend for an attempt of a call of a handler. The backend to `avoid`, if any, is chosen only if
    /// there is no other.
    pub(crate) fn pick(
        &mut self,
        now: Timestamp,
        handler: HandlerId,
        avoid: Option<BackendId>,
        rng: &mut Rand64,
    ) -> Option<BackendId> {
        let group = self
            .group_by_handler
            .get(&handler)
            .map(|index| &mut self.groups[*index])?;
        group.pick(now, &self.backends, avoid, rng)
    }

    /// Begins an attempt at a backend.
    pub(crate) fn begin_attempt(
        &mut self,
        now: Timestamp,
        handler: HandlerId,
        backend: BackendId,
        id: u64,
    ) -> UpstreamAttempt {
        let target = &mut self.backends[backend];
        target.begin_attempt(now, id);
        UpstreamAttempt {
            backend,
            address: target.address(),
            started_at: now,
            handler,
            id,
        }
    }

    /// Ends an attempt. An attempt that is not in flight, or whose handler is no longer served, has no further effect.
    pub(crate) fn finish_attempt(
        &mut self,
        now: Timestamp,
        attempt: &UpstreamAttempt,
        outcome: AttemptOutcome,
        rng: &mut Rand64,
    ) -> FinishEffect {
        let Some(backend) = self.backends.get_mut(attempt.backend) else {
            return FinishEffect::None;
        };
        if !backend.end_attempt(attempt.id) {
            return FinishEffect::None;
        }
        let Some(index) = self.group_by_handler.get(&attempt.handler) else {
            return FinishEffect::None;
        };
        let group = &mut self.groups[*index];
        let typical_latency_seconds = group.typical_latency_seconds();
        let latency = now - attempt.started_at;
        let outcome = outlier::outcome_after_wait(outcome, latency, typical_latency_seconds);
        if outcome == AttemptOutcome::Success {
            group.hedge_delay_estimator_mut().record(latency);
        }
        let slow = outlier::is_slow_call(latency, typical_latency_seconds);
        match backend.record(now, attempt.started_at, outcome, slow, || rng.rand_float()) {
            RecordEffect::ProbeEnded(event) => FinishEffect::ProbeEnded(event),
            RecordEffect::Counted if outcome.is_failure() => FinishEffect::AttemptFailed,
            RecordEffect::Counted | RecordEffect::Ignored => FinishEffect::None,
        }
    }

    /// Evaluates all backends, given the recent attempts of the fleet. Returns the events that result.
    pub(crate) fn evaluate(
        &mut self,
        now: Timestamp,
        fleet: Option<AttemptCounts>,
        context: &EvaluationContext,
        rng: &mut Rand64,
    ) -> Vec<BackendEvent> {
        let mut events = vec![];
        for group in &mut self.groups {
            group.retry_budget_mut().set_fleet(fleet);
            group.evaluate(now, &mut self.backends, context, rng, &mut events);
        }
        events
    }
}
