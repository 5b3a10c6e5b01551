//! The machine: datagrams, time and chance in; datagrams, due times and changes out.

use crate::awake::Awake;
use crate::heard::{Evidence, Hears, Judgement};
use crate::id::{Id, Phase};
use crate::lives::{self, Verdict};
use crate::mend::Mend;
use crate::networks::Networks;
use crate::roster::Roster;
use crate::swim::{self, Chance, Packet, Swim, Wants};
use crate::view::{Change, Held, MemberView, Row, State, View, Why, mark};
use crate::wire::{self, Ask, DATAGRAM_MOST, HEAD, Head, Kind, Notice, Page, STRANGERS, Stranger};
use compact_str::CompactString;
use foca::{Member, Message, OwnedNotification, PostcardCodec, State as Told, Timer};
use madderbay::time::{At, Span};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Notices a tenth of a second at the most: after a long cut each server holds half of the fleet down, and
/// tells them a few at a time.
const NOTICES: u32 = 4;
const NOTICES_IN: Span = Span::millis(100);
/// A server that has met others takes itself for joined after this long, whatever it did not hear yet; one
/// with nobody to meet at once.
const JOINS: Span = Span::millis(3_000);
/// News of more members than this is not passed on: who else lacks it asks for the roster as well.
const PASSED_ON: usize = 16;
/// Changes kept for the log; what is more is counted.
const CHANGES_MOST: usize = 64;
/// Before a suspicion runs out the suspected is asked itself, at these parts of the time that it has: a rumour
/// that it lives may miss some.
const LAST_CALLS: [f64; 2] = [0.35, 0.7];
/// Tries more of a member that has not answered in time.
const TRIES: usize = 2;
/// Those who went down this lately are told of in a roster; who holds them in suspects them then.
const LATELY: Span = Span::millis(20_000);
/// News passed on at a time: beyond, what comes is taken in and not passed on, and rosters carry it.
const RUMOURS: usize = 200;
/// Times that the word of leaving is sent to some.
const GOODBYES: usize = 3;

/// Who this server is, and with whom it speaks.
#[derive(Clone, Debug)]
pub struct Settings {
    pub name: CompactString,
    /// Where others send to.
    pub advertise: SocketAddr,
    pub zone: CompactString,
    /// The fleet's name: others are not heard.
    pub fleet: String,
    /// Addresses to begin with, and to go on trying.
    pub join: Vec<SocketAddr>,
    pub networks: Networks,
    /// Others in the view at the most.
    pub most: usize,
    /// Between two tries of members, until others are asked to try one, and until one that is suspected and
    /// does not refute it is down.
    pub probe: Span,
    pub answer: Span,
    pub suspicion: Span,
    /// How long the dead are remembered.
    pub memory: Span,
    /// Whether its own lateness counts; without, as plain SWIM, it is there to be compared with.
    pub minds_itself: bool,
}

/// Counts since the start.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub heard: u64,
    pub sent: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub strangers: [u64; STRANGERS.len()],
    pub downs: u64,
    pub suspicions: u64,
    pub refuted: u64,
    pub renewed: u64,
    pub notices: u64,
    pub rosters: u64,
    pub untold: u64,
}

pub struct Members {
    set: Settings,
    fleet: u64,
    awake: Awake,
    chance: Chance,
    swim: Swim,
    timers: BTreeMap<(At, u64), Timer<Id>>,
    numbered: u64,
    /// Suspected servers that are to be asked themselves.
    last_calls: BTreeMap<(At, u64), CompactString>,
    /// Its own, as foca counts it.
    incarnation: u16,
    /// The probe that was tried again last.
    tried: (CompactString, u8),
    rows: BTreeMap<CompactString, Row>,
    active: usize,
    missing: usize,
    digest: u64,
    /// When the own view changed last.
    changed: At,
    last_heard: Option<At>,
    judgement: Judgement,
    mend: Mend,
    roster: Roster,
    /// When others were first met.
    met: Option<At>,
    /// Who has this server's name, if another has.
    aside: Option<SocketAddr>,
    notices: (At, u32),
    told_to: u8,
    out: Vec<(SocketAddr, Vec<u8>)>,
    changes: Vec<Change>,
    pub counts: Counts,
}

