//! Two views made one: who sees that another's digest differs asks for its whole roster, page by page, one
//! roster at a time and the seldomer the less it brings.

use crate::identity::MemberIdentity;
use compact_str::CompactString;
use madderbay::time::{Duration, Timestamp};

/// A page that does not come in this time never will.
const PAGE: Duration = Duration::from_millis(250);
/// Views that changed this lately differ only because news is under way.
const SETTLES: Duration = Duration::from_millis(1_000);
/// Between two rosters at the least, and at the most where they bring nothing new; and after one that did bring
/// something, since there is more where that came from.
const LEAST: Duration = Duration::from_millis(1_000);
const BROUGHT: Duration = Duration::from_millis(400);
const MOST: Duration = Duration::from_millis(2_000);

pub struct Roster {
    /// Who is asked, past which name, and since when.
    asked: Option<(MemberIdentity, CompactString, Timestamp)>,
    next: Timestamp,
    gap: Duration,
    brought: usize,
    /// Whether one was read to its end.
    pub whole: bool,
}

impl Roster {
    pub fn new(now: Timestamp) -> Roster {
        Roster {
            asked: None,
            next: now,
            gap: LEAST,
            brought: 0,
            whole: false,
        }
    }

    /// A member's digest differs from the own: the name past which to ask it now, if it is to be asked. One of
    /// which a page was lost goes on from there, with whoever is heard next. `changed`: when the own view last
    /// did.
    pub fn differs(
        &mut self,
        now: Timestamp,
        from: &MemberIdentity,
        changed: Timestamp,
        draw: f64,
    ) -> Option<CompactString> {
        let waits = self.asked.as_ref().is_some_and(|a| now - a.2 < PAGE);
        // A view that goes on changing, a little at a time, is not waited for for ever.
        // Nor is one waited for whose last roster told of what no rumour had brought.
        let news = now - changed < SETTLES && now < self.next + SETTLES;
        let settling = self.whole && self.gap > BROUGHT && news;
        let lost = self.asked.is_some();
        if waits || settling || now < self.next && !lost {
            return None;
        }
        let after = self.asked.take().map_or(CompactString::default(), |a| a.1);
        self.asked = Some((from.clone(), after.clone(), now));
        self.next = now + self.gap.mul_f64(0.5 + draw);
        self.brought = if lost { self.brought } else { 0 };
        Some(after)
    }

    /// Past which name a page that came goes; nothing where it was not asked for.
    pub fn due(&self, from: &MemberIdentity) -> Option<&CompactString> {
        self.asked
            .as_ref()
            .filter(|a| a.0.name == from.name)
            .map(|a| &a.1)
    }

    /// A page came, with so many that were new; the name past which to ask on, where there is more.
    pub fn page(
        &mut self,
        now: Timestamp,
        names: Option<&CompactString>,
        last: bool,
        new: usize,
    ) -> Option<CompactString> {
        let asked = self.asked.as_mut()?;
        self.brought += new;
        if let Some(name) = names.filter(|n| !last && **n > asked.1) {
            (asked.1, asked.2) = (name.clone(), now);
            return Some(name.clone());
        }
        self.asked = None;
        self.whole = true;
        if self.brought > 0 {
            self.gap = BROUGHT;
            self.next = self.next.min(now + BROUGHT);
        } else {
            self.gap = (self.gap + self.gap).min(MOST);
        }
        None
    }
}

#[cfg(test)]
mod tests;
