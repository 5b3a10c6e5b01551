//! Receives and sends datagrams, and routes their messages.

use super::FleetQuotas;
use super::incarnations::PeerIdentity;
use crate::budget::Outbox;
use crate::counter::SnapshotSource;
use crate::ledger::IncarnationId;
use crate::message::{CounterReply, Datagram, Message};
use compact_str::CompactString;
use madderbay::time::Timestamp;
use madderbay_membership::MAX_SUBSYSTEM_PAYLOAD_BYTES;

/// Maximum number of snapshots of other servers in one reply. Fewer are sent if they do not fit
/// into the datagram.
const MAX_REMOTE_SNAPSHOTS_PER_REPLY: usize = 10;
/// Bytes of a datagram that are reserved for all data of a reply other than the snapshots.
const REPLY_OVERHEAD_BYTES: usize = 40;

impl FleetQuotas {
    /// Handles a datagram from a server that is active in the view.
    pub fn handle_datagram(&mut self, now: Timestamp, from: &CompactString, bytes: &[u8]) {
        self.totals.datagrams_received += 1;
        let Ok(datagram) = Datagram::decode(bytes) else {
            self.totals.datagrams_rejected += 1;
            return;
        };
        let Datagram {
            from_incarnation,
            to_incarnation,
            from_slot,
            messages,
        } = datagram;
        let identity = PeerIdentity {
            incarnation: from_incarnation,
            slot: from_slot,
        };
        let Some(from_id) = self.incarnations.identify(from, identity) else {
            self.totals.misdirected += 1;
            return;
        };
        let mut out = Outbox::new();
        for message in messages {
            match message {
                Message::CounterPoll(poll) => self.reply_to_poll(now, from, poll.poll_id),
                Message::CounterReply(reply) => self.handle_reply(now, reply),
                message if self.is_meant_for(to_incarnation, &message) => {
                    self.handle_lease_message(now, from_id, &message, &mut out);
                }
                _ => self.totals.misdirected += 1,
            }
        }
        self.queue(out);
    }

    /// Passes a lease message to the budget that it refers to, if there is one.
    fn handle_lease_message(
        &mut self,
        now: Timestamp,
        from: IncarnationId,
        message: &Message,
        out: &mut Outbox,
    ) {
        let hash = message.budget_hash();
        let mut budgets = self.budgets.iter_mut();
        if let Some(budget) = budgets.find(|b| Some(b.name_hash()) == hash) {
            budget.handle_message(now, from, message, out);
        }
    }

    /// Reports whether a lease message is addressed to this incarnation. Requests with an unknown
    /// receiver incarnation are accepted, because a lessee may not know it yet.
    fn is_meant_for(&self, to_incarnation: u64, message: &Message) -> bool {
        let is_request = matches!(message, Message::LeaseRequest(_));
        to_incarnation == self.settings.incarnation || to_incarnation == 0 && is_request
    }

    fn handle_reply(&mut self, now: Timestamp, reply: CounterReply) {
        let Some(polled_at) = self.polls.sent_at(reply.poll_id) else {
            return;
        };
        let own = SnapshotSource {
            server: &self.settings.name,
            incarnation: self.own.incarnation,
        };
        for snapshot in reply.snapshots {
            let hash = snapshot.counter_hash;
            if let Some(counter) = self.counters.iter_mut().find(|c| c.name_hash() == hash) {
                counter.handle_snapshot(now, now - polled_at, snapshot, own);
            }
        }
    }

    /// Replies with as many snapshots as fit into a datagram.
    fn reply_to_poll(&mut self, now: Timestamp, to: &CompactString, poll_id: u32) {
        let random = self.random.rand_float();
        let own = SnapshotSource {
            server: &self.settings.name,
            incarnation: self.own.incarnation,
        };
        let mut snapshots = vec![];
        let mut bytes = 0;
        for counter in &mut self.counters {
            for snapshot in counter.snapshots(now, own, random, MAX_REMOTE_SNAPSHOTS_PER_REPLY) {
                let snapshot_len = snapshot
                    .encoded_len()
                    .unwrap_or(MAX_SUBSYSTEM_PAYLOAD_BYTES);
                if bytes + snapshot_len + REPLY_OVERHEAD_BYTES <= MAX_SUBSYSTEM_PAYLOAD_BYTES {
                    bytes += snapshot_len;
                    snapshots.push(snapshot);
                }
            }
        }
        let reply = CounterReply { poll_id, snapshots };
        self.queued
            .entry(to.clone())
            .or_default()
            .push(Message::CounterReply(reply));
    }

    /// Queues messages. Messages to an incarnation that has ended are dropped.
    pub(super) fn queue(&mut self, out: Outbox) {
        for outgoing in out {
            if let Some(name) = self.incarnations.name_of_current(outgoing.to) {
                self.queued
                    .entry(name.clone())
                    .or_default()
                    .push(outgoing.message);
            }
        }
    }

    /// Takes the datagrams to send, each with the name of its receiver.
    pub fn take_datagrams(&mut self) -> Vec<(CompactString, Vec<u8>)> {
        let mut datagrams = vec![];
        for (to, messages) in std::mem::take(&mut self.queued) {
            let datagram = Datagram {
                from_incarnation: self.settings.incarnation,
                to_incarnation: self.incarnations.current_incarnation(&to),
                from_slot: self.own_slot().unwrap_or(0),
                messages,
            };
            let encoded = datagram.encode();
            let Some(bytes) = encoded
                .ok()
                .filter(|b| b.len() <= MAX_SUBSYSTEM_PAYLOAD_BYTES)
            else {
                continue;
            };
            self.totals.datagrams_sent += 1;
            self.totals.bytes_sent += bytes.len() as u64;
            datagrams.push((to, bytes));
        }
        datagrams
    }
}