impl Members {
    /// `now` is the own monotonic clock's; `unix_ms` only tells this life from others.
    pub fn new(now: At, unix_ms: u64, seed: u64, set: Settings) -> Members {
        let id = Id {
            name: set.name.clone(),
            address: set.advertise,
            zone: set.zone.clone(),
            life: unix_ms,
            turn: 0,
            phase: Phase::Joining,
        };
        let mut awake = Awake::default();
        awake.wake(now, None);
        Members {
            fleet: wire::fleet(&set.fleet),
            awake,
            chance: Chance::new(seed ^ 1),
            digest: mark(&id),
            swim: Swim::new(id, config(&set, 0), Chance::new(seed), PostcardCodec),
            timers: BTreeMap::new(),
            numbered: 0,
            last_calls: BTreeMap::new(),
            incarnation: 0,
            tried: (CompactString::default(), 0),
            rows: BTreeMap::new(),
            active: 0,
            missing: 0,
            changed: now,
            last_heard: None,
            judgement: Judgement::new(now),
            mend: Mend::new(now, &set.join, set.advertise),
            roster: Roster::new(now),
            met: None,
            aside: None,
            notices: (now, 0),
            told_to: 0,
            out: vec![],
            changes: vec![],
            counts: Counts::default(),
            set,
        }
    }

    /// This server, as it tells of itself.
    pub fn own(&self) -> &Id {
        self.swim.identity()
    }

    pub fn hears(&self) -> Hears {
        self.judgement.hears
    }

    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Others that are in.
    pub fn active(&self) -> usize {
        self.active
    }

    pub fn held_up(&self) -> bool {
        self.awake.held_up()
    }

    pub fn pauses(&self) -> u64 {
        self.awake.pauses
    }

    /// The state of one, by name.
    pub fn state(&self, name: &str) -> Option<State> {
        if name == self.set.name {
            return Some(self.own_state());
        }
        self.rows.get(name).map(Row::state)
    }

    fn own_state(&self) -> State {
        match self.own().phase {
            _ if self.aside.is_some() => State::Down,
            Phase::Joining => State::Joining,
            Phase::In => State::Alive,
            Phase::Draining => State::Draining,
            Phase::Left => State::Left,
        }
    }

    /// All that it holds, by name.
    pub fn view(&self) -> View {
        let now = self.awake.now();
        let ms = |at: At| (now - at).as_micros() / 1_000;
        let own = self.own();
        let of = |id: &Id, state, heard: Option<At>, held_up| MemberView {
            name: id.name.clone(),
            state,
            zone: id.zone.clone(),
            address: id.address,
            life: id.life,
            turn: id.turn,
            heard_ms: heard.map(ms),
            held_up,
        };
        let mut members: Vec<MemberView> =
            self.rows.values().map(|r| of(&r.id, r.state(), r.heard, r.held_up)).collect();
        members.push(of(own, self.own_state(), None, self.awake.told()));
        members.sort_by(|a, b| a.name.cmp(&b.name));
        View {
            name: own.name.clone(),
            judgement: self.judgement,
            since_ms: ms(self.judgement.since),
            last_ms: self.last_heard.map(ms),
            digest: self.digest,
            members,
        }
    }

    /// What is to be sent, and where to.
    pub fn outgoing(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    /// What has changed since it was asked last; how many more there were is among the counts.
    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    // --- time

    /// When it has to be told the time next.
    pub fn due(&self) -> At {
        let own = [Some(self.mend.due()), self.judgement.due(), self.joins_at()];
        let first = [self.timers.keys().next(), self.last_calls.keys().next()].into_iter().flatten();
        let due = own.into_iter().flatten().chain(first.map(|k| k.0)).min().unwrap_or_default();
        self.awake.outside(due)
    }

    fn joins_at(&self) -> Option<At> {
        self.met.filter(|_| self.own().phase == Phase::Joining).map(|at| at + JOINS)
    }

    fn begin(&mut self, now: At) -> At {
        let due = Some(self.due()).filter(|_| self.set.minds_itself);
        if let Some(late) = self.awake.wake(now, due) {
            self.change(Change::HeldUp(late));
        }
        self.awake.now()
    }

    /// The time has come for what was due.
    pub fn turn(&mut self, now: At) {
        let now = self.begin(now);
        let mut later = vec![];
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            let timer = entry.remove();
            let accuses = matches!(timer, Timer::ProbeRandomMember(_) | Timer::ChangeSuspectToDown { .. });
            if accuses && self.awake.held_up() {
                later.push(timer);
            } else {
                self.rings(now, timer);
            }
        }
        // What it would conclude from silence waits until it has heard what came while it was held up.
        for timer in later {
            self.set_timer(now + self.set.answer, timer);
        }
        while let Some(entry) = self.last_calls.first_entry().filter(|e| e.key().0 <= now) {
            let name = entry.remove();
            self.call(now, &name);
        }
        self.contact(now);
        self.step_phase(now);
        self.judge(now);
    }

