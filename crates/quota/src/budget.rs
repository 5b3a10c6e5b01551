//! One budget as a server plays it: how much work there is for it, of whom to borrow, whom to lend to, what to
//! give back. Decisions only: what may be used is the [`Ledger`]'s.

use crate::ledger::{IncarnationId, LeaseTerms, Ledger};
use crate::water_filling::{Claim, next_grants};
use crate::wire::Word;
use compact_str::CompactString;
use madderbay::time::{Duration, Timestamp};
use std::collections::BTreeMap;

/// Room beyond the work there is, as a part of it: a call more that comes finds its place.
const ROOM_PART: f64 = 0.1;
/// Less than this part of a call, of what there was, is forgotten: it fades for ever.
const FADED: f64 = 0.15;
/// A server with any work in this span lends all of its own but one.
const BUSY_FOR: Duration = Duration::from_millis(10_000);
/// Units idle for this long, beyond the room, are given back.
const IDLE: Duration = Duration::from_millis(300);
/// Servers asked at a time, beside those of whom something is borrowed: so many at first, more with each that
/// lends, up to the most, and fewer with each that does not: where all want more, questions only cost.
const ASKED: f64 = 4.0;
const ASKED_MORE: f64 = 1.5;
const ASKED_LESS: f64 = 0.9;
const ASKED_MOST: f64 = 64.0;
/// One who had nothing to lend is asked again after this, doubled each time up to the most, which is the longer
/// the more others there are to be asked meanwhile.
const AGAIN: Duration = Duration::from_millis(100);
const AGAIN_EACH: Duration = Duration::from_millis(10);
const AGAIN_MOST: Duration = Duration::from_millis(3_200);
/// A question that is not answered in this time never will be.
const ANSWER: Duration = Duration::from_millis(150);
/// A loan is renewed once so much of its lease is over.
const RENEWS: f64 = 0.45;
/// Recalls are said again no sooner: the borrower may be waiting for calls to end.
const RECALLS: Duration = Duration::from_millis(50);
/// IncarnationId asked and had too few is told of idle units no oftener: several that come free together go together.
const OFFERS: Duration = Duration::from_millis(30);
/// Beside what it needs now a server wants what it needed in the mean of late, over about so long. Peaks beyond
/// call back what is lent, which takes a word and a call's end: room kept for them would lie idle.
const MEAN_OVER: Duration = Duration::from_millis(1_000);

/// How an operator set it, and what follows from it for this server.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub name: CompactString,
    /// Calls in hand that the whole fleet may have, and the most servers there may be.
    pub capacity: u32,
    pub max_servers: u32,
    /// 1 to `servers`, where this server has one of its own: what does not divide evenly goes to the first.
    pub slot: Option<u32>,
    /// This server's weight among those who want more than there is.
    pub weight: f64,
    pub terms: LeaseTerms,
}

impl Settings {
    pub fn birthright(&self) -> u32 {
        let each = self.capacity / self.max_servers.max(1);
        let over = self.capacity % self.max_servers.max(1);
        match self.slot {
            None => each,
            Some(seat) if seat > self.max_servers => 0,
            Some(seat) => each + u32::from(seat <= over),
        }
    }
}

/// One who asks, as it said last.
struct Asker {
    claim: Claim,
    at: Timestamp,
    recalled: Option<Timestamp>,
    offered: Option<Timestamp>,
}

/// One who may lend, as it answered last.
struct Lender {
    spare: u32,
    next: Timestamp,
    pause: Duration,
}

/// Why what may be used has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    Borrowed,
    Lent,
    GivenBack,
    /// What was borrowed was not renewed, or what was lent is over.
    Expired,
    /// The wait of a new life is over.
    Waited,
    /// The operator set another size, or the fleet has more servers than it was set for.
    Set,
}

