//! The machine: the view, datagrams, time and chance in; datagrams, due times and changes out.

use crate::budget::{self, Budget, Cause};
use crate::counter::{self, CountEstimate, ReplicatedCounter};
use crate::ledger::IncarnationId;
use crate::wire::{self, Word, Words};
use compact_str::CompactString;
use madderbay::time::{Duration, Timestamp};
use madderbay_membership::MAX_SUBSYSTEM_PAYLOAD_BYTES;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Between two looks at what is wanted and what is lent.
const TURN: Duration = Duration::from_millis(100);
/// The same where another waits for what is to be said.
const HURRY: Duration = Duration::from_millis(10);
/// Between two questions for counts; more of them a second the larger the fleet, up to the most.
const PULL: Duration = Duration::from_millis(250);
const PULL_LEAST: Duration = Duration::from_millis(100);
const PULL_OF: usize = 24;
/// A question for counts that is not answered by then is no use.
const PULL_WAITS: Duration = Duration::from_millis(2_000);
/// Cells of others in one answer, as far as they fit.
const CELLS: usize = 10;
/// A view needs this long to settle: so long a server without a seat hears who else there is.
const SETTLES: Duration = Duration::from_millis(2_000);
/// Changes kept for the log.
const CHANGES_MOST: usize = 64;
/// Lives of others known at the most; beyond, words are not heard.
const LIVES_MOST: usize = 20_000;

/// One other server, as the view holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    pub name: CompactString,
    /// Its life, as the view tells lives apart.
    pub incarnation: u64,
    /// In, and to be spoken to; else it was lost and is still remembered.
    pub active: bool,
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub name: CompactString,
    /// A number that no other life of any server has.
    pub incarnation: u64,
    pub budgets: Vec<budget::Settings>,
    pub counters: Vec<counter::CounterSettings>,
}

/// What is known of another beside the view.
struct Known {
    who: IncarnationId,
    life: u64,
    seat: u32,
}

/// A change worth a line in the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub budget: CompactString,
    pub from: u32,
    pub to: u32,
    pub cause: Cause,
    pub lent: u32,
    pub borrowed: u32,
}

impl std::fmt::Display for Change {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let Change {
            budget,
            from,
            to,
            cause,
            lent,
            borrowed,
        } = self;
        write!(
            f,
            "{budget}: {from} to {to} calls, {lent} lent, {borrowed} borrowed: {}",
            cause.told()
        )
    }
}

/// A budget as it stands, for who asks.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetView {
    pub name: CompactString,
    pub capacity: u32,
    pub base_quota: u32,
    pub granted: u32,
    pub leased: u32,
    pub usable: u32,
    pub in_use: u32,
    pub demand: u32,
    /// Since any other was heard of it.
    pub since_contact: Option<Duration>,
    /// Until the birthright may be used.
    pub until_usable: Duration,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    pub datagrams_received: u64,
    pub datagrams_rejected: u64,
    pub misdirected: u64,
    pub datagrams_sent: u64,
    pub bytes_sent: u64,
    pub untold: u64,
}

pub struct FleetQuotas {
    set: Settings,
    chance: oorandom::Rand64,
    /// The own life as the view tells it, by which servers without seats are ranked.
    ranked: (u64, CompactString),
    peers: BTreeMap<CompactString, Peer>,
    /// Those of the peers that may be spoken to, and when one that is gone was last among them.
    active: Vec<CompactString>,
    lost: BTreeMap<CompactString, (u64, Timestamp)>,
    known: HashMap<CompactString, Known>,
    names: Vec<CompactString>,
    /// Numbers of lives that are over, and of those with which nothing is open any more.
    retired: Vec<IncarnationId>,
    free: Vec<IncarnationId>,
    pub budgets: Vec<Budget>,
    pub counters: Vec<ReplicatedCounter>,
    surplus: bool,
    /// The view has changed since ranks were looked at.
    ranks: bool,
    looked: Timestamp,
    next: Timestamp,
    pull: Timestamp,
    stamps: Vec<(u32, Timestamp)>,
    stamped: u32,
    say: BTreeMap<CompactString, Vec<Word>>,
    changes: Vec<Change>,
    pub totals: Totals,
}