    /// Asks one that is suspected whether it lives.
    fn call(&mut self, now: At, name: &CompactString) {
        if let Some(row) = self.rows.get(name).filter(|r| r.held == Held::Suspect) {
            let held = Member::new(row.id.clone(), row.incarnation, Told::Suspect);
            self.notice(now, row.id.address, held);
        }
    }

    fn set_timer(&mut self, at: At, timer: Timer<Id>) {
        self.numbered += 1;
        self.timers.insert((at, self.numbered), timer);
    }

    fn rings(&mut self, now: At, timer: Timer<Id>) {
        let again = timer.clone();
        self.with_swim(now, |swim, wants| swim.handle_timer(timer, wants));
        match again {
            // Foca lets go of suspicions when its own identity changes; the suspected would stay so for ever.
            Timer::ChangeSuspectToDown { member_id, incarnation, .. } => {
                let row = self.rows.get(&member_id.name);
                if row.is_some_and(|r| {
                    r.held == Held::Suspect && r.id == member_id && r.incarnation == incarnation
                }) {
                    let down = Member::new(member_id, incarnation, Told::Down);
                    self.with_swim(now, |swim, wants| swim.apply_many(std::iter::once(down), true, wants));
                }
            }
            Timer::RemoveDown(id) if self.rows.get(&id.name).is_some_and(|r| !r.active() && r.id == id) => {
                if id.phase != Phase::Left {
                    self.mend.forgotten(now, id.address);
                }
                self.edit(&id.name, |rows, name| {
                    rows.remove(name);
                });
            }
            _ => {}
        }
    }

    /// Speaks to somebody who is not in.
    fn contact(&mut self, now: At) {
        if now < self.mend.due() || self.own().phase == Phase::Left {
            return;
        }
        let alone = self.judgement.hears != Hears::Whole;
        let down: Vec<SocketAddr> = self
            .rows
            .values()
            .filter(|r| !r.active() && r.id.phase != Phase::Left)
            .map(|r| r.id.address)
            .collect();
        let (rows, chance) = (&self.rows, &mut self.chance);
        let is_in = |a| rows.values().any(|r| r.active() && r.id.address == a);
        if let Some(to) = self.mend.pick(now, alone, is_in, &down, || chance.float()) {
            self.announce(now, to);
        }
    }

    fn announce(&mut self, now: At, to: SocketAddr) {
        self.with_swim(now, |swim, wants| swim.announce(Id::whoever(to), wants));
    }

    fn step_phase(&mut self, now: At) {
        if self.own().phase != Phase::Joining || self.aside.is_some() {
            return;
        }
        let alone = !self.mend.expects_others() && self.rows.is_empty();
        let met = self.met.is_some_and(|at| self.roster.whole || now - at >= JOINS);
        if alone || met {
            self.become_id(now, self.own().next(Phase::In));
        }
    }

    fn judge(&mut self, now: At) {
        let evidence = Evidence {
            active: self.active,
            missing: self.missing,
            last: self.last_heard,
            others: self.mend.expects_others() || !self.rows.is_empty(),
            aside: self.aside.is_some(),
        };
        if self.judgement.judge(now, evidence) {
            self.change(Change::Hears(self.judgement, now));
        }
    }

    // --- the own life

    /// Takes no new work from here on.
    pub fn drain(&mut self, now: At) {
        let now = self.begin(now);
        if self.own().phase < Phase::Draining {
            self.become_id(now, self.own().next(Phase::Draining));
        }
    }

    /// Goes, and says so to some.
    pub fn leave(&mut self, now: At) {
        let now = self.begin(now);
        self.become_id(now, self.own().next(Phase::Left));
        self.with_swim(now, |swim, wants| swim.leave_cluster(wants));
        for _ in 1..GOODBYES {
            self.with_swim(now, |swim, wants| swim.gossip(wants));
        }
    }

    fn become_id(&mut self, now: At, id: Id) {
        self.digest ^= mark(self.own()) ^ mark(&id);
        self.changed = now;
        self.with_swim(now, |swim, wants| {
            swim.change_identity(id, &mut *wants)?;
            // It goes on with whom it knows.
            swim.apply_many(std::iter::empty(), false, wants)
        });
    }

