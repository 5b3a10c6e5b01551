//! The machine: calls and their ends, the view, datagrams, time and chance in; whom to call, datagrams, due times
//! and changes out.

use crate::backend::{Backend, Grounds, State, patience, slow};
use crate::backend_group::{Group, Light};
use crate::gossip::codec::{self as wire, BackendReport, EIGHTH, GossipMessage};
use crate::gossip::reports::{Heard, Said};
use crate::outlier::call_history::AttemptOutcome;
use compact_str::CompactString;
use madderbay::time::{Duration, Timestamp};
use madderbay_membership::MAX_SUBSYSTEM_PAYLOAD_BYTES;
use oorandom::Rand64;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;

/// Between two judgements of all, and after a call that went wrong.
const LOOK: Duration = Duration::from_millis(100);
const LOOK_SOON: Duration = Duration::from_millis(10);
/// Between two words to others, drawn from three quarters to five quarters of it; to so many at a time.
const SAY: Duration = Duration::from_millis(250);
const SAY_TO: usize = 8;
/// A call that went wrong is told of sooner: after this, and so long after the last word at the least.
const SAY_SOON: Duration = Duration::from_millis(20);
const SAY_LEAST: Duration = Duration::from_millis(100);
/// Own evidence under this is not spoken of.
const WORTH_SAYING: f64 = 0.3;
/// Lines in one datagram: they fit.
const LINES_MOST: usize = 80;
/// What others say of their repeats counts for so long.
const REPEATS_FOR: Duration = Duration::from_millis(5_000);
/// A witness that finds more than this part of what it saw bad speaks of itself, from so many backends on.
const ITS_OWN: f64 = 0.5;
const ITS_OWN_SEEN: u16 = 3;
/// Changes kept for the log.
const CHANGES_MOST: usize = 64;
/// The part of the patience with a call under which its silence says nothing.
const SILENT_EARLY: f64 = 0.3;
/// Attempts followed at one backend: more than a server has runs.
const IN_HAND_MOST: usize = 100_000;

/// One backend as the operator set it.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendSettings {
    pub name: CompactString,
    pub address: SocketAddr,
    pub zone: CompactString,
    pub weight: f64,
    /// Those with the same handlers form a group.
    pub handlers: Vec<usize>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This server's own; empty where all are as near.
    pub zone: CompactString,
    /// The part of a group that may be left out.
    pub max_ejected_fraction: f64,
    /// The part of the near ones that has to be in for all calls to stay near.
    pub min_local_fraction: f64,
    /// Repeats, second tries among them, for each first try.
    pub retry_ratio: f64,
    pub hedging: bool,
    /// Whether others are told and heard.
    pub gossip: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            zone: CompactString::default(),
            max_ejected_fraction: 0.3,
            min_local_fraction: 0.7,
            retry_ratio: 0.1,
            hedging: true,
            gossip: true,
        }
    }
}

/// Why a call has one more attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryKind {
    /// At once, elsewhere.
    OtherBackend,
    /// Beside one that is still out.
    Hedge,
    /// After a while, elsewhere if there is anywhere else.
    AfterBackoff,
}

/// One attempt: where it went, and since when.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamAttempt {
    pub backend: usize,
    pub address: SocketAddr,
    handler: usize,
    number: u64,
    pub started_at: Timestamp,
}

/// A change worth a line in the log.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendEvent {
    Ejected {
        name: CompactString,
        grounds: Grounds,
        until: Duration,
    },
    StateChanged {
        name: CompactString,
        from: State,
        to: State,
    },
    /// Most of a group looks bad, or no longer does; named after its first backend.
    PanicModeChanged {
        name: CompactString,
        on: bool,
        bad: usize,
        of: usize,
    },
    ConfigurationChanged {
        name: CompactString,
        there: bool,
    },
}

