//! Lifecycle of this server's incarnation: joining, draining and leaving; also reconnection.

use super::Membership;
use crate::connectivity::Connectivity;
use crate::identity::{MemberIdentity, Phase};
use madderbay::time::{Duration, Timestamp};
use std::net::SocketAddr;

/// Longest time from the first contact with a member until a server counts as joined, even if its
/// view is not complete yet. A server without peers is joined at once.
const MAX_JOIN_TIME: Duration = Duration::from_millis(3_000);
/// Number of gossip rounds that announce the departure.
const LEAVE_ROUNDS: usize = 3;

impl Membership {
    /// Announces that this server accepts no new work.
    pub fn drain(&mut self, now: Timestamp) {
        let now = self.advance_clock(now);
        if self.local_identity().phase < Phase::Draining {
            self.set_identity(now, self.local_identity().next_revision(Phase::Draining));
        }
    }

    /// Announces to some members that this server leaves the fleet. From then on, this server
    /// ignores all datagrams.
    pub fn leave(&mut self, now: Timestamp) {
        let now = self.advance_clock(now);
        self.set_identity(now, self.local_identity().next_revision(Phase::Left));
        self.drive_swim(now, |swim, effects| swim.leave_cluster(effects));
        for _ in 1..LEAVE_ROUNDS {
            self.drive_swim(now, |swim, effects| swim.gossip(effects));
        }
    }

    /// Reports whether this server has left the fleet.
    pub(super) fn has_left(&self) -> bool {
        self.local_identity().phase == Phase::Left
    }

    /// Returns when this server counts as joined even if its view is not complete.
    pub(super) fn join_deadline(&self) -> Option<Timestamp> {
        let contact = self
            .first_contact
            .filter(|_| self.local_identity().phase == Phase::Joining)?;
        Some(contact + MAX_JOIN_TIME)
    }

    /// Ends the joining phase if the view is complete, the join deadline has passed, or no peers
    /// are expected.
    pub(super) fn advance_phase(&mut self, now: Timestamp) {
        if self.local_identity().phase != Phase::Joining || self.name_owner.is_some() {
            return;
        }
        let has_no_peers = !self.reconnector.has_join_addresses() && self.members.is_empty();
        let has_view = self.first_contact.is_some_and(|contact| {
            self.roster_sync.is_complete() || now - contact >= MAX_JOIN_TIME
        });
        if has_no_peers || has_view {
            self.set_identity(now, self.local_identity().next_revision(Phase::Joined));
        }
    }

    /// Replaces this server's own identity and keeps the members.
    pub(super) fn set_identity(&mut self, now: Timestamp, identity: MemberIdentity) {
        self.members
            .replace_own(now, self.swim.identity(), &identity);
        self.drive_swim(now, |swim, effects| {
            swim.change_identity(identity, &mut *effects)?;
            // Even without updates, this call makes foca resume with the members that it knows.
            swim.apply_many(std::iter::empty(), false, effects)
        });
    }

    /// Contacts a server that is not an active member, if an attempt is due.
    pub(super) fn reconnect(&mut self, now: Timestamp) {
        if now < self.reconnector.next_timeout() || self.has_left() {
            return;
        }
        let impaired = self.connectivity.level != Connectivity::Complete;
        let down = self.members.down_addresses();
        let members = &self.members;
        let rng = &mut self.rng;
        let is_active = |address| members.has_active_address(address);
        if let Some(to) = self
            .reconnector
            .pick(now, impaired, is_active, &down, || rng.float())
        {
            self.announce(now, to);
        }
    }

    /// Asks the server at an address to add this server to its view.
    pub(super) fn announce(&mut self, now: Timestamp, to: SocketAddr) {
        self.drive_swim(now, |swim, effects| {
            swim.announce(MemberIdentity::unknown(to), effects)
        });
    }
}