    /// Another claim to this server's name.
    fn claimed(&mut self, now: At, id: &Id, down: bool) {
        match lives::judge(self.own(), id, down) {
            Verdict::Older => {}
            Verdict::HeldDown => {
                self.counts.renewed += 1;
                let next = self.own().next(self.own().phase);
                self.change(Change::Renewed { turn: next.turn });
                self.become_id(now, next);
            }
            Verdict::Past(life) => {
                if self.aside.take().is_some() {
                    self.change(Change::Regained);
                }
                self.change(Change::Past { life });
                let own = self.own();
                let past = Id { life: life + 1, turn: 0, ..own.clone() };
                self.become_id(now, past);
            }
            Verdict::Taken if self.aside.is_none() => {
                self.change(Change::Taken { by: id.address });
                self.aside = Some(id.address);
                let seed = (self.chance.float() * (1u64 << 53) as f64) as u64;
                let own = self.own().clone();
                self.swim = Swim::new(own, config(&self.set, 0), Chance::new(seed), PostcardCodec);
                self.timers.clear();
                self.rows.clear();
                (self.active, self.missing, self.digest) = (0, 0, mark(self.own()));
                self.mend.lost(now);
            }
            Verdict::Taken => self.aside = Some(id.address),
        }
    }

    // --- what comes

    /// A datagram came from somewhere.
    pub fn received(&mut self, now: At, from: SocketAddr, bytes: &[u8]) {
        let now = self.begin(now);
        self.counts.heard += 1;
        self.counts.bytes_in += bytes.len() as u64;
        let heard = if self.set.networks.holds(from.ip()) {
            wire::read(bytes, self.fleet).and_then(|(head, body)| self.hear(now, head, body))
        } else {
            Err(Stranger::Network)
        };
        if let Err(why) = heard {
            self.stranger(why);
        }
        self.step_phase(now);
        self.judge(now);
    }

    fn stranger(&mut self, why: Stranger) {
        let at = STRANGERS.iter().position(|s| s.0 == why).unwrap_or_default();
        self.counts.strangers[at] += 1;
    }

    fn hear(&mut self, now: At, head: Head, body: &[u8]) -> Result<(), Stranger> {
        if self.own().phase == Phase::Left {
            return Ok(());
        }
        let from = match head.kind {
            Kind::Swim => self.hear_swim(now, head, body)?,
            Kind::Notice => {
                let notice: Notice = wire::body(body)?;
                self.noticed(now, &notice)?;
                notice.from
            }
            Kind::Ask => {
                let ask: Ask = wire::body(body)?;
                self.meets(now, &ask.from)?;
                self.send_page(&ask);
                ask.from
            }
            Kind::Page => {
                let page: Page = wire::body(body)?;
                let from = page.from.clone();
                self.meets(now, &from)?;
                self.read_page(now, page);
                from
            }
        };
        let Some(row) = self.rows.get_mut(&from.name).filter(|r| r.active() && r.id == from) else {
            return Ok(());
        };
        row.heard = Some(now);
        row.held_up = head.held_up;
        self.last_heard = Some(now);
        let suspect = (row.held == Held::Suspect).then_some(row.incarnation);
        if let Some(incarnation) = suspect {
            // It speaks, so it can refute what is said of it.
            self.notice(now, from.address, Member::new(from.clone(), incarnation, Told::Suspect));
        }
        if head.digest == self.digest {
            self.roster.whole = true;
        } else if from.phase != Phase::Left {
            let draw = self.chance.float();
            if self.roster.differs(now, &from, self.changed, draw) {
                self.counts.rosters += 1;
                self.ask(&from, CompactString::default());
            }
        }
        Ok(())
    }

    /// Who a datagram says that it is from: whether it is to be heard at all.
    fn meets(&mut self, now: At, from: &Id) -> Result<(), Stranger> {
        if !from.is_sound() {
            return Err(Stranger::Body);
        }
        if !self.set.networks.holds(from.address.ip()) {
            return Err(Stranger::Network);
        }
        if from.name == self.set.name {
            self.claimed(now, from, false);
            if self.aside.is_none() && from.address != self.set.advertise {
                // Whoever has the older claim gives way once it knows.
                self.notice(now, from.address, Member::alive(self.own().clone()));
            }
            return Err(Stranger::Outlived);
        }
        match self.rows.get(&from.name) {
            None if self.rows.len() >= self.set.most => Err(Stranger::Full),
            None => Ok(()),
            Some(row) => {
                let older = (from.version(), from.address) < (row.id.version(), row.id.address);
                let down = !row.active() && row.id == *from;
                if !older && !down {
                    return Ok(());
                }
                if from.phase != Phase::Left {
                    let held = if row.active() { Told::Alive } else { Told::Down };
                    let held = Member::new(row.id.clone(), row.incarnation, held);
                    self.notice(now, from.address, held);
                }
                Err(Stranger::Outlived)
            }
        }
    }

