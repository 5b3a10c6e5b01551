//! Filtering and application of updates about members that other servers sent.
//!
//! No member is declared down merely because another server reports it. Each server waits for its
//! own suspicion to expire, so that one wrong report does not spread. Only a departure is applied
//! directly, because the member announced it itself.

use super::Membership;
use super::name_conflict::ClaimSource;
use crate::error::DatagramError;
use crate::event::ChangeReason;
use crate::identity::{MemberIdentity, Phase};
use crate::member_table::{Liveness, MemberRecord};
use crate::view::MemberState;
use foca::{Member, State as SwimState, Timer};
use madderbay::time::Timestamp;
use std::cmp::Ordering;

impl Membership {
    /// Returns the update to apply, or `None` if it is ignored. An update that is only partly
    /// trusted is returned with a weaker state. `sender_degraded` tells whether the sender was
    /// paused recently; its suspicions are then ignored.
    pub(super) fn filter_update(
        &mut self,
        now: Timestamp,
        update: Member<MemberIdentity>,
        sender_degraded: bool,
    ) -> Option<Member<MemberIdentity>> {
        let identity = update.id();
        if !identity.is_valid()
            || !self
                .settings
                .allowed_networks
                .contains(identity.address.ip())
        {
            self.counters
                .rejected
                .increment(DatagramError::NetworkNotAllowed);
            return None;
        }
        if identity.name == self.settings.name {
            return self.filter_own_update(now, update);
        }
        if reports_failure(&update) && sender_degraded {
            return None;
        }
        let Some(record) = self.members.get(&identity.name) else {
            return self.filter_unknown_update(update);
        };
        match identity.compare_precedence(record.identity()) {
            Ordering::Less => None,
            Ordering::Greater => Some(filter_newer_identity_update(record, update)),
            Ordering::Equal if record.is_active() => filter_active_member_update(record, update),
            Ordering::Equal => {
                self.notify_down_member(now, &update);
                None
            }
        }
    }

    /// Filters an update about this server's name. Foca refutes a suspicion of the current
    /// identity; all other updates are claims to the name.
    fn filter_own_update(
        &mut self,
        now: Timestamp,
        update: Member<MemberIdentity>,
    ) -> Option<Member<MemberIdentity>> {
        if update.id() == self.local_identity() && update.state() == SwimState::Suspect {
            return Some(update);
        }
        let is_down = update.state() == SwimState::Down;
        self.handle_claim(now, update.id(), is_down, ClaimSource::ThirdParty);
        None
    }

    /// Filters an update about a server that the view does not contain.
    fn filter_unknown_update(
        &mut self,
        update: Member<MemberIdentity>,
    ) -> Option<Member<MemberIdentity>> {
        if update.state() == SwimState::Down {
            return None;
        }
        if self.members.is_full() {
            self.counters.rejected.increment(DatagramError::TableFull);
            return None;
        }
        Some(update)
    }

    /// Handles an update according to which a member that is down here is active. If the member is
    /// running, a notice lets it refute that it is down.
    fn notify_down_member(&mut self, now: Timestamp, update: &Member<MemberIdentity>) {
        let identity = update.id();
        let Some(record) = self.members.get(&identity.name) else {
            return;
        };
        if update.state() == SwimState::Down || record.has_left() {
            return;
        }
        let down = Member::new(identity.clone(), record.swim_incarnation(), SwimState::Down);
        self.send_rate_limited_notice(now, identity.address, down);
    }

    /// Applies an accepted update if it starts or ends a suspicion. In foca, only the server that
    /// probed a member waits for its refutation; here, each server that learns of a suspicion waits
    /// by its own clock.
    pub(super) fn apply_update(
        &mut self,
        now: Timestamp,
        identity: &MemberIdentity,
        swim_incarnation: u16,
        state: SwimState,
    ) {
        let Some(record) = self.members.get_active_mut(identity) else {
            return;
        };
        let known = record.swim_incarnation();
        match (state, record.liveness()) {
            (SwimState::Suspect, Liveness::Alive) if swim_incarnation >= known => {
                self.start_suspicion(now, identity, swim_incarnation);
                let timer = Timer::ChangeSuspectToDown {
                    member_id: identity.clone(),
                    incarnation: swim_incarnation,
                    token: 0,
                };
                self.swim_timers
                    .set(now + self.settings.suspicion_timeout, timer);
            }
            (SwimState::Alive, Liveness::Suspect) if swim_incarnation > known => {
                record.refute(now, swim_incarnation);
                let state = record.state();
                self.counters.refutations += 1;
                self.push_state_change(
                    identity,
                    Some(MemberState::Suspect),
                    state,
                    ChangeReason::Refuted,
                );
            }
            _ => record.raise_swim_incarnation(swim_incarnation),
        }
    }
}

/// Reports whether an update says that a member failed, as opposed to left.
fn reports_failure(update: &Member<MemberIdentity>) -> bool {
    update.state() != SwimState::Alive && update.id().phase != Phase::Left
}

/// Filters an update about a newer identity than the known one. A report that the new identity of
/// an active member is down is reduced to a suspicion.
fn filter_newer_identity_update(
    record: &MemberRecord,
    update: Member<MemberIdentity>,
) -> Member<MemberIdentity> {
    if record.is_active() && update.state() == SwimState::Down && reports_failure(&update) {
        return Member::new(
            update.id().clone(),
            update.incarnation(),
            SwimState::Suspect,
        );
    }
    update
}

/// Filters an update about the known identity of an active member. Most updates repeat what is
/// known; these are dropped. A report that the member is down is reduced to a suspicion.
fn filter_active_member_update(
    record: &MemberRecord,
    update: Member<MemberIdentity>,
) -> Option<Member<MemberIdentity>> {
    let known = record.swim_incarnation();
    let received = update.incarnation();
    match update.state() {
        SwimState::Alive => (received > known).then_some(update),
        SwimState::Suspect if record.is_suspect() => (received > known).then_some(update),
        SwimState::Suspect => (received >= known).then_some(update),
        SwimState::Down if !reports_failure(&update) => Some(update),
        SwimState::Down if record.is_suspect() => None,
        SwimState::Down => Some(Member::new(update.id().clone(), known, SwimState::Suspect)),
    }
}