impl fmt::Display for BackendEvent {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            BackendEvent::Ejected {
                name,
                grounds,
                until,
            } => {
                write!(
                    f,
                    "{name}: ejected for {:.1} s: {grounds}",
                    until.as_secs_f64()
                )
            }
            BackendEvent::StateChanged { name, from, to } => write!(f, "{name}: {from} to {to}"),
            BackendEvent::PanicModeChanged {
                name,
                on: true,
                bad,
                of,
            } => {
                write!(
                    f,
                    "group of {name}: {bad} of {of} look bad; nobody is left out"
                )
            }
            BackendEvent::PanicModeChanged { name, bad, of, .. } => {
                write!(
                    f,
                    "group of {name}: {bad} of {of} look bad; the worst are left out again"
                )
            }
            BackendEvent::ConfigurationChanged { name, there: true } => write!(f, "{name}: set"),
            BackendEvent::ConfigurationChanged { name, .. } => write!(f, "{name}: no longer set"),
        }
    }
}

/// One backend as it stands, for who asks.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendStatus {
    pub name: CompactString,
    pub address: SocketAddr,
    pub zone: CompactString,
    pub state: State,
    /// Its part of what it would have by the operator's word.
    pub weight: f64,
    /// Calls of late, good and bad.
    pub observed: f64,
    pub failures: f64,
    pub in_flight: usize,
    pub typical_latency: Option<Duration>,
    pub witnesses: usize,
    pub gossip_failures: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    pub first_attempts: u64,
    pub retries: u64,
    /// Repeats that were wanted and not within the budget.
    pub retries_over_budget: u64,
    pub hedges: u64,
    pub ejections: u64,
    pub datagrams_received: u64,
    pub datagrams_rejected: u64,
    pub datagrams_sent: u64,
    pub bytes_sent: u64,
    pub events_dropped: u64,
}

/// Another server of the fleet.
struct Peer {
    life: u64,
    zone: CompactString,
    active: bool,
    /// Its first tries and repeats, and when it said so.
    repeats: Option<(f64, f64, Timestamp)>,
}

/// What an end tells, by how long it was waited for: one that was given up early on says nothing, one given up
/// late says that nothing came.
fn told(end: AttemptOutcome, took: Duration, usual: Option<f64>) -> AttemptOutcome {
    let patience = patience(usual);
    match end {
        AttemptOutcome::TimedOut if took < patience.mul_f64(SILENT_EARLY) => {
            AttemptOutcome::Cancelled
        }
        AttemptOutcome::Cancelled if took > patience => AttemptOutcome::TimedOut,
        end => end,
    }
}

pub struct UpstreamManager {
    set: Settings,
    chance: Rand64,
    all: Vec<Backend>,
    groups: Vec<Group>,
    /// By handler.
    of: HashMap<usize, usize>,
    /// Of the backends that are set, as others speak of them.
    marks: HashSet<u32>,
    peers: BTreeMap<CompactString, Peer>,
    active: Vec<CompactString>,
    heard: Heard,
    numbered: u64,
    next: Timestamp,
    says: Timestamp,
    said: Timestamp,
    held_up: bool,
    say: Vec<(CompactString, Vec<u8>)>,
    changes: Vec<BackendEvent>,
    pub totals: Totals,
}

impl UpstreamManager {
    pub fn new(
        now: Timestamp,
        seed: u64,
        set: Settings,
        backends: Vec<BackendSettings>,
    ) -> UpstreamManager {
        let mut routes = UpstreamManager {
            set,
            chance: Rand64::new(u128::from(seed)),
            all: vec![],
            groups: vec![],
            of: HashMap::new(),
            marks: HashSet::new(),
            peers: BTreeMap::new(),
            active: vec![],
            heard: Heard::default(),
            numbered: 0,
            next: now,
            says: now,
            said: Timestamp::default(),
            held_up: false,
            say: vec![],
            changes: vec![],
            totals: Totals::default(),
        };
        routes.group(now, backends);
        routes.changes.clear();
        routes
    }

