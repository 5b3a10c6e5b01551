//! The manager of all upstream backends. It selects the backend of each attempt, decides on retries and hedges, and
//! processes the outcomes of attempts.
//!
//! [`UpstreamManager`] owns the registry, the gossip and the schedule. It is given calls and their outcomes, the view
//! of the fleet, datagrams, the time and a random seed. It returns attempts, datagrams, events and the time of its next
//! timeout. It does no I/O and reads no clock. The methods for attempts are in [`attempts`].

mod attempts;

use crate::backend_group::EvaluationContext;
use crate::backend_state::BackendState;
use crate::events::{BackendEvent, EventQueue};
use crate::gossip::Gossip;
use crate::registry::BackendRegistry;
use crate::settings::{BackendSettings, Settings};
use crate::status::{BackendStatus, Totals};
use compact_str::CompactString;
use madderbay::interface::HandlerId;
use madderbay::time::{Duration, Timestamp};
use oorandom::Rand64;

/// Time between two evaluations of all backends.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);
/// Upper bound on the time from a failed attempt or the end of a probe to the next evaluation.
const EVALUATION_DELAY_AFTER_FAILURE: Duration = Duration::from_millis(10);

/// Selects backends for calls, detects and ejects faulty ones, and decides on retries and hedges.
pub struct UpstreamManager {
    settings: Settings,
    rng: Rand64,
    registry: BackendRegistry,
    gossip: Gossip,
    events: EventQueue,
    last_attempt_id: u64,
    next_evaluation: Timestamp,
    totals: Totals,
}

impl UpstreamManager {
    /// Creates a manager of the given backends, all of them active. All its random draws follow from the seed.
    pub fn new(
        now: Timestamp,
        seed: u64,
        settings: Settings,
        backends: Vec<BackendSettings>,
    ) -> UpstreamManager {
        let mut manager = UpstreamManager {
            settings,
            rng: Rand64::new(u128::from(seed)),
            registry: BackendRegistry::default(),
            gossip: Gossip::new(now),
            events: EventQueue::default(),
            last_attempt_id: 0,
            next_evaluation: now,
            totals: Totals::default(),
        };
        manager.configure(now, backends);
        manager.events.take();
        manager
    }

    /// Replaces the settings and the list of backends. Attempts in flight continue. Backends that were listed before
    /// keep their state, and new ones begin in slow start.
    pub fn reload(&mut self, now: Timestamp, settings: Settings, backends: Vec<BackendSettings>) {
        self.settings = settings;
        self.registry.set_retry_ratio(self.settings.retry_ratio);
        self.configure(now, backends);
    }

    fn configure(&mut self, now: Timestamp, backends: Vec<BackendSettings>) {
        let events = self
            .registry
            .configure(now, backends, self.settings.retry_ratio);
        self.events.push_all(events);
        self.evaluate(now);
    }

    // --- timeouts

    /// Returns when [`handle_timeout`](Self::handle_timeout) is due next.
    pub fn next_timeout(&self) -> Timestamp {
        if self.has_gossip_peers() {
            self.next_evaluation.min(self.gossip.next_round())
        } else {
            self.next_evaluation
        }
    }

