//! The machine: datagrams, time and chance in; datagrams, due times and changes out.

mod hear;
mod speak;

use crate::anti_entropy::RosterSync;
use crate::connectivity::{Connectivity, ConnectivityEvidence, ConnectivityStatus};
use crate::counters::Counters;
use crate::datagram::{
    self, DatagramKind, Header, MAX_BODY_BYTES, Notice, RosterPage, RosterRequest, Subsystem,
    SubsystemMessage, decode_body, encode_body,
};
use crate::error::DatagramError;
use crate::identity::{MemberIdentity, Phase};
use crate::local_health::LocalHealth;
use crate::name_claim::{ClaimVerdict, judge_claim};
use crate::reconnect::Reconnector;
use crate::settings::Settings;
use crate::swim::{self, Swim, SwimEffects, SwimPacket, SwimRng, new_swim};
use crate::view::{
    Held, Marks, MemberState, MemberView, MembershipEvent, PARTS, Row, View, Why, mark,
};
use compact_str::CompactString;
use foca::{Member, Message, OwnedNotification, State as Told, Timer};
use madderbay::time::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Notices a tenth of a second at the most: after a long cut each server holds half of the fleet
/// down, and tells them a few at a time.
const NOTICES: u32 = 10;
const NOTICES_IN: Duration = Duration::from_millis(100);
/// A server that has met others takes itself for joined after this long, whatever it did not hear
/// yet; one with nobody to meet at once.
const JOINS: Duration = Duration::from_millis(3_000);
/// News of more members than this is not passed on: who else lacks it asks for the roster as well.
const PASSED_ON: usize = 16;
/// Changes kept for the log; what is more is counted.
const CHANGES_MOST: usize = 64;
/// Before a suspicion runs out the suspected is asked itself, at these parts of the time that it
/// has: a rumour that it lives may miss some.
const LAST_CALLS: [f64; 2] = [0.35, 0.7];
/// Tries more of a member that has not answered in time, until it does, in equal parts of the time
/// that it has left; the last leaves room for its answer. With three in ten datagrams lost eleven
/// tries all fail for one living member in two thousand, and what is said of suspicions stays
/// little in a large fleet.
const TRIES: usize = 10;
const TRY_PART: f64 = 0.075;
/// One that is held down here and is in elsewhere is told so that many times more, so far apart,
/// until it is heard: a word of this and its answer are both to arrive. So many are under way at a
/// time; after a long cut all others are told once, and again by the next roster.
const CALLS_AGAIN: [Duration; 3] = [
    Duration::from_millis(120),
    Duration::from_millis(300),
    Duration::from_millis(600),
];
const AGAIN_MOST: usize = 64;
/// Those who went down this lately are told of in a roster; who holds them in suspects them then.
const LATELY: Duration = Duration::from_millis(20_000);
/// News passed on at a time: beyond, what comes is taken in and not passed on, and rosters carry
/// it.
const RUMOURS: usize = 200;
/// Words of other parts kept until they are fetched: a turn's datagrams.
const BESIDE_MOST: usize = 64;
/// Longest words of another part: they and who says them fit a datagram.
pub const MAX_SUBSYSTEM_PAYLOAD_BYTES: usize = 1_150;
/// Times that the word of leaving is sent to some.
const GOODBYES: usize = 3;

/// A member that did not answer a probe: its number, when it is tried next, and how often still.
struct Tried {
    target: MemberIdentity,
    number: u8,
    next: Timestamp,
    left: usize,
}