    /// Puts the backends in groups; those there were before go on as they stand.
    fn group(&mut self, now: Timestamp, backends: Vec<BackendSettings>) {
        let mut groups: Vec<(Vec<usize>, Vec<usize>)> = vec![];
        for b in &mut self.all {
            if !b.gone
                && !backends
                    .iter()
                    .any(|f| f.name == b.set.name && f.address == b.set.address)
            {
                b.gone = true;
                self.changes.push(BackendEvent::ConfigurationChanged {
                    name: b.set.name.clone(),
                    there: false,
                });
            }
        }
        for set in backends {
            let same =
                |b: &Backend| !b.gone && b.set.name == set.name && b.set.address == set.address;
            let handlers = set.handlers.clone();
            let at = match self.all.iter().position(same) {
                Some(at) => {
                    self.all[at].set = set;
                    at
                }
                None => {
                    self.changes.push(BackendEvent::ConfigurationChanged {
                        name: set.name.clone(),
                        there: true,
                    });
                    // Beside others that are in already it may be cold: all servers turn to it at once.
                    let fresh = Backend::new(
                        now,
                        set,
                        if self.groups.is_empty() {
                            State::Active
                        } else {
                            State::SlowStart
                        },
                    );
                    // A slot of one that is gone, and that nothing is in hand at, is taken again.
                    match self.all.iter().position(|b| b.gone && b.in_hand.is_empty()) {
                        Some(free) => {
                            self.all[free] = fresh;
                            free
                        }
                        None => {
                            self.all.push(fresh);
                            self.all.len() - 1
                        }
                    }
                }
            };
            match groups.iter_mut().find(|g| g.0 == handlers) {
                Some(group) => group.1.push(at),
                None => groups.push((handlers, vec![at])),
            }
        }
        let mut before = std::mem::take(&mut self.groups);
        for (handlers, backends) in groups {
            let kept = before
                .iter()
                .position(|g| g.handlers == handlers)
                .map(|i| before.swap_remove(i));
            let mut group =
                kept.unwrap_or_else(|| Group::new(now, handlers, vec![], self.set.retry_ratio));
            group.backends = backends;
            self.groups.push(group);
        }
        let of = self
            .groups
            .iter()
            .enumerate()
            .flat_map(|(at, g)| g.handlers.iter().map(move |h| (*h, at)));
        self.of = of.collect();
        self.marks = self
            .all
            .iter()
            .filter(|b| !b.gone)
            .map(|b| b.mark)
            .collect();
        self.look(now);
    }

    /// The operator has set backends and bounds anew; calls in hand go on.
    pub fn reload(&mut self, now: Timestamp, set: Settings, backends: Vec<BackendSettings>) {
        self.set = set;
        let part = self.set.retry_ratio;
        self.groups
            .iter_mut()
            .for_each(|g| g.repeats.set_part(part));
        self.group(now, backends);
    }

    /// The group of a handler, if its calls go to backends at all.
    pub fn group_of(&self, handler: usize) -> Option<usize> {
        self.of.get(&handler).copied()
    }

    pub fn groups(&self) -> impl Iterator<Item = (&[usize], usize)> {
        self.groups
            .iter()
            .map(|g| (g.handlers.as_slice(), g.backends.len()))
    }

    fn ticket(&mut self, now: Timestamp, handler: usize, backend: usize) -> UpstreamAttempt {
        self.numbered += 1;
        let b = &mut self.all[backend];
        if b.in_hand.len() < IN_HAND_MOST {
            b.in_hand.insert(self.numbered, now);
        }
        UpstreamAttempt {
            backend,
            address: b.set.address,
            handler,
            number: self.numbered,
            started_at: now,
        }
    }

    /// Where the call of a handler goes; nothing where it has no backends.
    pub fn pick(&mut self, now: Timestamp, handler: usize) -> Option<UpstreamAttempt> {
        let at = self.group_of(handler)?;
        // A judgement that is due is made before the choice, whoever drives it.
        if now >= self.next {
            self.look(now);
        }
        let group = &mut self.groups[at];
        let backend = group.pick(now, &self.all, None, &mut self.chance)?;
        group.repeats.first(now);
        self.totals.first_attempts += 1;
        Some(self.ticket(now, handler, backend))
    }

