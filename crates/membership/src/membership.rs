//! The membership state machine, which maintains the view of the fleet.
//!
//! Callers pass in the time, a random seed and received datagrams. They take out datagrams to send,
//! timer deadlines and events. The state machine performs no I/O and reads no clock.

mod lifecycle;
mod name_conflict;
mod notice;
mod receive;
mod roster;
mod send;
mod suspicion;
mod swim_driver;
mod swim_receive;
mod timers;
mod updates;

use crate::anti_entropy::RosterSync;
use crate::connectivity::{Connectivity, ConnectivityEvidence, ConnectivityStatus};
use crate::counters::Counters;
use crate::datagram::{self, Subsystem};
use crate::event::MembershipEvent;
use crate::identity::{MemberIdentity, Phase};
use crate::local_health::LocalHealth;
use crate::member_table::{MemberRecord, MemberTable};
use crate::notice_limit::NoticeLimit;
use crate::probe_retry::ProbeRetry;
use crate::reconnect::Reconnector;
use crate::settings::Settings;
use crate::swim::{Swim, SwimRng, new_swim};
use crate::timer_queue::TimerQueue;
use crate::view::{MemberState, MemberView, View};
use compact_str::CompactString;
use foca::Timer;
use madderbay::time::{Duration, Timestamp};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// A received message from the same subsystem of another server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedMessage {
    /// Name of the active member that sent the message.
    pub from: CompactString,
    /// The subsystem that the message is for.
    pub subsystem: Subsystem,
    /// Content of the message, which the membership does not interpret.
    pub payload: Vec<u8>,
}

/// Membership state of one server. See the crate documentation for an example.
pub struct Membership {
    settings: Settings,
    fleet_hash: u64,
    health: LocalHealth,
    rng: SwimRng,
    swim: Swim,
    /// Maximum number of transmissions of an update that `swim` is configured with.
    max_transmissions: u8,
    /// This server's own SWIM incarnation number.
    swim_incarnation: u16,
    swim_timers: TimerQueue<Timer<MemberIdentity>>,
    /// Names of the members to which notices are scheduled.
    scheduled_notices: TimerQueue<CompactString>,
    notice_limit: NoticeLimit,
    probe_retry: ProbeRetry,
    members: MemberTable,
    last_received: Option<Timestamp>,
    connectivity: ConnectivityStatus,
    reconnector: Reconnector,
    roster_sync: RosterSync,
    first_contact: Option<Timestamp>,
    /// Address of another server that owns this server's name, if there is one.
    name_owner: Option<SocketAddr>,
    outgoing: Vec<(SocketAddr, Vec<u8>)>,
    received_messages: Vec<ReceivedMessage>,
    events: Vec<MembershipEvent>,
    counters: Counters,
}

impl Membership {
    /// Starts a new incarnation of a server. `now` is read from the caller's monotonic clock;
    /// `unix_ms` becomes the incarnation, in milliseconds; all random numbers are derived from
    /// `seed`.
    pub fn new(now: Timestamp, unix_ms: u64, seed: u64, settings: Settings) -> Membership {
        let identity = MemberIdentity {
            name: settings.name.clone(),
            address: settings.advertise,
            zone: settings.zone.clone(),
            incarnation: unix_ms,
            revision: 0,
            phase: Phase::Joining,
        };
        let mut health = LocalHealth::default();
        health.observe(now, None);
        Membership {
            fleet_hash: datagram::fleet_hash(&settings.fleet),
            health,
            rng: SwimRng::new(seed ^ 1),
            members: MemberTable::new(now, &identity, settings.max_members),
            swim: new_swim(identity, &settings, seed),
            max_transmissions: 0,
            swim_incarnation: 0,
            swim_timers: TimerQueue::new(),
            scheduled_notices: TimerQueue::new(),
            notice_limit: NoticeLimit::new(now),
            probe_retry: ProbeRetry::new(settings.probe_interval, settings.probe_timeout),
            last_received: None,
            connectivity: ConnectivityStatus::new(now),
            reconnector: Reconnector::new(now, &settings.join, settings.advertise),
            roster_sync: RosterSync::new(now),
            first_contact: None,
            name_owner: None,
            outgoing: vec![],
            received_messages: vec![],
            events: vec![],
            counters: Counters::default(),
            settings,
        }
    }

