//! Notices: a server sends another what its view holds under the other's name, and the other
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
    /// Handles a notice: the answer of a member to a former notice, or what a member's view holds
    /// under this server's name.
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

    /// The sender says that it is alive.
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

    /// The sender suspects this server: foca raises the incarnation number, and the answer carries
    /// it.
    fn refute_suspicion(&mut self, now: Timestamp, notice: &Notice) {
        let update = std::iter::once(notice.member.clone());
        self.drive_swim(now, |swim, effects| swim.apply_many(update, false, effects));
        self.answer_notice(notice);
    }

    /// The sender's view holds another identity, or a down one, under this server's name.
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
            // The sender learns the new identity at once.
            self.announce(now, notice.from.address);
        } else if notice.member.state() != SwimState::Alive && self.name_owner.is_none() {
            // The notice concerns a former revision: the sender has not received the current one.
            self.answer_notice(notice);
        }
    }

    /// Answers a notice: this server is alive.
    fn answer_notice(&mut self, notice: &Notice) {
        let own = Member::new(
            self.local_identity().clone(),
            self.swim_incarnation,
            SwimState::Alive,
        );
        self.send_notice(notice.from.address, own);
    }

    /// Sends a notice, unless too many were sent recently.
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

    /// Sends what this server's view holds under the receiver's name.
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