    /// One more attempt of a call, where the budget of repeats has room.
    pub fn retry(
        &mut self,
        now: Timestamp,
        before: &UpstreamAttempt,
        how: RetryKind,
    ) -> Option<UpstreamAttempt> {
        let at = self.group_of(before.handler)?;
        let group = &mut self.groups[at];
        let alone = group.backends.len() < 2;
        if alone && how != RetryKind::AfterBackoff || how == RetryKind::Hedge && !self.set.hedging {
            return None;
        }
        let backend = group.pick(now, &self.all, Some(before.backend), &mut self.chance)?;
        // All others may be left out.
        if backend == before.backend && how != RetryKind::AfterBackoff {
            return None;
        }
        if !group.repeats.take(now) {
            self.totals.retries_over_budget += 1;
            return None;
        }
        self.totals.retries += 1;
        self.totals.hedges += u64::from(how == RetryKind::Hedge);
        Some(self.ticket(now, before.handler, backend))
    }

    /// How long after its start a call that may be made twice is worth a second try beside it.
    pub fn hedge_delay(&mut self, now: Timestamp, ticket: &UpstreamAttempt) -> Option<Duration> {
        let at = self.group_of(ticket.handler).filter(|_| self.set.hedging)?;
        let group = &mut self.groups[at];
        if group.backends.len() < 2 {
            None
        } else {
            group.repeats.hedge_after(now)
        }
    }

    /// The least time that a repeat is worth beginning with: a call of the group needs about as long.
    pub fn typical_latency(&self, ticket: &UpstreamAttempt) -> Duration {
        let usual = self
            .group_of(ticket.handler)
            .and_then(|g| self.groups[g].usual);
        usual.map_or(Duration::ZERO, Duration::from_secs_f64)
    }

    /// An attempt came to its end.
    pub fn finish(&mut self, now: Timestamp, ticket: &UpstreamAttempt, end: AttemptOutcome) {
        let Some(b) = self.all.get_mut(ticket.backend) else {
            return;
        };
        if b.in_hand.remove(&ticket.number).is_none() {
            return;
        }
        let took = now - ticket.started_at;
        let Some(group) = self.of.get(&ticket.handler).map(|g| &mut self.groups[*g]) else {
            return;
        };
        let end = told(end, took, group.usual);
        if end == AttemptOutcome::Success {
            group.repeats.took(took);
        }
        // What began before it was left out tells nothing of how it is now.
        if b.state == State::Ejected || b.state == State::Probing && ticket.started_at < b.since {
            return;
        }
        let late = slow(took, group.usual);
        b.own.add(now, end, took, late);
        if b.state == State::Probing {
            let before = b.state;
            if b.tried(now, end, late, self.chance.rand_float()) {
                let change = BackendEvent::StateChanged {
                    name: b.set.name.clone(),
                    from: before,
                    to: b.state,
                };
                self.change(change);
            }
            self.next = self.next.min(now + LOOK_SOON);
        } else if !matches!(
            end,
            AttemptOutcome::Success
                | AttemptOutcome::Rejected
                | AttemptOutcome::LostToHedge
                | AttemptOutcome::Cancelled
        ) {
            self.next = self.next.min(now + LOOK_SOON);
            self.says = self.says.min((now + SAY_SOON).max(self.said + SAY_LEAST));
        }
    }

    fn change(&mut self, change: BackendEvent) {
        if self.changes.len() < CHANGES_MOST {
            self.changes.push(change);
        } else {
            self.totals.events_dropped += 1;
        }
    }

    // --- time

    pub fn next_timeout(&self) -> Timestamp {
        if self.set.gossip && !self.active.is_empty() {
            self.next.min(self.says)
        } else {
            self.next
        }
    }