pub struct Membership {
    set: Settings,
    fleet: u64,
    health: LocalHealth,
    rng: SwimRng,
    swim: Swim,
    timers: BTreeMap<(Timestamp, u64), Timer<MemberIdentity>>,
    numbered: u64,
    /// Suspected servers that are to be asked themselves.
    last_calls: BTreeMap<(Timestamp, u64), CompactString>,
    /// Its own, as foca counts it.
    incarnation: u16,
    /// The probe that is being tried again, or was last.
    tried: Option<Tried>,
    rows: BTreeMap<CompactString, Row>,
    /// Names of rows that changed, for whoever leans on the view: no more than there are, and were
    /// of late.
    touched: BTreeSet<CompactString>,
    active: usize,
    missing: usize,
    marks: Marks,
    /// When the own view changed last.
    changed: Timestamp,
    last_heard: Option<Timestamp>,
    judgement: ConnectivityStatus,
    reconnector: Reconnector,
    roster: RosterSync,
    /// When others were first met.
    met: Option<Timestamp>,
    /// Who has this server's name, if another has.
    aside: Option<SocketAddr>,
    notices: (Timestamp, u32),
    told_to: u8,
    out: Vec<(SocketAddr, Vec<u8>)>,
    beside: Vec<(CompactString, Subsystem, Vec<u8>)>,
    changes: Vec<MembershipEvent>,
    pub counters: Counters,
}

impl Membership {
    /// `now` is the own monotonic clock's; `unix_ms` only tells this life from others.
    pub fn new(now: Timestamp, unix_ms: u64, seed: u64, set: Settings) -> Membership {
        let id = MemberIdentity {
            name: set.name.clone(),
            address: set.advertise,
            zone: set.zone.clone(),
            incarnation: unix_ms,
            revision: 0,
            phase: Phase::Joining,
        };
        let mut health = LocalHealth::default();
        health.observe(now, None);
        let mut marks = Marks::default();
        marks.flip(&id.name, mark(&id));
        Membership {
            fleet: datagram::fleet_hash(&set.fleet),
            health,
            rng: SwimRng::new(seed ^ 1),
            marks,
            swim: new_swim(id, &set, seed),
            timers: BTreeMap::new(),
            numbered: 0,
            last_calls: BTreeMap::new(),
            incarnation: 0,
            tried: None,
            rows: BTreeMap::new(),
            touched: BTreeSet::new(),
            active: 0,
            missing: 0,
            changed: now,
            last_heard: None,
            judgement: ConnectivityStatus::new(now),
            reconnector: Reconnector::new(now, &set.join, set.advertise),
            roster: RosterSync::new(now),
            met: None,
            aside: None,
            notices: (now, 0),
            told_to: 0,
            out: vec![],
            beside: vec![],
            changes: vec![],
            counters: Counters::default(),
            set,
        }
    }

    /// This server, as it tells of itself.
    pub fn local_identity(&self) -> &MemberIdentity {
        self.swim.identity()
    }

    pub fn connectivity(&self) -> Connectivity {
        self.judgement.level
    }

    pub fn digest(&self) -> u64 {
        self.marks.all
    }

    /// Others that are in.
    pub fn active_count(&self) -> usize {
        self.active
    }

    /// Others that are held down and have not said that they leave.
    pub fn missing(&self) -> usize {
        self.missing
    }

    pub fn is_degraded(&self) -> bool {
        self.health.is_degraded()
    }

    pub fn pause_count(&self) -> u64 {
        self.health.pause_count()
    }

    /// The state of one, by name.
    pub fn member_state(&self, name: &str) -> Option<MemberState> {
        if name == self.set.name {
            return Some(self.own_state());
        }
        self.rows.get(name).map(Row::state)
    }

    fn own_state(&self) -> MemberState {
        match self.local_identity().phase {
            _ if self.aside.is_some() => MemberState::Down,
            Phase::Joining => MemberState::Joining,
            Phase::Joined => MemberState::Alive,
            Phase::Draining => MemberState::Draining,
            Phase::Left => MemberState::Left,
        }
    }

    /// One other that it holds, and how.
    pub fn member(&self, name: &str) -> Option<(&MemberIdentity, MemberState)> {
        self.rows.get(name).map(|r| (&r.id, r.state()))
    }

