//! Gossip about backends: what this server reports to a few others about the backends it uses, and what they report to
//! it.
//!
//! [`Gossip`] owns the peers, their reports and the schedule of rounds. It is given payloads, the time, random numbers
//! and the observations of the registry, and returns payloads to send. It never forwards the reports of others, and it
//! does not judge backends.

pub(crate) mod codec;
pub(crate) mod reports;

use crate::backend_state::BackendState;
use crate::call_counts::CallCounts;
use crate::jitter;
use crate::retry::budget::AttemptCounts;
use codec::{BackendReport, GossipDecodeError, GossipMessage};
use compact_str::CompactString;
use madderbay::time::{Duration, Timestamp};
use madderbay_membership::MAX_SUBSYSTEM_PAYLOAD_BYTES;
use oorandom::Rand64;
use reports::{Observation, ReceivedReports, Witness};
use std::collections::{BTreeMap, HashSet};

/// Mean time between two rounds of gossip. Each interval gets random jitter.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Upper bound on the peers that are sent a payload in one round.
const GOSSIP_FANOUT: usize = 8;
/// The next round follows a failed call within this time, unless [`MIN_ROUND_INTERVAL`] requires a later one.
const DELAY_AFTER_FAILURE: Duration = Duration::from_millis(20);
/// Minimum time between two rounds, also after a failed call.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Counts of successes or failures up to this are not worth a report.
const MIN_REPORTED_CALLS: f64 = 0.3;
/// Weight of the reported failures, in failures, above which this server's own successes are worth a report.
const MIN_DISPUTED_FAILURES: f64 = 0.1;
/// Number of recent retries from which a payload is sent even without any report.
const MIN_REPORTED_RETRIES: f64 = 1.0;
/// Upper bound on the reports in one payload, so that it fits into a datagram.
const MAX_REPORTS: usize = 80;
/// Time after their receipt for which the attempt counts of a peer are used.
const MAX_ATTEMPTS_AGE: Duration = Duration::from_millis(5_000);
/// A peer that finds more than this fraction of its backends faulty is not credible.
const MAX_CREDIBLE_FRACTION: f64 = 0.5;
/// Number of backends that a peer must have seen before the check by [`MAX_CREDIBLE_FRACTION`] applies to it.
const MIN_BACKENDS_FOR_CREDIBILITY_CHECK: u16 = 3;

/// Why a gossip payload was rejected.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RejectedPayload {
    #[error(transparent)]
    Malformed(#[from] GossipDecodeError),
    #[error("gossip payload from a server that is not in the membership view")]
    UnknownPeer,
}

/// What this server observed of one backend.
pub(crate) struct LocalObservation {
    pub(crate) name_hash: u32,
    pub(crate) state: BackendState,
    pub(crate) calls: CallCounts,
    /// Weight of the reports of other servers against the backend, in failures.
    pub(crate) reported_failures: f64,
}

impl LocalObservation {
    /// Reports whether this server has recent results of the backend, or has ejected it.
    fn is_seen(&self) -> bool {
        self.state == BackendState::Ejected
            || self.calls.successes + self.calls.failures > MIN_REPORTED_CALLS
    }

    fn is_failing(&self) -> bool {
        let CallCounts {
            successes,
            failures,
        } = self.calls;
        self.state == BackendState::Ejected || failures > successes && failures > MIN_REPORTED_CALLS
    }

    /// Reports whether other servers should know: the backend failed here, or it succeeded here after it had failed
    /// here or was reported as failing by others.
    fn is_worth_reporting(&self) -> bool {
        let succeeded = self.calls.successes > MIN_REPORTED_CALLS;
        let is_disputed = self.reported_failures > MIN_DISPUTED_FAILURES;
        let has_returned = self.state == BackendState::SlowStart;
        self.calls.failures > MIN_REPORTED_CALLS || succeeded && (is_disputed || has_returned)
    }

    fn report(&self) -> BackendReport {
        BackendReport {
            name_hash: self.name_hash,
            successes: codec::to_eighths(self.calls.successes),
            failures: codec::to_eighths(self.calls.failures),
            age_ms: 0,
        }
    }
}

/// Another server of the fleet, as gossip needs to know it.
struct Peer {
    incarnation: u64,
    zone: CompactString,
    active: bool,
    attempts: Option<PeerAttempts>,
}