    fn hear_swim(&mut self, now: At, head: Head, body: &[u8]) -> Result<Id, Stranger> {
        let mut packet = swim::read(body)?;
        let from = packet.header.src.clone();
        let own = self.own().clone();
        let to = &packet.header.dst;
        let announced = packet.header.message == Message::Announce;
        if !(to.name == own.name || to.name.is_empty() && announced) {
            return Err(Stranger::Misdirected);
        }
        if self.aside.is_some() {
            // Only who takes this server's own word for its name is heard.
            if *to != own || packet.header.message != Message::Feed || from.name == own.name {
                return Err(Stranger::Misdirected);
            }
            self.aside = None;
            self.change(Change::Regained);
        }
        packet.header.dst = own;
        if let Message::PingReq { target: other, .. }
        | Message::IndirectPing { origin: other, .. }
        | Message::IndirectAck { target: other, .. }
        | Message::ForwardedAck { origin: other, .. } = &packet.header.message
            && !(other.is_sound() && self.set.networks.holds(other.address.ip()))
        {
            return Err(Stranger::Network);
        }
        self.meets(now, &from)?;
        let held_up = head.held_up > 0;
        let members = std::mem::take(&mut packet.members);
        packet.members = members.into_iter().filter_map(|m| self.weigh(now, m, held_up)).collect();
        if from.phase == Phase::Left {
            packet.members.push(Member::down(from.clone()));
        }
        let words: Vec<(Id, u16, Told)> =
            packet.members.iter().map(|m| (m.id().clone(), m.incarnation(), m.state())).collect();
        let incarnation = packet.header.src_incarnation;
        if self.swim.updates_backlog() > RUMOURS {
            let news = std::mem::take(&mut packet.members);
            self.with_swim(now, |swim, wants| swim.apply_many(news.into_iter(), false, wants));
        }
        let bytes = swim::write(&packet);
        self.with_swim(now, |swim, wants| swim.handle_data(&bytes, wants));
        self.word(now, &from, incarnation, Told::Alive);
        for (id, incarnation, told) in words {
            self.word(now, &id, incarnation, told);
        }
        Ok(from)
    }

    /// What another says of a third: as it may be believed, or nothing.
    fn weigh(&mut self, now: At, m: Member<Id>, held_up: bool) -> Option<Member<Id>> {
        let id = m.id();
        if !id.is_sound() || !self.set.networks.holds(id.address.ip()) {
            self.stranger(Stranger::Network);
            return None;
        }
        if id.name == self.set.name {
            if id == self.own() && m.state() == Told::Suspect {
                return Some(m);
            }
            self.claimed(now, &id.clone(), m.state() == Told::Down);
            return None;
        }
        let accuses = m.state() != Told::Alive && id.phase != Phase::Left;
        if accuses && held_up {
            return None;
        }
        let suspect = |id: &Id, incarnation| Some(Member::new(id.clone(), incarnation, Told::Suspect));
        let Some(row) = self.rows.get(&id.name) else {
            if m.state() == Told::Down {
                return None;
            }
            if self.rows.len() >= self.set.most {
                self.stranger(Stranger::Full);
                return None;
            }
            return Some(m);
        };
        let (version, known) = ((id.version(), id.address), (row.id.version(), row.id.address));
        // Nobody is down by hearsay: each server lets its own suspicion run out, so that no wrong word
        // becomes everyone's; who leaves says so itself.
        match (version.cmp(&known), row.active(), m.state()) {
            (std::cmp::Ordering::Less, ..) => None,
            (std::cmp::Ordering::Greater, true, Told::Down) if accuses => suspect(id, m.incarnation()),
            (std::cmp::Ordering::Greater, ..) => Some(m),
            (_, true, Told::Down) if accuses => {
                let incarnation = row.incarnation;
                if row.held == Held::Suspect { None } else { suspect(id, incarnation) }
            }
            (_, false, Told::Alive | Told::Suspect) => {
                // Others have it in: if it lives it is to know that this server holds it down.
                let held = Member::new(id.clone(), row.incarnation, Told::Down);
                let to = id.address;
                if row.id.phase != Phase::Left {
                    self.notice(now, to, held);
                }
                None
            }
            (_, false, Told::Down) => None,
            // What is known costs nothing more: most of what rumours say was said before.
            (std::cmp::Ordering::Equal, true, Told::Alive) => {
                (m.incarnation() > row.incarnation).then_some(m)
            }
            (std::cmp::Ordering::Equal, true, Told::Suspect) => {
                let newer = match row.held {
                    Held::Suspect => m.incarnation() > row.incarnation,
                    _ => m.incarnation() >= row.incarnation,
                };
                newer.then_some(m)
            }
            _ => Some(m),
        }
    }

