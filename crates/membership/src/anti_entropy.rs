//! Anti-entropy: decides when to request the roster of a member whose digest of the view differs.
//!
//! Rosters are requested page by page and one at a time. The interval between rosters grows while
//! they contain nothing new. The module stores the pending request and the time of the next one. It
//! is called when digests differ and when pages arrive; it neither sends requests nor reads the
//! members on a page.

use crate::identity::MemberIdentity;
use compact_str::CompactString;
use madderbay::time::{Duration, Timestamp};

/// A page that has not arrived after this time counts as lost.
const PAGE_TIMEOUT: Duration = Duration::from_millis(250);
/// If the view changed within this time, digests may differ only because gossip is still spreading.
const GOSSIP_SETTLE_TIME: Duration = Duration::from_millis(1_000);
/// First interval between two rosters.
const INITIAL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval after a roster that contained something new, as more is likely to be missing.
const PRODUCTIVE_INTERVAL: Duration = Duration::from_millis(400);
/// Upper bound on the interval while rosters contain nothing new.
const MAX_INTERVAL: Duration = Duration::from_millis(2_000);

/// A page that was requested and has not arrived yet.
struct PendingPage {
    member: MemberIdentity,
    /// The page starts after this name.
    after: CompactString,
    requested_at: Timestamp,
}

/// Schedules the requests for rosters.
pub(crate) struct RosterSync {
    pending: Option<PendingPage>,
    next_request: Timestamp,
    interval: Duration,
    /// Number of new members in the current roster so far.
    new_members: usize,
    complete: bool,
}

impl RosterSync {
    /// Creates a schedule in which a request is possible immediately.
    pub(crate) fn new(now: Timestamp) -> RosterSync {
        RosterSync {
            pending: None,
            next_request: now,
            interval: INITIAL_INTERVAL,
            new_members: 0,
            complete: false,
        }
    }

    /// Reports whether the view has been complete at least once: a roster was read to its end, or
    /// the digest of a member was equal.
    pub(crate) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Records that the view is complete because a member has the same digest.
    pub(crate) fn set_complete(&mut self) {
        self.complete = true;
    }

    /// Decides whether to request the roster of a member whose digest differs, and records the
    /// request. Returns the name after which the requested page starts, or `None` if no request is
    /// due. If a page of a roster was lost, the roster continues at that page with the member that
    /// was received from next. `view_changed` is the time of the last change of this server's view;
    /// `draw` is a random number from 0 to 1.
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

    /// Reports whether to wait for gossip to remove a difference. The wait is bounded in case the
    /// view keeps changing, and is skipped after a roster that contained something that gossip had
    /// not delivered.
    fn gossip_is_spreading(&self, now: Timestamp, view_changed: Timestamp) -> bool {
        let recent = now - view_changed < GOSSIP_SETTLE_TIME;
        let within_bound = now < self.next_request + GOSSIP_SETTLE_TIME;
        self.complete && self.interval > PRODUCTIVE_INTERVAL && recent && within_bound
    }

    /// Returns the name after which the pending page starts, or `None` if no page of this member
    /// was requested.
    pub(crate) fn pending_page(&self, from: &MemberIdentity) -> Option<&CompactString> {
        self.pending
            .as_ref()
            .filter(|p| p.member.name == from.name)
            .map(|p| &p.after)
    }

    /// Handles a requested page. `last_name` is the last name on the page, `is_last` tells that no
    /// page follows, and `new_members` is the number of new members on it. Returns the name after
    /// which the next page starts, or `None` if the roster ends here.
    pub(crate) fn handle_page(
        &mut self,
        now: Timestamp,
        last_name: Option<&CompactString>,
        is_last: bool,
        new_members: usize,
    ) -> Option<CompactString> {
        let pending = self.pending.as_mut()?;
        self.new_members += new_members;
        // A page that does not advance would be requested again and again.
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
