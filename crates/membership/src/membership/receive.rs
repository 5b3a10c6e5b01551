//! Receiving datagrams: which senders are accepted, and what their digests lead to.

use super::name_conflict::ClaimSource;
use super::{Membership, ReceivedMessage};
use crate::datagram::{
    self, DatagramKind, Header, Notice, RosterPage, RosterRequest, SubsystemMessage, decode_body,
};
use crate::error::DatagramError;
use crate::identity::{MemberIdentity, Phase};
use foca::{Member, State as SwimState};
use madderbay::time::Timestamp;
use std::net::SocketAddr;

/// Upper bound on the number of subsystem messages that wait to be taken: the datagrams of one turn
/// of the caller's loop. Further ones are dropped and counted.
const MAX_PENDING_MESSAGES: usize = 64;
/// Upper bound on the number of updates that foca gossips. Beyond it, updates are applied but not
/// gossiped, and rosters deliver them to the other members.
pub(super) const MAX_GOSSIP_BACKLOG: usize = 200;

impl Membership {
    /// Handles a datagram that arrived from an address. `now` is of the same clock as in
    /// [`Membership::new`]. Rejected datagrams are counted by reason.
    pub fn handle_datagram(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) {
        let now = self.advance_clock(now);
        self.counters.received += 1;
        self.counters.bytes_in += bytes.len() as u64;
        if let Err(reason) = self.receive(now, from, bytes) {
            self.counters.rejected.increment(reason);
        }
        self.advance_phase(now);
        self.update_connectivity(now);
    }

    fn receive(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        bytes: &[u8],
    ) -> Result<(), DatagramError> {
        if !self.settings.allowed_networks.contains(from.ip()) {
            return Err(DatagramError::NetworkNotAllowed);
        }
        let (header, body) = datagram::decode(bytes, self.fleet_hash)?;
        if self.has_left() {
            return Ok(());
        }
        let sender = self.receive_body(now, &header, body)?;
        self.record_sender(now, &header, &sender);
        Ok(())
    }

    /// Handles a body and returns its sender.
    fn receive_body(
        &mut self,
        now: Timestamp,
        header: &Header,
        body: &[u8],
    ) -> Result<MemberIdentity, DatagramError> {
        match header.kind {
            DatagramKind::Swim => self.receive_swim(now, header, body),
            DatagramKind::Notice => {
                let notice: Notice = decode_body(body)?;
                self.receive_notice(now, &notice)?;
                Ok(notice.from)
            }
            DatagramKind::RosterRequest => {
                let request: RosterRequest = decode_body(body)?;
                self.receive_roster_request(now, &request)?;
                Ok(request.from)
            }
            DatagramKind::RosterPage => {
                let page: RosterPage = decode_body(body)?;
                self.accept_sender(now, &page.from)?;
                let from = page.from.clone();
                self.receive_roster_page(now, page);
                Ok(from)
            }
            DatagramKind::SubsystemMessage => {
                let message: SubsystemMessage = decode_body(body)?;
                self.receive_subsystem_message(now, &message)?;
                Ok(message.from)
            }
        }
    }

    /// Whether datagrams of a sender are accepted. A sender that the view holds in a newer version,
    /// or as down, is informed of it.
    pub(super) fn accept_sender(
        &mut self,
        now: Timestamp,
        from: &MemberIdentity,
    ) -> Result<(), DatagramError> {
        if !from.is_valid() {
            return Err(DatagramError::InvalidBody);
        }
        if !self.settings.allowed_networks.contains(from.address.ip()) {
            return Err(DatagramError::NetworkNotAllowed);
        }
        if from.name == self.settings.name {
            self.handle_same_name_sender(now, from);
            return Err(DatagramError::FormerIncarnation);
        }
        let Some(record) = self.members.get(&from.name) else {
            return if self.members.is_full() {
                Err(DatagramError::TableFull)
            } else {
                Ok(())
            };
        };
        let is_older = from.compare_precedence(record.identity()).is_lt();
        let is_down = !record.is_active() && record.identity() == from;
        if !is_older && !is_down {
            return Ok(());
        }
        if from.phase != Phase::Left {
            let state = if record.is_active() {
                SwimState::Alive
            } else {
                SwimState::Down
            };
            let member = Member::new(record.identity().clone(), record.swim_incarnation(), state);
            self.send_rate_limited_notice(now, from.address, member);
        }
        Err(DatagramError::FormerIncarnation)
    }

    /// A datagram under this server's own name arrived.
    fn handle_same_name_sender(&mut self, now: Timestamp, from: &MemberIdentity) {
        self.handle_claim(now, from, false, ClaimSource::Claimant);
        if self.name_owner.is_none() && from.address != self.settings.advertise {
            // The server with the older claim yields once it knows the newer one.
            self.send_rate_limited_notice(
                now,
                from.address,
                Member::alive(self.local_identity().clone()),
            );
        }
    }

    fn receive_subsystem_message(
        &mut self,
        now: Timestamp,
        message: &SubsystemMessage,
    ) -> Result<(), DatagramError> {
        let from = &message.from;
        self.accept_sender(now, from)?;
        let is_current = self
            .members
            .get(&from.name)
            .is_some_and(|r| r.is_active() && r.identity().incarnation == from.incarnation);
        if !is_current {
            return Err(DatagramError::FormerIncarnation);
        }
        if self.received_messages.len() >= MAX_PENDING_MESSAGES {
            self.counters.dropped_events += 1;
            return Ok(());
        }
        self.received_messages.push(ReceivedMessage {
            from: from.name.clone(),
            subsystem: message.subsystem,
            payload: message.payload.to_vec(),
        });
        Ok(())
    }

    /// Records that an active member was received, and compares its digest with the own one.
    fn record_sender(&mut self, now: Timestamp, header: &Header, from: &MemberIdentity) {
        let Some(record) = self.members.get_active_mut(from) else {
            return;
        };
        record.record_datagram(now, header.health_score);
        self.last_received = Some(now);
        let suspected = record.is_suspect().then(|| record.to_swim_member());
        if let Some(member) = suspected {
            // The member runs, so it can refute the suspicion.
            self.send_rate_limited_notice(now, from.address, member);
        }
        if header.digest == self.members.digest().total() {
            self.roster_sync.set_complete();
        } else if from.phase != Phase::Left {
            self.handle_digest_mismatch(now, from);
        }
    }

    /// Requests the member's roster, if one is due.
    fn handle_digest_mismatch(&mut self, now: Timestamp, from: &MemberIdentity) {
        let draw = self.rng.float();
        // With a full backlog only rosters deliver updates, so there is no gossip to wait for.
        let is_backlogged = self.swim.updates_backlog() > MAX_GOSSIP_BACKLOG;
        let changed = if is_backlogged {
            Timestamp::default()
        } else {
            self.members.last_change()
        };
        if let Some(after) = self.roster_sync.try_start_request(now, from, changed, draw) {
            self.counters.roster_requests += 1;
            self.request_roster(from, after);
        }
    }
}