impl Cause {
    pub fn told(self) -> &'static str {
        match self {
            Cause::Borrowed => "borrowed",
            Cause::Lent => "lent",
            Cause::GivenBack => "given back",
            Cause::Expired => "a lease is over",
            Cause::Waited => "all that a former life lent is over",
            Cause::Set => "set anew",
        }
    }
}

pub struct Budget {
    pub set: Settings,
    pub mark: u32,
    pub ledger: Ledger,
    waiting: u32,
    /// Calls in hand and waiting as of `followed`, and their mean of late.
    level: f64,
    mean: f64,
    followed: Timestamp,
    /// Something is to be said sooner than at the next look: another waits for it.
    pub hurries: bool,
    busy: Option<Timestamp>,
    /// Since when more may be used than there is work for.
    idle: Option<Timestamp>,
    askers: BTreeMap<IncarnationId, Asker>,
    lenders: BTreeMap<IncarnationId, Lender>,
    /// How many are asked at a time.
    asks: f64,
    /// Where to go on among those who could be asked.
    turn: usize,
    pub heard: Option<Timestamp>,
    /// What was told last of what may be used, and why that changed since.
    told: u32,
    cause: Cause,
}

impl Budget {
    pub fn new(now: Timestamp, from: Timestamp, set: Settings) -> Budget {
        let ledger = Ledger::new(set.terms, set.birthright(), from);
        Budget {
            mark: crate::wire::name_hash(&set.name),
            ledger,
            waiting: 0,
            level: 0.0,
            mean: 0.0,
            followed: now,
            hurries: false,
            busy: None,
            idle: None,
            askers: BTreeMap::new(),
            lenders: BTreeMap::new(),
            asks: ASKED,
            turn: 0,
            heard: None,
            told: 0,
            cause: Cause::Waited,
            set,
        }
    }

    pub fn call_started(&mut self, now: Timestamp) {
        self.ledger.call_started();
        self.follow(now);
    }

    pub fn call_ended(&mut self, now: Timestamp) {
        self.ledger.call_ended();
        self.follow(now);
        // Whoever called something back waits for this.
        let owes = self.ledger.has_returns(now);
        // Others have asked for more than they had.
        let wanted = self
            .askers
            .values()
            .any(|a| a.claim.other_units + a.claim.granted < a.claim.demand);
        self.hurries |= owes || wanted && self.lendable(now) > self.ledger.granted(now);
    }

    /// Calls that stand in wait of a place, or surely will.
    pub fn set_waiting(&mut self, now: Timestamp, calls: u32) {
        let more = calls > self.waiting;
        self.waiting = calls;
        self.follow(now);
        self.hurries |= more && self.short(now) && self.ledger.granted(now) > 0;
    }

    pub fn set_own(&mut self, own: u32, from: Option<Timestamp>) {
        self.ledger.set_base_quota(own, from);
        self.cause = Cause::Set;
    }

    fn follow(&mut self, now: Timestamp) {
        let level = f64::from(self.ledger.in_use() + self.waiting);
        let passed = (now - self.followed).as_secs_f64();
        self.mean =
            self.level + (self.mean - self.level) * (-passed / MEAN_OVER.as_secs_f64()).exp();
        (self.level, self.followed) = (level, now);
        if level > 0.0 {
            self.busy = Some(now);
        }
    }

    /// Calls that this server has work for, with some room.
    pub fn wants(&self) -> u32 {
        let demand = self.level.max(self.mean);
        ((demand - FADED).ceil() as u32 + (demand * ROOM_PART) as u32).min(self.set.capacity)
    }

    /// What it could lend to others altogether: its own, less what it has work for itself now and had of late.
    fn lendable(&self, now: Timestamp) -> u32 {
        let busy = u32::from(self.busy.is_some_and(|at| now - at < BUSY_FOR));
        let works = (self.ledger.in_use() + self.waiting).max(self.mean.round() as u32);
        self.ledger.base_quota(now).saturating_sub(works.max(busy))
    }