    /// What was believed of somebody, where it begins or ends a suspicion. Foca lets only those who tried a
    /// member themselves wait for its refutation; here each who hears of it waits on its own clock.
    fn word(&mut self, now: At, id: &Id, incarnation: u16, told: Told) {
        let Some(row) = self.rows.get_mut(&id.name).filter(|r| r.id == *id && r.active()) else { return };
        let newer = incarnation > row.incarnation;
        match (told, row.held) {
            (Told::Suspect, Held::In) if incarnation >= row.incarnation => {
                self.suspected(now, id, incarnation);
                let (member_id, token) = (id.clone(), 0);
                let timer = Timer::ChangeSuspectToDown { member_id, incarnation, token };
                self.set_timer(now + self.set.suspicion, timer);
            }
            (Told::Alive, Held::Suspect) if newer => {
                (row.held, row.since, row.incarnation) = (Held::In, now, incarnation);
                let (address, to) = (row.id.address, row.state());
                self.counts.refuted += 1;
                self.member(&id.name, address, Some(State::Suspect), to, Why::Refuted);
            }
            _ => row.incarnation = row.incarnation.max(incarnation),
        }
    }

    /// What another holds under this server's name.
    fn noticed(&mut self, now: At, notice: &Notice) -> Result<(), Stranger> {
        let held = &notice.held;
        if *held.id() == notice.from && held.state() == Told::Alive {
            // Asked whether it lives, it does.
            self.meets(now, &notice.from)?;
            let word = std::iter::once(held.clone());
            self.with_swim(now, |swim, wants| swim.apply_many(word, true, wants));
            self.word(now, &notice.from, held.incarnation(), Told::Alive);
            return Ok(());
        }
        if !notice.from.is_sound() || !held.id().is_sound() {
            return Err(Stranger::Body);
        }
        if !self.set.networks.holds(notice.from.address.ip()) {
            return Err(Stranger::Network);
        }
        if held.id().name != self.set.name {
            return Err(Stranger::Misdirected);
        }
        if held.id() == self.own() && held.state() == Told::Suspect {
            let held = held.clone();
            self.with_swim(now, |swim, wants| swim.apply_many(std::iter::once(held), false, wants));
            let word = Member::new(self.own().clone(), self.incarnation, Told::Alive);
            self.notice(now, notice.from.address, word);
            return Ok(());
        }
        let before = self.own().version();
        self.claimed(now, held.id(), held.state() == Told::Down);
        if self.own().version() != before && notice.from.name != self.set.name {
            // Said at once to who held it down.
            self.announce(now, notice.from.address);
        }
        Ok(())
    }

    // --- what goes out

    fn with_swim(&mut self, now: At, act: impl FnOnce(&mut Swim, &mut Wants) -> Result<(), foca::Error>) {
        let mut wants = Wants::default();
        // What it does not take is of no use here: what can come in was read before.
        let _ = act(&mut self.swim, &mut wants);
        if let Some(Ok(packet)) = wants.sends.first().map(|s| swim::read(&s.1)) {
            self.incarnation = packet.header.src_incarnation;
        }
        for told in wants.told {
            self.told(now, told);
        }
        for (after, timer) in wants.timers {
            if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = &timer {
                self.suspected(now, member_id, *incarnation);
            }
            self.set_timer(now + after, timer);
        }
        for (to, body) in wants.sends {
            if let Some((target, number)) = swim::asks_to_try(&body) {
                self.try_again(target, number);
            }
            self.send(to.address, Kind::Swim, &body);
        }
    }

    /// A member that has not answered is tried again by this server, beside those it asks: a datagram is more
    /// often lost than a server.
    fn try_again(&mut self, target: Id, number: u8) {
        if self.tried == (target.name.clone(), number) {
            return;
        }
        self.tried = (target.name.clone(), number);
        let to = target.address;
        let body = swim::ping(self.own().clone(), self.incarnation, target, number);
        for _ in 0..TRIES {
            self.send(to, Kind::Swim, &body);
        }
    }