    /// Those whose place in the view may be another than when this was asked last.
    pub fn take_changed_members(&mut self) -> BTreeSet<CompactString> {
        std::mem::take(&mut self.touched)
    }

    /// All that it holds, by name.
    pub fn view(&self) -> View {
        let now = self.health.now();
        let ms = |at: Timestamp| (now - at).as_micros() / 1_000;
        let own = self.local_identity();
        let of = |id: &MemberIdentity, state, heard: Option<Timestamp>, held_up| MemberView {
            name: id.name.clone(),
            state,
            zone: id.zone.clone(),
            address: id.address,
            incarnation: id.incarnation,
            revision: id.revision,
            last_received_ms: heard.map(ms),
            health_score: held_up,
        };
        let mut members: Vec<MemberView> = self
            .rows
            .values()
            .map(|r| of(&r.id, r.state(), r.heard, r.held_up))
            .collect();
        members.push(of(own, self.own_state(), None, self.health.score()));
        members.sort_by(|a, b| a.name.cmp(&b.name));
        View {
            name: own.name.clone(),
            connectivity: self.judgement,
            since_ms: ms(self.judgement.since),
            last_received_ms: self.last_heard.map(ms),
            digest: self.marks.all,
            members,
        }
    }

    /// What is to be sent, and where to.
    pub fn take_outgoing(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    /// What other parts of those in the view have said to the same parts of this server, with who
    /// did.
    pub fn take_subsystem_messages(&mut self) -> Vec<(CompactString, Subsystem, Vec<u8>)> {
        std::mem::take(&mut self.beside)
    }

    /// Says something of another part to one that is in; as lost as any datagram.
    pub fn send_subsystem_message(&mut self, to: &str, part: Subsystem, words: &[u8]) {
        let Some(address) = self
            .rows
            .get(to)
            .filter(|r| r.active())
            .map(|r| r.id.address)
        else {
            return;
        };
        let from = self.local_identity().clone();
        if from.phase != Phase::Left
            && words.len() <= MAX_SUBSYSTEM_PAYLOAD_BYTES
            && let Ok(body) = encode_body(&SubsystemMessage {
                from,
                subsystem: part,
                payload: words,
            })
        {
            self.send(address, DatagramKind::SubsystemMessage, &body);
        }
    }

    /// What has changed since it was asked last; how many more there were is among the counts.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.changes)
    }

    // --- time

    /// When it has to be told the time next.
    pub fn next_timeout(&self) -> Timestamp {
        let tries = self.tried.as_ref().filter(|t| t.left > 0).map(|t| t.next);
        let own = [
            Some(self.reconnector.next_timeout()),
            self.judgement.next_timeout(),
            self.joins_at(),
            tries,
        ];
        let first = [self.timers.keys().next(), self.last_calls.keys().next()]
            .into_iter()
            .flatten();
        let due = own
            .into_iter()
            .flatten()
            .chain(first.map(|k| k.0))
            .min()
            .unwrap_or_default();
        self.health.to_machine_clock(due)
    }

    fn joins_at(&self) -> Option<Timestamp> {
        self.met
            .filter(|_| self.local_identity().phase == Phase::Joining)
            .map(|at| at + JOINS)
    }

    fn begin(&mut self, now: Timestamp) -> Timestamp {
        let due = Some(self.next_timeout()).filter(|_| self.set.local_health_aware);
        if let Some(late) = self.health.observe(now, due) {
            self.change(MembershipEvent::HeldUp(late));
        }
        self.health.now()
    }

