//! Output of the membership: datagrams, subsystem messages and events.

use super::{Membership, ReceivedMessage};
use crate::datagram::{self, DatagramKind, Header, Subsystem, SubsystemMessage, encode_body};
use crate::datagram_size::MAX_SUBSYSTEM_PAYLOAD_BYTES;
use crate::event::MembershipEvent;
use std::net::SocketAddr;

/// Largest number of events that wait to be taken; further events are dropped and counted.
const MAX_PENDING_EVENTS: usize = 64;

impl Membership {
    /// Sends a subsystem message to an active member. Like any datagram, it may be lost. A payload
    /// longer than [`MAX_SUBSYSTEM_PAYLOAD_BYTES`] is dropped.
    pub fn send_subsystem_message(&mut self, to: &str, subsystem: Subsystem, payload: &[u8]) {
        let Some(record) = self.members.get(to).filter(|r| r.is_active()) else {
            return;
        };
        let address = record.identity().address;
        if self.has_left() || payload.len() > MAX_SUBSYSTEM_PAYLOAD_BYTES {
            return;
        }
        let message = SubsystemMessage {
            from: self.local_identity().clone(),
            subsystem,
            payload,
        };
        if let Ok(body) = encode_body(&message) {
            self.send(address, DatagramKind::SubsystemMessage, &body);
        }
    }

    /// Takes the subsystem messages received from active members, in order of arrival.
    pub fn take_subsystem_messages(&mut self) -> Vec<ReceivedMessage> {
        std::mem::take(&mut self.received_messages)
    }

    /// Queues a datagram. Datagrams to this server itself or to addresses outside the allowed
    /// networks are dropped.
    pub(super) fn send(&mut self, to: SocketAddr, kind: DatagramKind, body: &[u8]) {
        if to == self.settings.advertise || !self.settings.allowed_networks.contains(to.ip()) {
            return;
        }
        let header = Header {
            kind,
            digest: self.members.digest().total(),
            health_score: self.health.score(),
        };
        let bytes = datagram::encode(header, self.fleet_hash, body);
        self.counters.sent += 1;
        self.counters.bytes_out += bytes.len() as u64;
        self.outgoing.push((to, bytes));
    }

    /// Queues an event, or counts it as dropped if the queue is full.
    pub(super) fn push_event(&mut self, event: MembershipEvent) {
        if self.events.len() < MAX_PENDING_EVENTS {
            self.events.push(event);
        } else {
            self.counters.dropped_events += 1;
        }
    }
}