    fn told(&mut self, now: At, told: OwnedNotification<Id>) {
        match told {
            OwnedNotification::MemberUp(id) => self.up(now, id),
            OwnedNotification::MemberDown(id) => {
                let Some(row) = self.rows.get(&id.name) else { return };
                let (before, heard) = (row.state(), row.heard.map(|at| now - at));
                self.edit(&id.name, |rows, name| {
                    if let Some(row) = rows.get_mut(name) {
                        (row.held, row.since, row.id) = (Held::Down, now, id.clone());
                    }
                });
                self.changed = now;
                if id.phase == Phase::Left {
                    return self.member(&id.name, id.address, Some(before), State::Left, Why::Said);
                }
                self.counts.downs += 1;
                self.mend.lost(now);
                let why = Why::Unrefuted { heard };
                self.member(&id.name, id.address, Some(before), State::Down, why);
            }
            OwnedNotification::Rename(old, new) => {
                let Some(row) = self.rows.get(&old.name) else { return };
                let (before, active) = (row.state(), row.active());
                self.edit(&new.name, |rows, name| {
                    if let Some(row) = rows.get_mut(name) {
                        (row.incarnation, row.heard) = (0, row.heard.filter(|_| row.id.life == new.life));
                        row.id = new.clone();
                        if row.held == Held::Suspect {
                            row.held = Held::In;
                        }
                    }
                });
                self.changed = now;
                let to = self.rows.get(&new.name).map_or(State::Alive, Row::state);
                if new.life != old.life {
                    let why = Why::NewLife { from: old.life, to: new.life };
                    self.member(&new.name, new.address, Some(before), to, why);
                } else if active && before != to {
                    self.member(&new.name, new.address, Some(before), to, Why::Said);
                }
            }
            // Held down by a rumour that foca has answered with another turn.
            OwnedNotification::Rejoin(id) => {
                self.counts.renewed += 1;
                self.change(Change::Renewed { turn: id.turn });
            }
            OwnedNotification::Active => self.met = self.met.or(Some(now)),
            _ => {}
        }
    }

    fn up(&mut self, now: At, id: Id) {
        let before = self.rows.get(&id.name).map(Row::state);
        self.edit(&id.name, |rows, name| {
            let row = rows.entry(name.clone()).or_insert_with(|| Row {
                id: id.clone(),
                incarnation: 0,
                held: Held::In,
                since: now,
                heard: None,
                held_up: 0,
            });
            (row.id, row.held, row.since) = (id.clone(), Held::In, now);
        });
        self.changed = now;
        let to = self.rows.get(&id.name).map_or(State::Alive, Row::state);
        let why = if before.is_some() { Why::Lives } else { Why::Met };
        if before != Some(to) {
            self.member(&id.name, id.address, before, to, why);
        }
        self.set_swim();
    }

    /// News is told the more often the larger the fleet.
    fn set_swim(&mut self) {
        let config = config(&self.set, self.active);
        let told_to = config.max_transmissions.get();
        if std::mem::replace(&mut self.told_to, told_to) != told_to {
            let _ = self.swim.set_config(config);
        }
    }

    fn suspected(&mut self, now: At, id: &Id, incarnation: u16) {
        let Some(row) = self.rows.get_mut(&id.name).filter(|r| r.id == *id && r.active()) else { return };
        let before = row.state();
        (row.held, row.since, row.incarnation) = (Held::Suspect, now, incarnation);
        let heard = row.heard.map(|at| now - at);
        self.counts.suspicions += 1;
        for part in LAST_CALLS {
            self.numbered += 1;
            self.last_calls.insert((now + self.set.suspicion.times(part), self.numbered), id.name.clone());
        }
        if before != State::Suspect {
            let why = Why::Unanswered { heard };
            self.member(&id.name, id.address, Some(before), State::Suspect, why);
        }
    }

    /// Changes a row, and all that is summed up over them with it.
    fn edit(
        &mut self, name: &CompactString, act: impl FnOnce(&mut BTreeMap<CompactString, Row>, &CompactString),
    ) {
        let weight = |row: Option<&Row>| {
            let missing = row.is_some_and(|r| r.state() == State::Down);
            let active = row.is_some_and(Row::active);
            (usize::from(active), usize::from(missing), row.map_or(0, Row::mark))
        };
        let before = weight(self.rows.get(name));
        act(&mut self.rows, name);
        let after = weight(self.rows.get(name));
        self.active = self.active + after.0 - before.0;
        self.missing = self.missing + after.1 - before.1;
        self.digest ^= before.2 ^ after.2;
    }

    fn change(&mut self, what: Change) {
        if self.changes.len() < CHANGES_MOST {
            self.changes.push(what);
        } else {
            self.counts.untold += 1;
        }
    }