    /// The time has come for what was due.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        let now = self.begin(now);
        let mut later = vec![];
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            let timer = entry.remove();
            let accuses = matches!(
                timer,
                Timer::ProbeRandomMember(_) | Timer::ChangeSuspectToDown { .. }
            );
            if accuses && self.health.is_degraded() {
                later.push(timer);
            } else {
                self.rings(now, timer);
            }
        }
        // What it would conclude from silence waits until it has heard what came while it was held
        // up.
        for timer in later {
            self.set_timer(now + self.set.probe_timeout, timer);
        }
        while let Some(entry) = self.last_calls.first_entry().filter(|e| e.key().0 <= now) {
            let name = entry.remove();
            self.call(&name);
        }
        self.try_again(now);
        self.contact(now);
        self.step_phase(now);
        self.judge(now);
    }

    /// Asks one that is suspected whether it lives, as often as there are suspicions, whatever else
    /// is told; or tells one that is in elsewhere that it is held down here.
    fn call(&mut self, name: &CompactString) {
        let Some(row) = self.rows.get(name) else {
            return;
        };
        let told = match row.held {
            Held::Suspect => Told::Suspect,
            Held::Down if row.id.phase != Phase::Left => Told::Down,
            _ => return,
        };
        let held = Member::new(row.id.clone(), row.incarnation, told);
        self.send_notice(row.id.address, held);
    }

    fn calls_again(&mut self, now: Timestamp, name: CompactString) {
        if self.last_calls.len() + CALLS_AGAIN.len() > AGAIN_MOST {
            return;
        }
        for after in CALLS_AGAIN {
            self.numbered += 1;
            self.last_calls
                .insert((now + after, self.numbered), name.clone());
        }
    }

    fn set_timer(&mut self, at: Timestamp, timer: Timer<MemberIdentity>) {
        self.numbered += 1;
        self.timers.insert((at, self.numbered), timer);
    }

    fn rings(&mut self, now: Timestamp, timer: Timer<MemberIdentity>) {
        let again = timer.clone();
        self.with_swim(now, |swim, wants| swim.handle_timer(timer, wants));
        match again {
            // Foca lets go of suspicions when its own identity changes; the suspected would stay so
            // for ever.
            Timer::ChangeSuspectToDown {
                member_id,
                incarnation,
                ..
            } => {
                let row = self.rows.get(&member_id.name);
                if row.is_some_and(|r| {
                    r.held == Held::Suspect && r.id == member_id && r.incarnation == incarnation
                }) {
                    let down = Member::new(member_id, incarnation, Told::Down);
                    self.with_swim(now, |swim, wants| {
                        swim.apply_many(std::iter::once(down), true, wants)
                    });
                }
            }
            Timer::RemoveDown(id)
                if self
                    .rows
                    .get(&id.name)
                    .is_some_and(|r| !r.active() && r.id == id) =>
            {
                if id.phase != Phase::Left {
                    self.reconnector.record_forgotten(now, id.address);
                }
                self.edit(&id.name, |rows, name| {
                    rows.remove(name);
                });
            }
            _ => {}
        }
    }

    /// Speaks to somebody who is not in.
    fn contact(&mut self, now: Timestamp) {
        if now < self.reconnector.next_timeout() || self.local_identity().phase == Phase::Left {
            return;
        }
        let alone = self.judgement.level != Connectivity::Complete;
        let down: Vec<SocketAddr> = self
            .rows
            .values()
            .filter(|r| !r.active() && r.id.phase != Phase::Left)
            .map(|r| r.id.address)
            .collect();
        let (rows, chance) = (&self.rows, &mut self.rng);
        let is_in = |a| rows.values().any(|r| r.active() && r.id.address == a);
        if let Some(to) = self
            .reconnector
            .pick(now, alone, is_in, &down, || chance.float())
        {
            self.announce(now, to);
        }
    }

    fn announce(&mut self, now: Timestamp, to: SocketAddr) {
        self.with_swim(now, |swim, wants| {
            swim.announce(MemberIdentity::unknown(to), wants)
        });
    }

    fn step_phase(&mut self, now: Timestamp) {
        if self.local_identity().phase != Phase::Joining || self.aside.is_some() {
            return;
        }
        let alone = !self.reconnector.expects_peers() && self.rows.is_empty();
        let met = self
            .met
            .is_some_and(|at| self.roster.is_complete() || now - at >= JOINS);
        if alone || met {
            self.become_id(now, self.local_identity().next_revision(Phase::Joined));
        }
    }

    fn judge(&mut self, now: Timestamp) {
        let evidence = ConnectivityEvidence {
            active: self.active,
            missing: self.missing,
            last_received: self.last_heard,
            expects_peers: self.reconnector.expects_peers() || !self.rows.is_empty(),
            name_conflict: self.aside.is_some(),
        };
        if self.judgement.update(now, evidence) {
            self.change(MembershipEvent::Hears(self.judgement, now));
        }
    }

    // --- the own life

    /// Takes no new work from here on.
    pub fn drain(&mut self, now: Timestamp) {
        let now = self.begin(now);
        if self.local_identity().phase < Phase::Draining {
            self.become_id(now, self.local_identity().next_revision(Phase::Draining));
        }
    }

    /// Goes, and says so to some.
    pub fn leave(&mut self, now: Timestamp) {
        let now = self.begin(now);
        self.become_id(now, self.local_identity().next_revision(Phase::Left));
        self.with_swim(now, |swim, wants| swim.leave_cluster(wants));
        for _ in 1..GOODBYES {
            self.with_swim(now, |swim, wants| swim.gossip(wants));
        }
    }

    fn become_id(&mut self, now: Timestamp, id: MemberIdentity) {
        self.marks
            .flip(&id.name, mark(self.local_identity()) ^ mark(&id));
        self.changed = now;
        self.with_swim(now, |swim, wants| {
            swim.change_identity(id, &mut *wants)?;
            // It goes on with whom it knows.
            swim.apply_many(std::iter::empty(), false, wants)
        });
    }

    /// Another claim to this server's name: the claimant's own word, or what a third says of one.
    fn claimed(&mut self, now: Timestamp, id: &MemberIdentity, down: bool, itself: bool) {
        match judge_claim(self.local_identity(), id, down) {
            ClaimVerdict::Stale => {}
            ClaimVerdict::DeclaredDown => {
                self.counters.identity_renewals += 1;
                let next = self
                    .local_identity()
                    .next_revision(self.local_identity().phase);
                self.change(MembershipEvent::Renewed {
                    turn: next.revision,
                });
                self.become_id(now, next);
            }
            ClaimVerdict::FormerIncarnation { incarnation: life } => {
                if self.aside.take().is_some() {
                    self.change(MembershipEvent::Regained);
                }
                self.change(MembershipEvent::Past { life });
                let own = self.local_identity();
                let past = MemberIdentity {
                    incarnation: life + 1,
                    revision: 0,
                    ..own.clone()
                };
                self.become_id(now, past);
            }
            // A wrong word of a third silences nobody: whoever has the name says so itself, once it
            // is asked.
            ClaimVerdict::NameConflict if !itself => {
                if self.aside.is_none() {
                    self.notice(
                        now,
                        id.address,
                        Member::alive(self.local_identity().clone()),
                    );
                }
            }
            ClaimVerdict::NameConflict if self.aside.is_none() => {
                self.change(MembershipEvent::Taken { by: id.address });
                self.aside = Some(id.address);
                let seed = (self.rng.float() * (1u64 << 53) as f64) as u64;
                let own = self.local_identity().clone();
                self.swim = new_swim(own, &self.set, seed);
                self.timers.clear();
                // They are asked, now and then, whether the name is free.
                for (name, row) in std::mem::take(&mut self.rows) {
                    self.reconnector.record_forgotten(now, row.id.address);
                    self.touched.insert(name);
                }
                (self.active, self.missing, self.marks) = (0, 0, Marks::default());
                let own = self.local_identity().clone();
                self.marks.flip(&own.name, mark(&own));
                self.reconnector.record_loss(now);
            }
            ClaimVerdict::NameConflict => self.aside = Some(id.address),
        }
    }
}