    /// All that is in hand, and what it says to others. `peers` are those who are in.
    pub fn step(
        &mut self,
        now: Timestamp,
        peers: &[IncarnationId],
        say: &mut Vec<(IncarnationId, Word)>,
    ) {
        self.hurry(now, say);
        let lease = self.set.terms.lease;
        self.askers.retain(|_, a| now - a.at < lease);
        let (wants, has) = (self.wants(), self.ledger.usable(now));
        if has > wants.max(self.ledger.in_use()) && self.ledger.leased(now) > 0 {
            let since = *self.idle.get_or_insert(now);
            if now - since >= IDLE {
                self.spare(now, has - wants.max(self.ledger.in_use()));
            }
        } else {
            self.idle = None;
        }
        self.renew(now, say);
        if wants > has {
            self.borrow(now, wants - has, peers, say);
        }
    }

    /// What another waits for: units called back, and such as were called back here.
    pub fn hurry(&mut self, now: Timestamp, say: &mut Vec<(IncarnationId, Word)>) {
        self.hurries = false;
        self.follow(now);
        self.recall(now, say);
        for back in self.ledger.take_returns(now) {
            let word = Word::Back {
                budget: self.mark,
                number: back.request_id,
                keep: back.kept_units,
            };
            say.push((back.lessor, word));
        }
    }

    /// Gives so many back, the smallest loans first: fewer lenders then have to be asked.
    fn spare(&mut self, now: Timestamp, mut units: u32) {
        let mut loans: Vec<(u32, IncarnationId)> = self
            .ledger
            .open_leases(now)
            .map(|l| (l.units, l.lessor))
            .collect();
        loans.sort_unstable();
        for (has, who) in loans {
            let back = has.min(units);
            if back == 0 {
                break;
            }
            self.ledger.release(who, has - back);
            units -= back;
            self.cause = Cause::GivenBack;
        }
    }

    fn ask(
        &mut self,
        now: Timestamp,
        who: IncarnationId,
        units: u32,
        say: &mut Vec<(IncarnationId, Word)>,
    ) {
        let number = self.ledger.new_request(now, who);
        let base = self.ledger.usable(now) - self.ledger.leased_from(now, who);
        let (wants, weight) = (self.wants(), self.set.weight as f32);
        say.push((
            who,
            Word::Ask {
                budget: self.mark,
                number,
                units,
                base,
                wants,
                weight,
            },
        ));
    }

    fn open(&self, now: Timestamp, who: IncarnationId) -> bool {
        self.ledger
            .pending_request_at(who)
            .is_some_and(|at| now - at < ANSWER)
    }

    fn renew(&mut self, now: Timestamp, say: &mut Vec<(IncarnationId, Word)>) {
        let lease = self.set.terms.lease;
        let due = |left: Duration| left < lease.mul_f64(1.0 - RENEWS);
        let old: Vec<(IncarnationId, u32)> = self
            .ledger
            .open_leases(now)
            .filter(|l| due(l.remaining))
            .map(|l| (l.lessor, l.units))
            .collect();
        for (who, units) in old {
            if !self.open(now, who) {
                self.ask(now, who, units, say);
            }
        }
    }

    /// Asks some for what is missing: first those who said that they could lend, then others in turn.
    fn borrow(
        &mut self,
        now: Timestamp,
        missing: u32,
        peers: &[IncarnationId],
        say: &mut Vec<(IncarnationId, Word)>,
    ) {
        let most = self.asks.ceil() as usize;
        let mut left = missing;
        let mut asked = 0;
        let mut known: Vec<(u32, IncarnationId)> = self
            .lenders
            .iter()
            .filter(|l| l.1.spare > 0 && l.1.next <= now)
            .map(|l| (l.1.spare, *l.0))
            .collect();
        known.sort_unstable_by(|a, b| b.cmp(a));
        for (spare, who) in known {
            if left == 0 || asked == most {
                break;
            }
            if !self.open(now, who) {
                let more = spare.min(left);
                let units = self.ledger.leased_from(now, who) + more;
                self.ask(now, who, units, say);
                (left, asked) = (left - more, asked + 1);
            }
        }
        if left == 0 {
            return;
        }
        let each = left.div_ceil(ASKED as u32).max(1);
        for step in 0..peers.len() {
            if asked == most {
                break;
            }
            let who = peers[(self.turn + step) % peers.len()];
            let ready = self
                .lenders
                .get(&who)
                .is_none_or(|l| l.next <= now && l.spare == 0);
            if ready && !self.open(now, who) {
                let units = self.ledger.leased_from(now, who) + each;
                self.ask(now, who, units, say);
                asked += 1;
                self.turn = (self.turn + step + 1) % peers.len();
            }
        }
    }

