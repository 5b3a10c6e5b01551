//! Handling of received datagrams: checks of the sender, dispatch by kind, and comparison of
//! digests.

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

/// Largest number of received subsystem messages that wait to be taken, which covers the datagrams
/// of one iteration of the caller's event loop. Further messages are dropped and counted.
const MAX_PENDING_MESSAGES: usize = 64;
/// Largest number of updates in foca's gossip backlog at which further updates are gossiped. Beyond
/// it, updates are only applied, and rosters deliver them to the other members.
pub(super) const MAX_GOSSIP_BACKLOG: usize = 200;

impl Membership {
    /// Handles a datagram received from an address. `now` is read from the same clock as in
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

    /// Handles a datagram's body and returns the sender.
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

    /// Rejects datagrams from senders that are invalid, outside the allowed networks, superseded,
    /// down in the view, or new while the member table is full. A sender that the view contains in
    /// a newer version, or as down, is sent a notice about it unless it has left.
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

    /// Handles a datagram whose sender has this server's name.
    fn handle_same_name_sender(&mut self, now: Timestamp, from: &MemberIdentity) {
        self.handle_claim(now, from, false, ClaimSource::Claimant);
        if self.name_owner.is_none() && from.address != self.settings.advertise {
            // Of two servers with the same name, the one with the older identity yields when it
            // learns of the newer one.
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

    /// Records a datagram from an active member, and compares the digest in it with this server's
    /// own.
    fn record_sender(&mut self, now: Timestamp, header: &Header, from: &MemberIdentity) {
        let Some(record) = self.members.get_active_mut(from) else {
            return;
        };
        record.record_datagram(now, header.health_score);
        self.last_received = Some(now);
        let suspected = record.is_suspect().then(|| record.to_swim_member());
        if let Some(member) = suspected {
            // The member is running, so it can refute the suspicion.
            self.send_rate_limited_notice(now, from.address, member);
        }
        if header.digest == self.members.digest().total() {
            self.roster_sync.set_complete();
        } else if from.phase != Phase::Left {
            self.handle_digest_mismatch(now, from);
        }
    }

    /// Handles a digest that differs from this server's own: requests the member's roster, if a
    /// request is due.
    fn handle_digest_mismatch(&mut self, now: Timestamp, from: &MemberIdentity) {
        let draw = self.rng.float();
        // With a full backlog, only rosters deliver updates, so there is no gossip to wait for.
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