impl FleetQuotas {
    pub fn new(now: Timestamp, seed: u64, set: Settings) -> FleetQuotas {
        let budgets = set.budgets.iter().map(|b| {
            let settles = if b.slot.is_some() {
                Duration::ZERO
            } else {
                SETTLES
            };
            Budget::new(now, now + b.terms.lessor_hold() + settles, b.clone())
        });
        let counts = set
            .counters
            .iter()
            .map(|c| ReplicatedCounter::new(now, c.clone()));
        FleetQuotas {
            chance: oorandom::Rand64::new(u128::from(seed)),
            ranked: (0, set.name.clone()),
            peers: BTreeMap::new(),
            active: vec![],
            lost: BTreeMap::new(),
            known: HashMap::new(),
            names: vec![],
            retired: vec![],
            free: vec![],
            budgets: budgets.collect(),
            counters: counts.collect(),
            surplus: false,
            ranks: true,
            looked: Timestamp::default(),
            next: now,
            pull: now,
            stamps: vec![],
            stamped: 0,
            say: BTreeMap::new(),
            changes: vec![],
            totals: Totals::default(),
            set,
        }
    }

    /// The view as of now, this server not among it, and its own life there.
    pub fn view(&mut self, now: Timestamp, life: u64, peers: Vec<Peer>) {
        self.set_incarnation(now, life);
        let there: BTreeSet<&CompactString> = peers.iter().map(|p| &p.name).collect();
        let gone: Vec<CompactString> = self
            .peers
            .keys()
            .filter(|n| !there.contains(n))
            .cloned()
            .collect();
        gone.iter().for_each(|name| self.remove_peer(now, name));
        peers.into_iter().for_each(|p| self.update_peer(now, p));
    }

    /// The own life, as the view tells it.
    pub fn set_incarnation(&mut self, now: Timestamp, life: u64) {
        if std::mem::replace(&mut self.ranked.0, life) != life {
            self.rank(now);
        }
    }

    /// One that the view holds, or holds otherwise than before.
    pub fn update_peer(&mut self, now: Timestamp, peer: Peer) {
        self.counters
            .iter_mut()
            .for_each(|c| c.there(now, &peer.name));
        let active = peer.active;
        let name = peer.name.clone();
        let before = self.peers.insert(name.clone(), peer);
        let was = before.is_some_and(|p| p.active);
        if active && !was {
            // Asked in an order of its own, so that a fleet does not ask all of one.
            let at = self.chance.rand_range(0..self.active.len() as u64 + 1) as usize;
            self.active.push(name);
            let last = self.active.len() - 1;
            self.active.swap(at, last);
        } else if was && !active {
            self.active.retain(|n| *n != name);
        }
        self.look_soon();
    }

    /// One that the view no longer holds, or that has left.
    pub fn remove_peer(&mut self, now: Timestamp, name: &CompactString) {
        self.counters.iter_mut().for_each(|c| c.gone(now, name));
        if let Some(peer) = self.peers.remove(name) {
            self.active.retain(|n| n != name);
            self.lost.insert(name.clone(), (peer.incarnation, now));
            self.look_soon();
        }
    }

    /// Changes of the view come many at a time: they are judged together.
    fn look_soon(&mut self) {
        self.ranks = true;
        self.next = self.next.min(self.looked + HURRY);
    }

    /// Those who were lost so long ago that nothing they had can still be in hand.
    fn forget_lost(&mut self, now: Timestamp) {
        let longest = self
            .budgets
            .iter()
            .map(|b| b.set.terms.lessor_hold())
            .max()
            .unwrap_or_default()
            + SETTLES;
        self.lost.retain(|_, l| now - l.1 < longest);
    }