    /// What is lent goes where it is due: whoever has too much of it is told so, and whoever has too little and
    /// has asked.
    fn recall(&mut self, now: Timestamp, say: &mut Vec<(IncarnationId, Word)>) {
        let mut idle = self.lendable(now).saturating_sub(self.ledger.granted(now));
        for (who, due) in self.targets(now) {
            let Some(asker) = self.askers.get_mut(&who) else {
                continue;
            };
            let lately = |at: Option<Timestamp>, least| at.is_some_and(|at| now - at < least);
            if due < asker.claim.granted && !lately(asker.recalled, RECALLS) {
                asker.recalled = Some(now);
                say.push((
                    who,
                    Word::Recall {
                        budget: self.mark,
                        keep: due,
                    },
                ));
            } else if due > asker.claim.granted && idle > 0 && !lately(asker.offered, OFFERS) {
                asker.offered = Some(now);
                let units = idle.min(due - asker.claim.granted);
                idle -= units;
                say.push((
                    who,
                    Word::Spare {
                        budget: self.mark,
                        units,
                    },
                ));
            }
        }
    }

    /// Whether this server's next call would find no room: only then is what it has lent called back. Work that
    /// comes and goes would else move the same units to and fro.
    fn short(&self, now: Timestamp) -> bool {
        self.ledger.in_use() + self.waiting >= self.ledger.usable(now)
    }

    /// What each who asks is to have of this server.
    fn targets(&mut self, now: Timestamp) -> Vec<(IncarnationId, u32)> {
        // Recorded here and used by those who do not ask any more until it is over.
        let ledger = &self.ledger;
        self.askers
            .iter_mut()
            .for_each(|(who, a)| a.claim.granted = ledger.granted_to(now, *who));
        let silent =
            self.ledger.granted(now) - self.askers.values().map(|a| a.claim.granted).sum::<u32>();
        let claims: Vec<Claim> = self.askers.values().map(|a| a.claim).collect();
        let spare = self.lendable(now).saturating_sub(silent);
        let lent: u32 = claims.iter().map(|c| c.granted).sum();
        let kept = next_grants(
            if self.short(now) {
                spare
            } else {
                spare.max(lent)
            },
            &claims,
        );
        self.askers.keys().copied().zip(kept).collect()
    }

