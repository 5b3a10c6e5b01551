//! Anti-entropy: when to request the roster of a member whose view digest differs.
//!
//! A roster is read page by page, one roster at a time; the interval between rosters grows while
//! they contain nothing new. Owns the pending request and the time of the next one. It is given
//! digests' differences and random numbers; it never sends and never reads the roster's content.

use crate::identity::MemberIdentity;
use compact_str::CompactString;
use madderbay::time::{Duration, Timestamp};

/// A page that has not arrived after this time counts as lost.
const PAGE_TIMEOUT: Duration = Duration::from_millis(250);
/// While the view changed within this time, digests differ because gossip is still spreading.
const GOSSIP_SETTLE_TIME: Duration = Duration::from_millis(1_000);
/// First interval between two rosters.
const INITIAL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval after a roster that contained something new, as more is likely missing.
const PRODUCTIVE_INTERVAL: Duration = Duration::from_millis(400);
/// Upper bound on the interval where rosters contain nothing new.
const MAX_INTERVAL: Duration = Duration::from_millis(2_000);

/// A page that was requested and has not arrived.
struct PendingPage {
    member: MemberIdentity,
    /// The page starts after this name.
    after: CompactString,
    requested_at: Timestamp,
}

/// Schedules the rosters that this server requests.
pub(crate) struct RosterSync {
    pending: Option<PendingPage>,
    next_request: Timestamp,
    interval: Duration,
    /// Number of new members in the current roster.
    new_members: usize,
    complete: bool,
}

impl RosterSync {
    /// A request is possible at once.
    pub(crate) fn new(now: Timestamp) -> RosterSync {
        RosterSync {
            pending: None,
            next_request: now,
            interval: INITIAL_INTERVAL,
            new_members: 0,
            complete: false,
        }
    }

    /// Whether the view was complete at least once: a roster was read to its end, or a digest was
    /// equal.
    pub(crate) fn is_complete(&self) -> bool {
        self.complete
    }

    /// A member has the same digest: the view is complete.
    pub(crate) fn set_complete(&mut self) {
        self.complete = true;
    }

    /// The digest of a member differs. Returns the name after which to request its roster now, if
    /// at all. A roster of which a page was lost continues at that page, with the member that was
    /// received next. `view_changed` is the time of the last change of the own view; `draw` is a
    /// random number from 0 to 1.
    pub(crate) fn try_start_request(
        &mut self,
        now: Timestamp,
        member: &MemberIdentity,
        view_changed: Timestamp,
        draw: f64,
    ) -> Option<CompactString> {
        let awaits_page = self
            .pending
            .as_ref()
            .is_some_and(|p| now - p.requested_at < PAGE_TIMEOUT);
        let page_lost = self.pending.is_some() && !awaits_page;
        let too_early = now < self.next_request && !page_lost;
        if awaits_page || self.gossip_is_spreading(now, view_changed) || too_early {
            return None;
        }
        let after = self
            .pending
            .take()
            .map_or(CompactString::default(), |p| p.after);
        self.pending = Some(PendingPage {
            member: member.clone(),
            after: after.clone(),
            requested_at: now,
        });
        self.next_request = now + self.interval.mul_f64(0.5 + draw);
        if !page_lost {
            self.new_members = 0;
        }
        Some(after)
    }

    /// Whether to leave a difference to gossip. The wait is bounded for a view that keeps changing,
    /// and is skipped after a roster that contained something which gossip had not delivered.
    fn gossip_is_spreading(&self, now: Timestamp, view_changed: Timestamp) -> bool {
        let recent = now - view_changed < GOSSIP_SETTLE_TIME;
        let within_bound = now < self.next_request + GOSSIP_SETTLE_TIME;
        self.complete && self.interval > PRODUCTIVE_INTERVAL && recent && within_bound
    }

    /// The name after which a received page starts; nothing if the page was not requested.
    pub(crate) fn pending_page(&self, from: &MemberIdentity) -> Option<&CompactString> {
        self.pending
            .as_ref()
            .filter(|p| p.member.name == from.name)
            .map(|p| &p.after)
    }

    /// A requested page arrived. `last_name` is the last name on it, `is_last` says that no page
    /// follows, and `new_members` counts what was new. Returns the name after which to request the
    /// next page, if one follows.
    pub(crate) fn handle_page(
        &mut self,
        now: Timestamp,
        last_name: Option<&CompactString>,
        is_last: bool,
        new_members: usize,
    ) -> Option<CompactString> {
        let pending = self.pending.as_mut()?;
        self.new_members += new_members;
        // A page that does not advance would be requested for ever.
        if let Some(name) = last_name.filter(|name| !is_last && **name > pending.after) {
            pending.after = name.clone();
            pending.requested_at = now;
            return Some(name.clone());
        }
        self.finish_roster(now);
        None
    }

    fn finish_roster(&mut self, now: Timestamp) {
        self.pending = None;
        self.complete = true;
        if self.new_members > 0 {
            self.interval = PRODUCTIVE_INTERVAL;
            self.next_request = self.next_request.min(now + PRODUCTIVE_INTERVAL);
        } else {
            self.interval = (self.interval + self.interval).min(MAX_INTERVAL);
        }
    }
}

#[cfg(test)]
mod tests;
