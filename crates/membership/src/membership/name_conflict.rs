//! Handles other servers or earlier incarnations that claim this server's name.

use super::Membership;
use crate::event::MembershipEvent;
use crate::identity::MemberIdentity;
use crate::name_claim::{ClaimVerdict, judge_claim};
use crate::swim::new_swim;
use foca::Member;
use madderbay::time::Timestamp;
use std::net::SocketAddr;

/// Origin of a claim to this server's name.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ClaimSource {
    /// The claimant sent it.
    Claimant,
    /// Another server reported it. Such a report alone never makes this server give up its name.
    ThirdParty,
}

impl Membership {
    /// Handles a claim to this server's name. `down` tells whether the reporting server considers
    /// the claimant down.
    pub(super) fn handle_claim(
        &mut self,
        now: Timestamp,
        claimant: &MemberIdentity,
        down: bool,
        source: ClaimSource,
    ) {
        match judge_claim(self.local_identity(), claimant, down) {
            ClaimVerdict::Stale => {}
            ClaimVerdict::DeclaredDown => self.renew_identity(now),
            ClaimVerdict::FormerIncarnation { incarnation } => {
                self.supersede_incarnation(now, incarnation);
            }
            ClaimVerdict::NameConflict if source == ClaimSource::ThirdParty => {
                self.query_claimant(now, claimant.address);
            }
            ClaimVerdict::NameConflict => self.yield_name(now, claimant.address),
        }
    }

    /// Refutes that this server is down by raising the revision of its identity.
    fn renew_identity(&mut self, now: Timestamp) {
        self.counters.identity_renewals += 1;
        let identity = self
            .local_identity()
            .next_revision(self.local_identity().phase);
        self.push_event(MembershipEvent::IdentityRenewed {
            revision: identity.revision,
        });
        self.set_identity(now, identity);
    }

    /// Replaces this server's incarnation by one that is higher than that of an earlier
    /// incarnation.
    fn supersede_incarnation(&mut self, now: Timestamp, incarnation: u64) {
        self.regain_name();
        self.push_event(MembershipEvent::IncarnationSuperseded { incarnation });
        let identity = MemberIdentity {
            incarnation: incarnation + 1,
            revision: 0,
            ..self.local_identity().clone()
        };
        self.set_identity(now, identity);
    }

    /// Sends a notice to a claimant that a third party reported. If the claimant is running, it
    /// answers with its own claim.
    fn query_claimant(&mut self, now: Timestamp, address: SocketAddr) {
        if self.name_owner.is_none() {
            self.send_rate_limited_notice(
                now,
                address,
                Member::alive(self.local_identity().clone()),
            );
        }
    }

    /// Gives up the name to another server. This server clears its view and stays silent except for
    /// reconnection attempts, which also go to its previous members and show when the name is free
    /// again.
    fn yield_name(&mut self, now: Timestamp, owner: SocketAddr) {
        if self.name_owner.replace(owner).is_some() {
            return;
        }
        self.push_event(MembershipEvent::NameConflict { address: owner });
        let seed = (self.rng.float() * (1u64 << 53) as f64) as u64;
        let identity = self.local_identity().clone();
        for address in self.members.clear(&identity) {
            self.reconnector.record_removal(now, address);
        }
        self.swim = new_swim(identity, &self.settings, seed);
        self.swim_timers.clear();
        self.reconnector.record_member_loss(now);
    }

    /// Ends the name conflict, if there is one.
    pub(super) fn regain_name(&mut self) {
        if self.name_owner.take().is_some() {
            self.push_event(MembershipEvent::NameRegained);
        }
    }
}