    /// A word from one who is in.
    pub fn hear(
        &mut self,
        now: Timestamp,
        from: IncarnationId,
        word: &Word,
        say: &mut Vec<(IncarnationId, Word)>,
    ) {
        self.follow(now);
        self.heard = Some(now);
        match *word {
            Word::Ask {
                number,
                units,
                base,
                wants,
                weight,
                ..
            } => {
                let weight = f64::from(weight);
                let weight = if weight.is_finite() {
                    weight.clamp(0.01, 100.0)
                } else {
                    1.0
                };
                let most = self.set.capacity;
                let (base, wants) = (base.min(most), wants.min(most));
                let claim = Claim {
                    other_units: base,
                    demand: wants,
                    weight,
                    granted: 0,
                };
                let (recalled, offered) = self
                    .askers
                    .get(&from)
                    .map_or((None, None), |a| (a.recalled, a.offered));
                self.askers.insert(
                    from,
                    Asker {
                        claim,
                        at: now,
                        recalled,
                        offered,
                    },
                );
                let targets = self.targets(now);
                let due = targets.iter().find(|t| t.0 == from).map_or(0, |t| t.1);
                if let Some(granted) = self
                    .ledger
                    .answer_request(now, from, number, units.min(due))
                {
                    let left = self.lendable(now).saturating_sub(self.ledger.granted(now));
                    let spare = left.min(self.ledger.max_grant(now, from).saturating_sub(granted));
                    say.push((
                        from,
                        Word::Grant {
                            budget: self.mark,
                            number,
                            units: granted,
                            spare,
                        },
                    ));
                    if granted > 0 {
                        self.cause = Cause::Lent;
                    }
                }
            }
            Word::Grant {
                number,
                units,
                spare,
                ..
            } => {
                let units = units.min(self.set.capacity);
                let had = self.ledger.leased_from(now, from);
                if self.ledger.accept_grant(now, from, number, units).is_err() {
                    return;
                }
                if units > had {
                    self.cause = Cause::Borrowed;
                    self.asks = (self.asks * ASKED_MORE).min(ASKED_MOST);
                } else if had == 0 {
                    self.asks = (self.asks * ASKED_LESS).max(1.0);
                }
                let most = AGAIN_EACH
                    .mul_f64(self.lenders.len() as f64)
                    .max(AGAIN)
                    .min(AGAIN_MOST);
                let pause = match self.lenders.get(&from) {
                    _ if units > had || spare > 0 => Duration::ZERO,
                    Some(l) if l.pause > Duration::ZERO => (l.pause + l.pause).min(most),
                    _ => AGAIN,
                };
                self.lenders.insert(
                    from,
                    Lender {
                        spare,
                        next: now + pause,
                        pause,
                    },
                );
            }
            Word::Back { number, keep, .. } => {
                let lent = self.ledger.granted(now);
                self.ledger.handle_return(from, number, keep);
                if self.ledger.granted(now) < lent {
                    self.cause = Cause::GivenBack;
                }
            }
            Word::Recall { keep, .. } => {
                self.ledger.release(from, keep);
                self.hurries |= self.ledger.has_returns(now);
                // It wants them itself: others are asked.
                self.lenders.insert(
                    from,
                    Lender {
                        spare: 0,
                        next: now + AGAIN,
                        pause: AGAIN,
                    },
                );
            }
            Word::Spare { units, .. } => {
                let missing = self.wants().saturating_sub(self.ledger.usable(now));
                let spare = units.min(self.set.capacity);
                self.lenders.insert(
                    from,
                    Lender {
                        spare,
                        next: now,
                        pause: Duration::ZERO,
                    },
                );
                if missing > 0 && spare > 0 && !self.open(now, from) {
                    let units = self.ledger.leased_from(now, from) + spare.min(missing);
                    self.ask(now, from, units, say);
                }
            }
            Word::Pull { .. } | Word::Cells { .. } => {}
        }
    }

    /// Lets go of those who are gone.
    pub fn tidy(&mut self, now: Timestamp, gone: impl Fn(IncarnationId) -> bool) {
        self.askers.retain(|who, _| !gone(*who));
        self.lenders.retain(|who, _| !gone(*who));
        self.ledger.forget(now, gone);
    }

    /// What may be used has changed since it was told last: from, to, and why.
    pub fn changed(&mut self, now: Timestamp) -> Option<(u32, u32, Cause)> {
        let usable = self.ledger.usable(now);
        let cause = std::mem::replace(&mut self.cause, Cause::Expired);
        if usable == self.told {
            return None;
        }
        let from = std::mem::replace(&mut self.told, usable);
        Some((from, usable, cause))
    }

    /// When a place may come free at the latest, where there is none now.
    pub fn until_capacity(&self, now: Timestamp) -> Duration {
        let from = self.ledger.usable_from() - now;
        if from > Duration::ZERO && self.ledger.usable(now) == 0 {
            from
        } else {
            self.set.terms.lease.mul_f64(0.5)
        }
    }
}
