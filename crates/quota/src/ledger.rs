//! The strict part of a budget: which of its units this server may use, and why no two servers ever use one.
//! It knows no names, no chance and no wishes: how much is asked, granted and given back is decided in
//! [`crate::budget`], and whatever is decided there, the sum of calls in hand over the fleet stays within the
//! sum of all birthrights. `docs/notes/shared.md` has the invariant and its proof.

use madderbay::time::{Duration, Timestamp};
use std::collections::BTreeMap;

/// Clocks of two servers gain on each other by no more than this part.
const DRIFT: f64 = 0.02;
/// Grants to one borrower that are not over yet, each smaller than the one before; beyond, the oldest are one.
const LAYERS_MOST: usize = 16;

/// Another server in one life of it, as a small number.
pub type Who = u32;

/// What binds a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// How long a borrower may start calls on a grant, counted from when it asked for it.
    pub lease: Duration,
    /// The longest that a call, and whatever it leaves behind, is in hand below.
    pub max_call: Duration,
    /// So long before a lease ends no call is started on it any more: a start takes time to get below.
    pub guard: Duration,
}

impl LeaseTerms {
    /// How long a lender holds back what it has granted, unless it is given back before.
    pub fn held(&self) -> Duration {
        (self.lease + self.max_call).mul_f64(1.0 + DRIFT)
    }
}

/// One grant that its borrower may still use, or have calls on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Layer {
    number: u32,
    units: u32,
    until: Timestamp,
}

/// What was granted to one borrower. A later grant stands in place of an earlier one, of which calls may still
/// be in hand: so the largest that is not over counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Given {
    layers: Vec<Layer>,
    answered: u32,
    answer: u32,
}

impl Given {
    fn units(&self, now: Timestamp) -> u32 {
        self.layers
            .iter()
            .filter(|l| now < l.until)
            .map(|l| l.units)
            .max()
            .unwrap_or(0)
    }
}

/// What was taken of one lender: the grant accepted last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Taken {
    number: u32,
    units: u32,
    end: Timestamp,
    /// The question that is out, and when it was asked.
    asked: Option<(u32, Timestamp)>,
    /// Times that the lender is still to be told that some is given back.
    owed: u8,
}

/// A grant given back down to `keep` units.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Back {
    pub lender: Who,
    pub number: u32,
    pub keep: u32,
}

/// Words of a return that are sent: one may be lost.
const BACK_TOLD: u8 = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    terms: LeaseTerms,
    own: u32,
    /// From when on the birthright may be used: what a former life of this server lent is over by then.
    from: Timestamp,
    in_use: u32,
    /// Questions asked in this life: a number is never used again, also not after a lender was let go of.
    numbered: u32,
    given: BTreeMap<Who, Given>,
    taken: BTreeMap<Who, Taken>,
}

impl Ledger {
    /// `own` is this server's birthright, which it may use, and lend, from `from` on.
    pub fn new(terms: LeaseTerms, own: u32, from: Timestamp) -> Ledger {
        let (given, taken) = (BTreeMap::new(), BTreeMap::new());
        Ledger {
            terms,
            own,
            from,
            in_use: 0,
            numbered: 0,
            given,
            taken,
        }
    }

    pub fn terms(&self) -> LeaseTerms {
        self.terms
    }

    /// The birthright as of now.
    pub fn own(&self, now: Timestamp) -> u32 {
        if now >= self.from { self.own } else { 0 }
    }

    /// Another birthright from here on; with `from` one that waits until then.
    pub fn set_own(&mut self, own: u32, from: Option<Timestamp>) {
        self.own = own;
        self.from = from.unwrap_or(self.from);
    }

    /// When the birthright may be used.
    pub fn usable_from(&self) -> Timestamp {
        self.from
    }

    /// Units granted to others that may still be in use there.
    pub fn lent(&self, now: Timestamp) -> u32 {
        self.given.values().map(|g| g.units(now)).sum()
    }

    pub fn lent_to(&self, now: Timestamp, who: Who) -> u32 {
        self.given.get(&who).map_or(0, |g| g.units(now))
    }

    /// Units of others that calls may be started on.
    pub fn borrowed(&self, now: Timestamp) -> u32 {
        self.taken
            .values()
            .filter(|t| now < t.end)
            .map(|t| t.units)
            .sum()
    }

    pub fn borrowed_of(&self, now: Timestamp, who: Who) -> u32 {
        self.taken
            .get(&who)
            .filter(|t| now < t.end)
            .map_or(0, |t| t.units)
    }

    /// Those of whom something is borrowed, how much, and how long it may still be used.
    pub fn loans(&self, now: Timestamp) -> impl Iterator<Item = (Who, u32, Duration)> {
        let open = self
            .taken
            .iter()
            .filter(move |t| now < t.1.end && t.1.units > 0);
        open.map(move |(who, t)| (*who, t.units, t.end - now))
    }

    /// Calls that may be in hand as far as starts go.
    pub fn usable(&self, now: Timestamp) -> u32 {
        self.own(now).saturating_sub(self.lent(now)) + self.borrowed(now)
    }