    /// Does the work that is due: an evaluation, a round of gossip, or both.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        if now >= self.next_evaluation {
            self.evaluate(now);
        }
        if now >= self.gossip.next_round() {
            self.gossip.begin_round(now, self.rng.rand_float());
            if self.has_gossip_peers() {
                self.send_gossip(now);
            }
        }
    }

    /// Reports whether gossip is enabled and has an active peer.
    fn has_gossip_peers(&self) -> bool {
        self.settings.gossip && self.gossip.active_peers() > 0
    }

    fn bring_evaluation_forward(&mut self, now: Timestamp) {
        self.next_evaluation = self
            .next_evaluation
            .min(now + EVALUATION_DELAY_AFTER_FAILURE);
    }

    fn record_events(&mut self, events: impl IntoIterator<Item = BackendEvent>) {
        for event in events {
            if !self.events.push(event) {
                self.totals.events_dropped += 1;
            }
        }
    }

    fn evaluate(&mut self, now: Timestamp) {
        self.next_evaluation = now + EVALUATION_INTERVAL;
        self.gossip.prune(now, self.registry.name_hashes());
        let own_attempts = self.registry.recent_attempts(now);
        let fleet = self
            .gossip
            .peer_attempts(now)
            .map(|peers| peers.plus(own_attempts));
        let context = EvaluationContext {
            settings: &self.settings,
            reports: self.gossip.reports(),
            active_peers: self.gossip.active_peers(),
        };
        let events = self.registry.evaluate(now, fleet, &context, &mut self.rng);
        let is_ejection = |event: &&BackendEvent| matches!(event, BackendEvent::Ejected { .. });
        self.totals.ejections += events.iter().filter(is_ejection).count() as u64;
        self.record_events(events);
    }

    fn send_gossip(&mut self, now: Timestamp) {
        let observations = self.registry.observations(now);
        let attempts = self.registry.recent_attempts(now);
        if let Some(payload) = self.gossip.payload(&observations, attempts) {
            let sent = self.gossip.send(&payload, &mut self.rng);
            self.totals.datagrams_sent += sent as u64;
            self.totals.bytes_sent += (sent * payload.len()) as u64;
        }
    }

    // --- fleet

    /// Sets whether this process was stalled recently, so that missing replies may be its own fault.
    pub fn set_stalled(&mut self, stalled: bool) {
        self.gossip.set_stalled(stalled);
    }

    /// Adds a server of the fleet's view, or updates its incarnation, zone and activity. Reports of its previous
    /// incarnations are dropped.
    pub fn update_peer(
        &mut self,
        name: &CompactString,
        incarnation: u64,
        zone: &CompactString,
        active: bool,
    ) {
        self.gossip.update_peer(name, incarnation, zone, active);
    }

    /// Removes a server that is no longer in the view of the fleet. Its reports are dropped.
    pub fn remove_peer(&mut self, name: &CompactString) {
        self.gossip.remove_peer(name);
    }

    /// Processes a gossip payload of another server. A payload that is malformed or from an unknown server is rejected
    /// and counted.
    pub fn handle_datagram(&mut self, now: Timestamp, from: &CompactString, payload: &[u8]) {
        self.totals.datagrams_received += 1;
        let known_backends = self.registry.name_hashes();
        let enabled = self.settings.gossip;
        let handled = self
            .gossip
            .handle_payload(now, from, payload, known_backends, enabled);
        if handled.is_err() {
            self.totals.datagrams_rejected += 1;
        }
    }

    /// Takes the gossip payloads to send, each with the name of the server it is for.
    pub fn take_datagrams(&mut self) -> Vec<(CompactString, Vec<u8>)> {
        self.gossip.take_outgoing()
    }

    // --- events and status

    /// Takes the events since the last call, oldest first.
    pub fn take_events(&mut self) -> Vec<BackendEvent> {
        self.events.take()
    }

    /// Returns the number of stored reports of other servers.
    pub fn gossip_entries(&self) -> usize {
        self.gossip.reports().len()
    }

    /// Reports whether any backend serves a handler.
    pub fn has_backends(&self, handler: HandlerId) -> bool {
        self.registry.group(handler).is_some()
    }

    /// Iterates over the groups: the handlers of each, and its number of backends.
    pub fn groups(&self) -> impl Iterator<Item = (&[HandlerId], usize)> {
        self.registry
            .groups()
            .iter()
            .map(|group| (group.handlers(), group.backends().len()))
    }

    /// Iterates over the states of the backends, in the order of [`backend_statuses`](Self::backend_statuses).
    pub fn backend_states(&self) -> impl Iterator<Item = BackendState> {
        self.registry.states()
    }

    /// Returns the counters since the start.
    pub fn totals(&self) -> &Totals {
        &self.totals
    }

    /// Returns the current status of each backend, group by group.
    pub fn backend_statuses(&self, now: Timestamp) -> Vec<BackendStatus> {
        self.registry.statuses(now)
    }
}