/// Attempt counts that a peer reported.
#[derive(Clone, Copy)]
struct PeerAttempts {
    counts: AttemptCounts,
    received_at: Timestamp,
}

/// The gossip state of one server.
pub(crate) struct Gossip {
    peers: BTreeMap<CompactString, Peer>,
    /// Names of the active peers, in the order left by the random draws of [`Gossip::send`].
    active_peers: Vec<CompactString>,
    reports: ReceivedReports,
    next_round: Timestamp,
    last_round: Timestamp,
    /// Whether this process was stalled recently.
    stalled: bool,
    outgoing: Vec<(CompactString, Vec<u8>)>,
}

impl Gossip {
    /// Creates the state without peers. The first round is due immediately.
    pub(crate) fn new(now: Timestamp) -> Gossip {
        Gossip {
            peers: BTreeMap::new(),
            active_peers: vec![],
            reports: ReceivedReports::default(),
            next_round: now,
            last_round: Timestamp::default(),
            stalled: false,
            outgoing: vec![],
        }
    }

    /// Sets whether this process was stalled recently, so that a missing reply may be its own fault.
    pub(crate) fn set_stalled(&mut self, stalled: bool) {
        self.stalled = stalled;
    }

    /// Returns the reports of other servers.
    pub(crate) fn reports(&self) -> &ReceivedReports {
        &self.reports
    }

    /// Returns the number of active peers.
    pub(crate) fn active_peers(&self) -> usize {
        self.active_peers.len()
    }

    /// Drops the reports that are too old, and those on backends that are not known.
    pub(crate) fn prune(&mut self, now: Timestamp, known_backends: &HashSet<u32>) {
        self.reports
            .prune(now, |name_hash| known_backends.contains(&name_hash));
    }

    /// Adds a peer of the membership view, or updates its incarnation, zone and activity.
    pub(crate) fn update_peer(
        &mut self,
        name: &CompactString,
        incarnation: u64,
        zone: &CompactString,
        active: bool,
    ) {
        self.reports.retain_incarnation(name, Some(incarnation));
        let new_peer = || Peer {
            incarnation,
            zone: zone.clone(),
            active: false,
            attempts: None,
        };
        let peer = self.peers.entry(name.clone()).or_insert_with(new_peer);
        let was_active = std::mem::replace(&mut peer.active, active);
        if peer.incarnation != incarnation || !active {
            peer.attempts = None;
        }
        peer.incarnation = incarnation;
        peer.zone = zone.clone();
        if active && !was_active {
            self.active_peers.push(name.clone());
        } else if was_active && !active {
            self.active_peers.retain(|peer| peer != name);
        }
    }

    /// Removes a peer that is no longer in the membership view, with its reports.
    pub(crate) fn remove_peer(&mut self, name: &CompactString) {
        self.reports.retain_incarnation(name, None);
        self.peers.remove(name);
        self.active_peers.retain(|peer| peer != name);
    }

    /// Processes a payload of a peer. The payload is always checked, but its content is used only if gossip is
    /// `enabled`.
    pub(crate) fn handle_payload(
        &mut self,
        now: Timestamp,
        from: &CompactString,
        payload: &[u8],
        known_backends: &HashSet<u32>,
        enabled: bool,
    ) -> Result<(), RejectedPayload> {
        let message = GossipMessage::decode(payload)?;
        let peer = self
            .peers
            .get_mut(from)
            .ok_or(RejectedPayload::UnknownPeer)?;
        if !enabled {
            return Ok(());
        }
        peer.attempts = Some(PeerAttempts {
            counts: reported_attempts(&message),
            received_at: now,
        });
        let witness = Witness {
            name: from,
            zone: &peer.zone,
            incarnation: peer.incarnation,
            credible: is_credible(&message),
        };
        for report in message.reports.iter().take(MAX_REPORTS) {
            if known_backends.contains(&report.name_hash) {
                self.reports.record(now, witness, observation(report));
            }
        }
        Ok(())
    }

    /// Returns the sum of the peers' recent attempts, or `None` if no peer has reported any recently.
    pub(crate) fn peer_attempts(&self, now: Timestamp) -> Option<AttemptCounts> {
        let current = self
            .peers
            .values()
            .filter_map(|peer| peer.attempts)
            .filter(|attempts| now - attempts.received_at < MAX_ATTEMPTS_AGE);
        current
            .map(|attempts| attempts.counts)
            .fold(None, |sum, counts| {
                Some(sum.unwrap_or_default().plus(counts))
            })
    }