    /// The time has come for what was due.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        if now >= self.next {
            self.look(now);
        }
        if now >= self.says {
            self.says = now + SAY.mul_f64(0.75 + 0.5 * self.chance.rand_float());
            self.said = now;
            if self.set.gossip && !self.active.is_empty() {
                self.tell(now);
            }
        }
    }

    fn look(&mut self, now: Timestamp) {
        self.next = now + LOOK;
        self.heard.tidy(now, |mark| self.marks.contains(&mark));
        let fleet = self.fleet(now);
        let mut changes = vec![];
        let peers = self.active.len();
        for group in &mut self.groups {
            group.repeats.heard(fleet);
            let light = Light {
                set: &self.set,
                heard: &self.heard,
                peers,
            };
            group.look(now, &mut self.all, &light, &mut self.chance, &mut changes);
        }
        self.totals.ejections += changes
            .iter()
            .filter(|c| matches!(c, BackendEvent::Ejected { .. }))
            .count() as u64;
        changes.into_iter().for_each(|c| self.change(c));
    }

    /// First tries and repeats of the whole fleet, as far as it is heard.
    fn fleet(&mut self, now: Timestamp) -> Option<(f64, f64)> {
        let fresh = self
            .peers
            .values()
            .filter_map(|p| p.repeats)
            .filter(|r| now - r.2 < REPEATS_FOR);
        let (mut firsts, mut again, mut any) = (0.0, 0.0, false);
        for (f, a, _) in fresh {
            (firsts, again, any) = (firsts + f, again + a, true);
        }
        let own = self.repeats(now);
        any.then_some((firsts + own.0, again + own.1))
    }

    /// Those of this server, all groups together.
    fn repeats(&mut self, now: Timestamp) -> (f64, f64) {
        let told = self.groups.iter_mut().map(|g| g.repeats.told(now));
        told.fold((0.0, 0.0), |sum, t| (sum.0 + t.0, sum.1 + t.1))
    }

    // --- others

    /// The own process was held up of late: its silence may be its own.
    pub fn set_stalled(&mut self, held_up: bool) {
        self.held_up = held_up;
    }

    /// One that the view holds, or holds otherwise than before.
    pub fn update_peer(
        &mut self,
        name: &CompactString,
        life: u64,
        zone: &CompactString,
        active: bool,
    ) {
        self.heard.gone(name, Some(life));
        let fresh = || Peer {
            life,
            zone: zone.clone(),
            active: false,
            repeats: None,
        };
        let peer = self.peers.entry(name.clone()).or_insert_with(fresh);
        let was = std::mem::replace(&mut peer.active, active);
        if peer.life != life || !active {
            peer.repeats = None;
        }
        (peer.life, peer.zone) = (life, zone.clone());
        if active && !was {
            self.active.push(name.clone());
        } else if was && !active {
            self.active.retain(|n| n != name);
        }
    }

    /// One that the view no longer holds: its life is over, and its word with it.
    pub fn remove_peer(&mut self, name: &CompactString) {
        self.heard.gone(name, None);
        self.peers.remove(name);
        self.active.retain(|n| n != name);
    }

    /// Words of one that is in.
    pub fn handle_datagram(&mut self, now: Timestamp, from: &CompactString, bytes: &[u8]) {
        self.totals.datagrams_received += 1;
        let (Ok(words), Some(peer)) = (GossipMessage::decode(bytes), self.peers.get_mut(from))
        else {
            self.totals.datagrams_rejected += 1;
            return;
        };
        if !self.set.gossip {
            return;
        }
        peer.repeats = Some((
            f64::from(words.first_attempts),
            f64::from(words.retries),
            now,
        ));
        let its_own = words.backends_seen >= ITS_OWN_SEEN
            && f64::from(words.backends_failing) > ITS_OWN * f64::from(words.backends_seen);
        let credible = !its_own && !words.stalled;
        let (life, zone) = (peer.life, peer.zone.clone());
        for line in words.reports.iter().take(LINES_MOST) {
            let said = Said {
                mark: line.name_hash,
                good: f64::from(line.successes) / EIGHTH,
                bad: f64::from(line.failures) / EIGHTH,
                age: Duration::from_millis(u64::from(line.age_ms)),
            };
            if self.marks.contains(&line.name_hash) {
                self.heard.hear(now, from, &zone, life, credible, said);
            }
        }
    }

    /// Tells some what was seen here: of backends that look bad here or to others.
    fn tell(&mut self, now: Timestamp) {
        let (mut seen, mut bad) = (0, 0);
        let mut lines = vec![];
        for b in self.all.iter_mut().filter(|b| !b.gone) {
            // One that is left out is spoken of as it was seen last, while that is fresh.
            let (own_good, own_bad) = if b.state == State::Ejected {
                b.own.fade(now);
                (0.0, b.own.bad)
            } else {
                b.told
            };
            seen += u16::from(own_good + own_bad > WORTH_SAYING || b.state == State::Ejected);
            bad += u16::from(
                b.state == State::Ejected || own_bad > own_good && own_bad > WORTH_SAYING,
            );
            let notable = own_bad > WORTH_SAYING || b.heard.units > 0.1 && own_good > WORTH_SAYING;
            let returned = b.state == State::SlowStart && own_good > WORTH_SAYING;
            if notable || returned {
                let (good, bad) = (wire::count(own_good), wire::count(own_bad));
                lines.push(BackendReport {
                    name_hash: b.mark,
                    successes: good,
                    failures: bad,
                    age_ms: 0,
                });
            }
        }
        let (firsts, again) = self.repeats(now);
        if lines.is_empty() && again < 1.0 {
            return;
        }
        if lines.len() > LINES_MOST {
            // The worst, and a few of the others each time.
            lines.sort_by_key(|l| std::cmp::Reverse(l.failures));
            lines.truncate(LINES_MOST);
        }
        let (firsts, again) = (firsts as u32, again as u32);
        let bytes = GossipMessage {
            stalled: self.held_up,
            backends_seen: seen,
            backends_failing: bad,
            first_attempts: firsts,
            retries: again,
            reports: lines,
        }
        .encode();
        if bytes.len() > MAX_SUBSYSTEM_PAYLOAD_BYTES {
            return;
        }
        for at in 0..SAY_TO.min(self.active.len()) {
            let to = at + self.chance.rand_range(0..(self.active.len() - at) as u64) as usize;
            self.active.swap(at, to);
            self.totals.datagrams_sent += 1;
            self.totals.bytes_sent += bytes.len() as u64;
            self.say.push((self.active[at].clone(), bytes.clone()));
        }
    }

    /// What is to be said, and to whom.
    pub fn take_datagrams(&mut self) -> Vec<(CompactString, Vec<u8>)> {
        std::mem::take(&mut self.say)
    }

    pub fn take_events(&mut self) -> Vec<BackendEvent> {
        std::mem::take(&mut self.changes)
    }

    /// Words of others that are kept.
    pub fn gossip_entries(&self) -> usize {
        self.heard.len()
    }

    /// The state of each backend, in the order of the views.
    pub fn backend_states(&self) -> impl Iterator<Item = State> {
        self.groups
            .iter()
            .flat_map(|g| &g.backends)
            .map(|i| self.all[*i].state)
    }

    pub fn backend_statuses(&self, now: Timestamp) -> Vec<BackendStatus> {
        let of = |b: &Backend| {
            let mut own = b.own.clone();
            own.fade(now);
            BackendStatus {
                name: b.set.name.clone(),
                address: b.set.address,
                zone: b.set.zone.clone(),
                state: b.state,
                weight: b.weight(now) / b.set.weight,
                observed: own.good() + own.bad,
                failures: own.bad,
                in_flight: b.in_hand.len(),
                typical_latency: b.own.rough_pace().map(Duration::from_secs_f64),
                witnesses: b.heard.witnesses,
                gossip_failures: b.heard.units,
            }
        };
        let there = self.groups.iter().flat_map(|g| &g.backends);
        there.map(|i| of(&self.all[*i])).collect()
    }
}
