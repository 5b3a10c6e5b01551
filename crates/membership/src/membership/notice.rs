//! Notices: one server tells another what its view contains for the other's name, and the other
//! answers.

use super::Membership;
use super::name_conflict::ClaimSource;
use crate::datagram::{DatagramKind, Notice, encode_body};
use crate::error::DatagramError;
use crate::identity::MemberIdentity;
use foca::{Member, State as SwimState};
use madderbay::time::Timestamp;
use std::net::SocketAddr;

impl Membership {
    /// Handles a notice. It is either a member's answer to an earlier notice, or reports what a
    /// member's view contains for this server's name.
    pub(super) fn receive_notice(
        &mut self,
        now: Timestamp,
        notice: &Notice,
    ) -> Result<(), DatagramError> {
        let subject = notice.member.id();
        if *subject == notice.from && notice.member.state() == SwimState::Alive {
            return self.receive_alive_notice(now, notice);
        }
        if !notice.from.is_valid() || !subject.is_valid() {
            return Err(DatagramError::InvalidBody);
        }
        if !self
            .settings
            .allowed_networks
            .contains(notice.from.address.ip())
        {
            return Err(DatagramError::NetworkNotAllowed);
        }
        if subject.name != self.settings.name {
            return Err(DatagramError::Misdirected);
        }
        if subject == self.local_identity() && notice.member.state() == SwimState::Suspect {
            self.refute_suspicion(now, notice);
        } else {
            self.receive_claim_notice(now, notice);
        }
        Ok(())
    }

    /// Handles a notice in which the sender states that it is alive.
    fn receive_alive_notice(
        &mut self,
        now: Timestamp,
        notice: &Notice,
    ) -> Result<(), DatagramError> {
        self.accept_sender(now, &notice.from)?;
        let update = std::iter::once(notice.member.clone());
        self.drive_swim(now, |swim, effects| swim.apply_many(update, true, effects));
        self.apply_update(
            now,
            &notice.from,
            notice.member.incarnation(),
            SwimState::Alive,
        );
        Ok(())
    }

    /// Handles a notice from a member that suspects this server. Foca raises the SWIM incarnation
    /// number, which the answer carries.
    fn refute_suspicion(&mut self, now: Timestamp, notice: &Notice) {
        let update = std::iter::once(notice.member.clone());
        self.drive_swim(now, |swim, effects| swim.apply_many(update, false, effects));
        self.answer_notice(notice);
    }

    /// Handles a notice from a server whose view contains another identity, or a down one, for this
    /// server's name.
    fn receive_claim_notice(&mut self, now: Timestamp, notice: &Notice) {
        let former_version = self.local_identity().version();
        let subject = notice.member.id();
        let is_down = notice.member.state() == SwimState::Down;
        let source = if *subject == notice.from {
            ClaimSource::Claimant
        } else {
            ClaimSource::ThirdParty
        };
        self.handle_claim(now, subject, is_down, source);
        if notice.from.name == self.settings.name {
            return;
        }
        if self.local_identity().version() != former_version {
            // The announcement tells the sender the new identity immediately.
            self.announce(now, notice.from.address);
        } else if notice.member.state() != SwimState::Alive && self.name_owner.is_none() {
            // The notice is about an earlier revision, so the sender has not received the current
            // one.
            self.answer_notice(notice);
        }
    }

    /// Answers a notice with the statement that this server is alive.
    fn answer_notice(&mut self, notice: &Notice) {
        let own = Member::new(
            self.local_identity().clone(),
            self.swim_incarnation,
            SwimState::Alive,
        );
        self.send_notice(notice.from.address, own);
    }

    /// Sends a notice unless the rate limit is exceeded.
    pub(super) fn send_rate_limited_notice(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        member: Member<MemberIdentity>,
    ) {
        if self.notice_limit.try_acquire(now) {
            self.send_notice(to, member);
        }
    }

    /// Sends a notice about the receiver, as this server's view contains it.
    pub(super) fn send_notice(&mut self, to: SocketAddr, member: Member<MemberIdentity>) {
        self.counters.notices += 1;
        let notice = Notice {
            from: self.local_identity().clone(),
            member,
        };
        if let Ok(body) = encode_body(&notice) {
            self.send(to, DatagramKind::Notice, &body);
        }
    }
}