    /// Returns this server's own identity.
    pub fn local_identity(&self) -> &MemberIdentity {
        self.swim.identity()
    }

    /// Returns how much of the fleet this server receives from.
    pub fn connectivity(&self) -> Connectivity {
        self.connectivity.level
    }

    /// Returns the digest of the view; equal digests mean equal views.
    pub fn digest(&self) -> u64 {
        self.members.digest().total()
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the number of other members that are not down.
    pub fn active_count(&self) -> usize {
        self.members.active_count()
    }

    /// Returns the number of other members that are down without having left.
    pub fn missing_count(&self) -> usize {
        self.members.missing_count()
    }

    /// Reports whether this process was paused recently and therefore suspects no member for now.
    pub fn is_degraded(&self) -> bool {
        self.health.is_degraded()
    }

    /// Returns how often this process was paused.
    pub fn pause_count(&self) -> u64 {
        self.health.pause_count()
    }

    /// Returns the state of another member, or of this server, by name.
    pub fn member_state(&self, name: &str) -> Option<MemberState> {
        if name == self.settings.name {
            return Some(self.local_state());
        }
        self.members.get(name).map(MemberRecord::state)
    }

    fn local_state(&self) -> MemberState {
        if self.name_owner.is_some() {
            return MemberState::Down;
        }
        match self.local_identity().phase {
            Phase::Joining => MemberState::Joining,
            Phase::Joined => MemberState::Alive,
            Phase::Draining => MemberState::Draining,
            Phase::Left => MemberState::Left,
        }
    }

    /// Returns the identity and state of another member by name.
    pub fn member(&self, name: &str) -> Option<(&MemberIdentity, MemberState)> {
        self.members
            .get(name)
            .map(|record| (record.identity(), record.state()))
    }

    /// Takes the names of the members that changed since the last call. The number of retained
    /// names is bounded.
    pub fn take_changed_members(&mut self) -> BTreeSet<CompactString> {
        self.members.take_changed_names()
    }

    /// Returns a snapshot of the view.
    pub fn view(&self) -> View {
        let now = self.health.now();
        let ms_since = |time: Timestamp| (now - time).as_millis();
        let mut members: Vec<MemberView> =
            self.members.iter().map(|r| member_view(now, r)).collect();
        members.push(self.local_view());
        members.sort_by(|a, b| a.name.cmp(&b.name));
        View {
            name: self.local_identity().name.clone(),
            connectivity: self.connectivity,
            since_ms: ms_since(self.connectivity.since),
            last_received_ms: self.last_received.map(ms_since),
            digest: self.digest(),
            members,
        }
    }

    fn local_view(&self) -> MemberView {
        let identity = self.local_identity();
        MemberView {
            name: identity.name.clone(),
            state: self.local_state(),
            zone: identity.zone.clone(),
            address: identity.address,
            incarnation: identity.incarnation,
            revision: identity.revision,
            last_received_ms: None,
            health_score: self.health.score(),
        }
    }

    /// Takes the datagrams to send, with their destinations.
    pub fn take_outgoing(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the events since the last call. Events beyond a bound are dropped and counted.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.events)
    }

    /// Derives the connectivity level from the current view.
    fn update_connectivity(&mut self, now: Timestamp) {
        let evidence = ConnectivityEvidence {
            active: self.members.active_count(),
            missing: self.members.missing_count(),
            last_received: self.last_received,
            expects_peers: self.reconnector.has_join_addresses() || !self.members.is_empty(),
            name_conflict: self.name_owner.is_some(),
        };
        if self.connectivity.update(now, evidence) {
            let status = self.connectivity;
            self.push_event(MembershipEvent::ConnectivityChanged { status, at: now });
        }
    }
}

fn member_view(now: Timestamp, record: &MemberRecord) -> MemberView {
    let identity = record.identity();
    MemberView {
        name: identity.name.clone(),
        state: record.state(),
        zone: identity.zone.clone(),
        address: identity.address,
        incarnation: identity.incarnation,
        revision: identity.revision,
        last_received_ms: record.since_received(now).map(Duration::as_millis),
        health_score: record.health_score(),
    }
}