    /// A server without a seat has no birthright while as many as there may be stand before it: those that
    /// began earlier, the lost among them until all that they had is over. One whose seat another has, that
    /// stands before it, has none either.
    fn rank(&mut self, now: Timestamp) {
        let before =
            |name: &CompactString, life: u64| (life, name) < (self.ranked.0, &self.ranked.1);
        let there = self
            .peers
            .values()
            .filter(|p| before(&p.name, p.incarnation))
            .count();
        let gone = self
            .lost
            .iter()
            .filter(|l| !self.peers.contains_key(l.0) && before(l.0, l.1.0))
            .count();
        let seat = self.set.budgets.iter().find_map(|b| b.slot);
        let taken = self.peers.values().any(|p| {
            let known = self.known.get(&p.name);
            p.active
                && known.is_some_and(|k| Some(k.seat) == seat && before(&p.name, p.incarnation))
        });
        let ranked = there + gone;
        let over = |b: &Budget| match b.set.slot {
            Some(_) => taken,
            None => ranked >= b.set.max_servers as usize,
        };
        self.surplus = self.budgets.iter().any(over);
        for b in &mut self.budgets {
            let own = if over(b) { 0 } else { b.set.birthright() };
            let has = b.ledger.eventual_base_quota();
            if own > has && has == 0 {
                // Whoever had it may still have lent it, or have calls on it.
                let from = (now + b.set.terms.lessor_hold()).max(b.ledger.usable_from());
                b.set_own(own, Some(from));
            } else if own != has {
                b.set_own(own, None);
            }
        }
    }

    /// More servers than there may be stand before this one, or one that has its seat.
    pub fn is_surplus(&self) -> bool {
        self.surplus
    }

    /// The operator has set sizes and weights anew; budgets that are new, or gone, take a restart.
    pub fn reload(&mut self, now: Timestamp, budgets: &[budget::Settings]) {
        for b in &mut self.budgets {
            if let Some(fresh) = budgets.iter().find(|f| f.name == b.set.name) {
                b.set = budget::Settings {
                    terms: b.set.terms,
                    slot: b.set.slot,
                    ..fresh.clone()
                };
            }
        }
        self.rank(now);
        let sets = self.budgets.iter().map(|b| b.set.clone()).collect();
        self.set.budgets = sets;
    }

    /// The small number of a life. One that was asked before it was heard (life 0) is known by its answer.
    fn who(&mut self, name: &CompactString, life: u64, seat: u32) -> Option<IncarnationId> {
        if let Some(known) = self
            .known
            .get_mut(name)
            .filter(|k| k.life == life || k.life == 0)
        {
            (known.life, known.seat) = (life, seat);
            return Some(known.who);
        }
        let who = match self.free.pop() {
            Some(who) => who,
            None if self.names.len() < LIVES_MOST => {
                self.names.push(CompactString::default());
                IncarnationId(self.names.len() as u32 - 1)
            }
            None => return None,
        };
        self.names[who.0 as usize] = name.clone();
        self.retired.extend(
            self.known
                .insert(name.clone(), Known { who, life, seat })
                .map(|k| k.who),
        );
        Some(who)
    }

    /// Words of another, which the view holds to be in.
    pub fn handle_datagram(&mut self, now: Timestamp, from: &CompactString, bytes: &[u8]) {
        self.totals.datagrams_received += 1;
        let Some(words) = wire::read(bytes) else {
            self.totals.datagrams_rejected += 1;
            return;
        };
        let Some(who) = self.who(from, words.life, words.seat) else {
            self.totals.misdirected += 1;
            return;
        };
        let mut say = vec![];
        for word in words.words {
            match word {
                Word::Pull { stamp } => self.tell(now, from, stamp),
                Word::Cells { stamp, cells } => {
                    let Some(at) = self.stamps.iter().find(|s| s.0 == stamp).map(|s| s.1) else {
                        continue;
                    };
                    for cell in cells {
                        let own = (&self.set.name, self.ranked.0);
                        if let Some(count) = self.counters.iter_mut().find(|c| c.mark == cell.count)
                        {
                            count.hear(now, now - at, cell, own);
                        }
                    }
                }
                Word::Ask { budget, .. }
                | Word::Grant { budget, .. }
                | Word::Back { budget, .. }
                | Word::Recall { budget, .. }
                | Word::Spare { budget, .. } => {
                    let meant = words.to == self.set.incarnation
                        || words.to == 0 && matches!(word, Word::Ask { .. });
                    if !meant {
                        self.totals.misdirected += 1;
                    } else if let Some(b) = self.budgets.iter_mut().find(|b| b.mark == budget) {
                        b.hear(now, who, &word, &mut say);
                    }
                }
            }
        }
        self.put(say);
    }

