//! Handling of received SWIM messages: the checks before foca handles them, and the filtering of
//! updates.

use super::Membership;
use super::receive::MAX_GOSSIP_BACKLOG;
use crate::datagram::Header;
use crate::error::DatagramError;
use crate::identity::{MemberIdentity, Phase};
use crate::swim_packet::SwimPacket;
use foca::{Member, Message, State as SwimState};
use madderbay::time::Timestamp;

impl Membership {
    /// Handles a SWIM body and returns its sender.
    pub(super) fn receive_swim(
        &mut self,
        now: Timestamp,
        header: &Header,
        body: &[u8],
    ) -> Result<MemberIdentity, DatagramError> {
        let mut packet = SwimPacket::decode(body)?;
        let from = packet.header.src.clone();
        self.check_destination(&packet)?;
        // Replaces the destination, so that foca also accepts messages to an unknown or an earlier
        // identity of this server.
        packet.header.dst = self.local_identity().clone();
        self.check_third_party(&packet.header.message)?;
        self.accept_sender(now, &from)?;
        self.filter_packet(now, &mut packet, header.health_score > 0);
        self.handle_packet(now, packet);
        Ok(from)
    }

    /// Rejects messages that are not addressed to this server. During a name conflict, this server
    /// accepts only the answer of a member that accepted its announcement, which ends the conflict.
    fn check_destination(&mut self, packet: &SwimPacket) -> Result<(), DatagramError> {
        let own = self.local_identity();
        let from = &packet.header.src;
        let to = &packet.header.dst;
        let is_announcement = packet.header.message == Message::Announce;
        if to.name != own.name && !(to.name.is_empty() && is_announcement) {
            return Err(DatagramError::Misdirected);
        }
        if self.name_owner.is_some() {
            let is_answer = packet.header.message == Message::Feed;
            if to != own || !is_answer || from.name == own.name {
                return Err(DatagramError::Misdirected);
            }
            self.regain_name();
        }
        Ok(())
    }

    /// Rejects an indirect probe if the third server that it involves, besides sender and receiver,
    /// is invalid or outside the allowed networks.
    fn check_third_party(&self, message: &Message<MemberIdentity>) -> Result<(), DatagramError> {
        let (Message::PingReq { target: other, .. }
        | Message::IndirectPing { origin: other, .. }
        | Message::IndirectAck { target: other, .. }
        | Message::ForwardedAck { origin: other, .. }) = message
        else {
            return Ok(());
        };
        if other.is_valid() && self.settings.allowed_networks.contains(other.address.ip()) {
            Ok(())
        } else {
            Err(DatagramError::NetworkNotAllowed)
        }
    }

    /// Removes the updates of a packet that are not to be applied. A packet from a member that left
    /// gets an update that the member is down.
    fn filter_packet(&mut self, now: Timestamp, packet: &mut SwimPacket, sender_degraded: bool) {
        let updates = std::mem::take(&mut packet.updates);
        packet.updates = updates
            .into_iter()
            .filter_map(|u| self.filter_update(now, u, sender_degraded))
            .collect();
        let from = &packet.header.src;
        if from.phase == Phase::Left {
            packet.updates.push(Member::down(from.clone()));
        }
    }

    /// Passes a packet to foca and applies its updates.
    fn handle_packet(&mut self, now: Timestamp, mut packet: SwimPacket) {
        let updates = packet.updates.clone();
        if self.swim.updates_backlog() > MAX_GOSSIP_BACKLOG {
            let ungossiped = std::mem::take(&mut packet.updates);
            self.drive_swim(now, |swim, effects| {
                swim.apply_many(ungossiped.into_iter(), false, effects)
            });
        }
        let from = &packet.header.src;
        if let Message::Ack(probe_number) = packet.header.message {
            self.probe_retry.record_answer(from, probe_number);
        }
        let bytes = packet.encode();
        self.drive_swim(now, |swim, effects| swim.handle_data(&bytes, effects));
        self.apply_update(now, from, packet.header.src_incarnation, SwimState::Alive);
        for update in &updates {
            self.apply_update(now, update.id(), update.incarnation(), update.state());
        }
    }
}