    /// Calls in hand, those that outlast their lease among them.
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    pub fn may_start(&self, now: Timestamp) -> bool {
        self.in_use < self.usable(now)
    }

    /// A call was started; whoever starts one that may not be started is counted all the same.
    pub fn started(&mut self) {
        self.in_use += 1;
    }

    pub fn ended(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    // --- as a lender

    /// The most that one who asks may be granted in all, what it has among it.
    pub fn could_grant(&self, now: Timestamp, to: Who) -> u32 {
        let (own, lent, has) = (self.own(now), self.lent(now), self.lent_to(now, to));
        match own.checked_sub(lent) {
            // What is to be lent anew must lie idle.
            Some(kept) => has + kept.saturating_sub(self.in_use),
            None => has.saturating_sub(lent - own),
        }
    }

    /// Answers question `number` of a borrower with that many units in all, or fewer; nothing where a later
    /// one was answered before, and the same again where this one was.
    pub fn grant(&mut self, now: Timestamp, to: Who, number: u32, units: u32) -> Option<u32> {
        let most = self.could_grant(now, to);
        let until = now + self.terms.held();
        let given = self.given.entry(to).or_default();
        if number <= given.answered {
            return (number == given.answered).then_some(given.answer);
        }
        let units = units.min(most);
        // One that is over sooner and no larger than this one binds nothing more.
        given.layers.retain(|l| now < l.until && l.units > units);
        if given.layers.len() >= LAYERS_MOST {
            // The two oldest are held back as one: as many as the larger, as long as the later.
            let first = given.layers.remove(0);
            given.layers[0].units = given.layers[0].units.max(first.units);
        }
        (given.answered, given.answer) = (number, units);
        if units > 0 {
            given.layers.push(Layer {
                number,
                units,
                until,
            });
        }
        Some(units)
    }

    /// A borrower gives its grant `number`, and with it all earlier ones, back down to `keep` units.
    pub fn returned(&mut self, from: Who, number: u32, keep: u32) {
        let Some(given) = self.given.get_mut(&from) else {
            return;
        };
        given
            .layers
            .iter_mut()
            .filter(|l| l.number <= number)
            .for_each(|l| l.units = l.units.min(keep));
        given.layers.retain(|l| l.units > 0);
    }

    // --- as a borrower

    /// A question to a lender: its number.
    pub fn ask(&mut self, now: Timestamp, lender: Who) -> u32 {
        self.numbered += 1;
        self.taken.entry(lender).or_default().asked = Some((self.numbered, now));
        self.numbered
    }

    /// Whether a question is out and when it was asked.
    pub fn asked(&self, lender: Who) -> Option<Timestamp> {
        self.taken.get(&lender)?.asked.map(|a| a.1)
    }

    /// The answer to a question. One that nobody waits for, or that comes when its lease is over, is nothing.
    pub fn granted(&mut self, now: Timestamp, lender: Who, number: u32, units: u32) -> bool {
        let Some(taken) = self.taken.get_mut(&lender) else {
            return false;
        };
        let Some((_, at)) = taken.asked.take_if(|a| a.0 == number) else {
            return false;
        };
        let end = at + self.terms.lease.saturating_sub(self.terms.guard);
        if now >= end {
            return false;
        }
        (taken.number, taken.units, taken.end, taken.owed) = (number, units, end, 0);
        true
    }

    /// No call is started any more on what is borrowed of a lender beyond `keep` units; what is over is given
    /// back once no call needs it.
    pub fn give_back(&mut self, lender: Who, keep: u32) {
        if let Some(taken) = self.taken.get_mut(&lender).filter(|t| t.units > keep) {
            (taken.units, taken.owed) = (keep, BACK_TOLD);
        }
    }

    /// Whether a lender is still to be told that some is given back, and no call in hand needs it any more.
    pub fn owes(&self, now: Timestamp) -> bool {
        self.in_use <= self.usable(now) && self.taken.values().any(|t| t.owed > 0)
    }

    /// What is to be said to lenders: grants that no call in hand needs as they were.
    pub fn backs(&mut self, now: Timestamp) -> Vec<Back> {
        if self.in_use > self.usable(now) {
            return vec![];
        }
        let owed = self.taken.iter_mut().filter(|t| t.1.owed > 0);
        owed.map(|(lender, t)| {
            t.owed -= 1;
            Back {
                lender: *lender,
                number: t.number,
                keep: if now < t.end { t.units } else { 0 },
            }
        })
        .collect()
    }

    /// Lets go of those with whom nothing is open any more.
    pub fn tidy(&mut self, now: Timestamp, gone: impl Fn(Who) -> bool) {
        self.given.retain(|who, g| !gone(*who) || g.units(now) > 0);
        self.taken.retain(|who, t| !gone(*who) || now < t.end);
    }

    /// Whether anything is remembered of one.
    pub fn knows(&self, who: Who) -> bool {
        self.given.contains_key(&who) || self.taken.contains_key(&who)
    }

    /// Servers with which something is open.
    pub fn len(&self) -> usize {
        self.given.len() + self.taken.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod model;

#[cfg(test)]
mod tests;