    fn member(
        &mut self, name: &CompactString, address: SocketAddr, from: Option<State>, to: State, why: Why,
    ) {
        self.change(Change::Member { name: name.clone(), address, from, to, why });
    }

    fn send(&mut self, to: SocketAddr, kind: Kind, body: &[u8]) {
        if to == self.set.advertise || !self.set.networks.holds(to.ip()) {
            return;
        }
        let head = Head { kind, digest: self.digest, held_up: self.awake.told() };
        let bytes = wire::write(head, self.fleet, body);
        self.counts.sent += 1;
        self.counts.bytes_out += bytes.len() as u64;
        self.out.push((to, bytes));
    }

    fn notice(&mut self, now: At, to: SocketAddr, held: Member<Id>) {
        if now - self.notices.0 >= NOTICES_IN {
            self.notices = (now, 0);
        }
        self.notices.1 += 1;
        if self.notices.1 > NOTICES {
            return;
        }
        self.counts.notices += 1;
        if let Some(body) = wire::bytes(&Notice { from: self.own().clone(), held }) {
            self.send(to, Kind::Notice, &body);
        }
    }

    fn ask(&mut self, from: &Id, after: CompactString) {
        if let Some(body) = wire::bytes(&Ask { from: self.own().clone(), after }) {
            self.send(from.address, Kind::Ask, &body);
        }
    }

    /// The next of those in the view past a name, as many as a datagram holds.
    fn send_page(&mut self, ask: &Ask) {
        let past = (std::ops::Bound::Excluded(&ask.after), std::ops::Bound::Unbounded);
        let room = DATAGRAM_MOST - HEAD;
        let mut page = Page { from: self.own().clone(), members: vec![], last: true };
        let mut size = wire::bytes(&page).map_or(room, |b| b.len() + 2);
        let now = self.awake.now();
        let lately = |r: &&Row| r.active() || r.id.phase != Phase::Left && now - r.since < LATELY;
        for row in self.rows.range::<CompactString, _>(past).map(|r| r.1).filter(lately) {
            let told = match row.held {
                Held::In => Told::Alive,
                Held::Suspect => Told::Suspect,
                Held::Down => Told::Down,
            };
            let member = Member::new(row.id.clone(), row.incarnation, told);
            size += wire::bytes(&member).map_or(room, |b| b.len());
            if size > room {
                page.last = false;
                break;
            }
            page.members.push(member);
        }
        if let Some(body) = wire::bytes(&page) {
            self.send(ask.from.address, Kind::Page, &body);
        }
    }

    fn read_page(&mut self, now: At, page: Page) {
        if self.roster.due(&page.from).is_none() {
            return;
        }
        let last_name = page.members.last().map(|m| m.id().name.clone());
        let weighed: Vec<Member<Id>> =
            page.members.into_iter().filter_map(|m| self.weigh(now, m, false)).collect();
        let words: Vec<(Id, u16, Told)> =
            weighed.iter().map(|m| (m.id().clone(), m.incarnation(), m.state())).collect();
        let before = self.changed;
        let known = |id: &Id| self.rows.get(&id.name).is_some_and(|r| r.active() && r.id == *id);
        let new = words.iter().filter(|w| !known(&w.0)).count();
        let passed_on = new <= PASSED_ON;
        self.with_swim(now, |swim, wants| swim.apply_many(weighed.into_iter(), passed_on, wants));
        for (id, incarnation, told) in words {
            self.word(now, &id, incarnation, told);
        }
        if !passed_on {
            // Its own reading is no news under way.
            self.changed = before;
        }
        if let Some(after) = self.roster.page(now, last_name.as_ref(), page.last, new) {
            self.ask(&page.from, after);
        }
    }
}

fn config(set: &Settings, members: usize) -> foca::Config {
    swim::config(members, set.probe, set.answer, set.suspicion, set.memory, DATAGRAM_MOST - HEAD)
}

/// The kind of a datagram and who it is from, where it is one of that fleet's.
pub fn glance(bytes: &[u8], fleet: &str) -> Option<(Kind, Id)> {
    let (head, body) = wire::read(bytes, wire::fleet(fleet)).ok()?;
    let from = match head.kind {
        Kind::Swim => {
            let Packet { header, .. } = swim::read(body).ok()?;
            header.src
        }
        Kind::Notice => wire::body::<Notice>(body).ok()?.from,
        Kind::Ask => wire::body::<Ask>(body).ok()?.from,
        Kind::Page => wire::body::<Page>(body).ok()?.from,
    };
    Some((head.kind, from))
}