    /// Tells what was counted, as much as a datagram holds.
    fn tell(&mut self, now: Timestamp, to: &CompactString, stamp: u32) {
        let (draw, life) = (self.chance.rand_float(), self.ranked.0);
        let name = self.set.name.clone();
        let mut fit = vec![];
        let mut size = 0;
        for count in &mut self.counters {
            for cell in count.cells(now, &name, life, draw, CELLS) {
                let more =
                    postcard::to_stdvec(&cell).map_or(MAX_SUBSYSTEM_PAYLOAD_BYTES, |b| b.len());
                if size + more + 40 <= MAX_SUBSYSTEM_PAYLOAD_BYTES {
                    size += more;
                    fit.push(cell);
                }
            }
        }
        self.say
            .entry(to.clone())
            .or_default()
            .push(Word::Cells { stamp, cells: fit });
    }

    fn put(&mut self, say: Vec<(IncarnationId, Word)>) {
        for (who, word) in say {
            if let Some(name) = self.names.get(who.0 as usize) {
                // A life that is over is not spoken to.
                if self.known.get(name).is_some_and(|k| k.who == who) {
                    self.say.entry(name.clone()).or_default().push(word);
                }
            }
        }
    }

    pub fn next_timeout(&self) -> Timestamp {
        let hurry = self.is_urgent().then(|| self.looked + HURRY);
        let due = if self.counters.is_empty() {
            self.next
        } else {
            self.next.min(self.pull)
        };
        hurry.map_or(due, |h| due.min(h))
    }

    /// Something is to be said sooner than was due.
    pub fn is_urgent(&self) -> bool {
        self.budgets.iter().any(|b| b.hurries)
    }