    /// Returns when the next round is due.
    pub(crate) fn next_round(&self) -> Timestamp {
        self.next_round
    }

    /// Begins a round and schedules the next one. `random` is a random number from 0 to 1.
    pub(crate) fn begin_round(&mut self, now: Timestamp, random: f64) {
        self.next_round = now + jitter::spread(ROUND_INTERVAL, random);
        self.last_round = now;
    }

    /// Brings the next round forward after a failed call.
    pub(crate) fn bring_round_forward(&mut self, now: Timestamp) {
        let soon = (now + DELAY_AFTER_FAILURE).max(self.last_round + MIN_ROUND_INTERVAL);
        self.next_round = self.next_round.min(soon);
    }

    /// Returns the payload of a round, or `None` if there is nothing to report or the payload would not fit into a
    /// datagram.
    pub(crate) fn payload(
        &self,
        observations: &[LocalObservation],
        attempts: AttemptCounts,
    ) -> Option<Vec<u8>> {
        let reports = select_reports(observations);
        if reports.is_empty() && attempts.retries < MIN_REPORTED_RETRIES {
            return None;
        }
        let count = |is: fn(&LocalObservation) -> bool| {
            observations.iter().map(|seen| u16::from(is(seen))).sum()
        };
        let message = GossipMessage {
            stalled: self.stalled,
            backends_seen: count(LocalObservation::is_seen),
            backends_failing: count(LocalObservation::is_failing),
            first_attempts: attempts.first_attempts as u32,
            retries: attempts.retries as u32,
            reports,
        };
        Some(message.encode()).filter(|payload| payload.len() <= MAX_SUBSYSTEM_PAYLOAD_BYTES)
    }

    /// Queues a payload for a few active peers that are drawn at random each time. Returns the number of these peers.
    pub(crate) fn send(&mut self, payload: &[u8], rng: &mut Rand64) -> usize {
        let fanout = GOSSIP_FANOUT.min(self.active_peers.len());
        for next in 0..fanout {
            let remaining = (self.active_peers.len() - next) as u64;
            let drawn = next + rng.rand_range(0..remaining) as usize;
            self.active_peers.swap(next, drawn);
            self.outgoing
                .push((self.active_peers[next].clone(), payload.to_vec()));
        }
        fanout
    }

    /// Takes the payloads to send, each with the name of the peer it is for.
    pub(crate) fn take_outgoing(&mut self) -> Vec<(CompactString, Vec<u8>)> {
        std::mem::take(&mut self.outgoing)
    }
}

/// Returns the reports of a payload. If there are too many, those with the most failures are selected.
fn select_reports(observations: &[LocalObservation]) -> Vec<BackendReport> {
    let worth_reporting = observations.iter().filter(|seen| seen.is_worth_reporting());
    let mut reports: Vec<BackendReport> = worth_reporting.map(LocalObservation::report).collect();
    if reports.len() > MAX_REPORTS {
        reports.sort_by_key(|report| std::cmp::Reverse(report.failures));
        reports.truncate(MAX_REPORTS);
    }
    reports
}

/// Reports whether the sender of a message is credible. A peer that was stalled, or that finds most backends faulty,
/// probably observes a fault of its own.
fn is_credible(message: &GossipMessage) -> bool {
    let failing = f64::from(message.backends_failing);
    let seen = f64::from(message.backends_seen);
    let finds_majority_failing = message.backends_seen >= MIN_BACKENDS_FOR_CREDIBILITY_CHECK
        && failing > MAX_CREDIBLE_FRACTION * seen;
    !finds_majority_failing && !message.stalled
}

fn reported_attempts(message: &GossipMessage) -> AttemptCounts {
    AttemptCounts {
        first_attempts: f64::from(message.first_attempts),
        retries: f64::from(message.retries),
    }
}

fn observation(report: &BackendReport) -> Observation {
    Observation {
        name_hash: report.name_hash,
        successes: codec::from_eighths(report.successes),
        failures: codec::from_eighths(report.failures),
        age: Duration::from_millis(u64::from(report.age_ms)),
    }
}