    /// The time has come for what was due.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        if now >= self.next {
            (self.next, self.looked) = (now + TURN, now);
            self.look(now);
        } else if self.is_urgent() && now >= self.looked + HURRY {
            self.looked = now;
            let mut say = vec![];
            self.budgets.iter_mut().for_each(|b| b.hurry(now, &mut say));
            self.put(say);
        }
        if now >= self.pull && !self.counters.is_empty() {
            let each = PULL
                .mul_f64((PULL_OF as f64 / (self.active.len() + 1) as f64).min(1.0))
                .max(PULL_LEAST);
            self.pull = now + each.mul_f64(0.75 + 0.5 * self.chance.rand_float());
            self.stamps.retain(|s| now - s.1 < PULL_WAITS);
            if !self.active.is_empty() {
                let at = self.chance.rand_range(0..self.active.len() as u64) as usize;
                self.stamped = self.stamped.wrapping_add(1);
                self.stamps.push((self.stamped, now));
                let word = Word::Pull {
                    stamp: self.stamped,
                };
                self.say
                    .entry(self.active[at].clone())
                    .or_default()
                    .push(word);
            }
        }
    }

    fn look(&mut self, now: Timestamp) {
        if std::mem::take(&mut self.ranks) || self.surplus || !self.lost.is_empty() {
            self.forget_lost(now);
            self.rank(now);
        }
        self.counters.iter_mut().for_each(|c| c.tidy(now));
        let mut peers = Vec::with_capacity(self.active.len());
        for at in 0..self.active.len() {
            // Whoever was never heard is asked too: the answer tells its life.
            let who = match self.known.get(&self.active[at]) {
                Some(known) => Some(known.who),
                None => self.who(&self.active[at].clone(), 0, 0),
            };
            peers.extend(who);
        }
        let mut say = vec![];
        for b in &mut self.budgets {
            b.step(now, &peers, &mut say);
        }
        self.put(say);
        self.let_go(now);
        for b in &mut self.budgets {
            if let Some((from, to, cause)) = b.changed(now) {
                let (lent, borrowed) = (b.ledger.granted(now), b.ledger.leased(now));
                let budget = b.set.name.clone();
                let change = Change {
                    budget,
                    from,
                    to,
                    cause,
                    lent,
                    borrowed,
                };
                if self.changes.len() < CHANGES_MOST {
                    self.changes.push(change);
                } else {
                    self.totals.untold += 1;
                }
            }
        }
    }

    /// Lives that are over, or no longer in the view, are let go of once nothing is open with them.
    fn let_go(&mut self, now: Timestamp) {
        let peers = &self.peers;
        let gone: Vec<CompactString> = self
            .known
            .keys()
            .filter(|n| !peers.contains_key(*n))
            .cloned()
            .collect();
        self.retired.extend(
            gone.iter()
                .filter_map(|name| self.known.remove(name))
                .map(|k| k.who),
        );
        if self.retired.is_empty() {
            return;
        }
        let retired: BTreeSet<IncarnationId> = self.retired.iter().copied().collect();
        self.budgets
            .iter_mut()
            .for_each(|b| b.tidy(now, |who| retired.contains(&who)));
        let open = |who: &IncarnationId| self.budgets.iter().any(|b| b.ledger.remembers(*who));
        let (kept, free): (Vec<IncarnationId>, Vec<IncarnationId>) =
            self.retired.iter().partition(|who| open(who));
        self.retired = kept;
        self.free.extend(free);
    }

    /// What is to be said, and to whom.
    pub fn take_datagrams(&mut self) -> Vec<(CompactString, Vec<u8>)> {
        let seat = self.set.budgets.iter().find_map(|b| b.slot).unwrap_or(0);
        let mut out = vec![];
        for (name, words) in std::mem::take(&mut self.say) {
            let to = self.known.get(&name).map_or(0, |k| k.life);
            let bytes = wire::write(&Words {
                life: self.set.incarnation,
                to,
                seat,
                words,
            });
            if bytes.len() <= MAX_SUBSYSTEM_PAYLOAD_BYTES {
                self.totals.datagrams_sent += 1;
                self.totals.bytes_sent += bytes.len() as u64;
                out.push((name, bytes));
            }
        }
        out
    }

    /// What has changed since it was asked last.
    pub fn take_events(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    pub fn budget_views(&self, now: Timestamp) -> Vec<BudgetView> {
        self.budgets
            .iter()
            .map(|b| BudgetView {
                name: b.set.name.clone(),
                capacity: b.set.capacity,
                base_quota: b.ledger.base_quota(now),
                granted: b.ledger.granted(now),
                leased: b.ledger.leased(now),
                usable: b.ledger.usable(now),
                in_use: b.ledger.in_use(),
                demand: b.wants(),
                since_contact: b.heard.map(|at| now - at),
                until_usable: b.ledger.usable_from() - now,
            })
            .collect()
    }

    /// The part of an allowance over the whole fleet, in reqs a second, that this server may take as its own:
    /// where all together stay within it, all that the others leave; else its part of what comes.
    pub fn allowance(
        &self,
        now: Timestamp,
        count: usize,
        key: u32,
        per_second: f64,
        servers: u32,
    ) -> f64 {
        let counts = &self.counters[count];
        let window = counts.settings.window.as_secs_f64();
        let fair = per_second / f64::from(servers.max(1));
        let own = counts.own(now, key).value / window;
        let all = counts.estimate(now, key, fair).value / window;
        let others = (all - own).max(0.0);
        let part = if all > 0.0 {
            per_second * own / all
        } else {
            0.0
        };
        (per_second - others).max(part).max(0.0)
    }

    pub fn estimate(&self, now: Timestamp, count: usize, key: u32, fair: f64) -> CountEstimate {
        self.counters[count].estimate(now, key, fair)
    }
}
