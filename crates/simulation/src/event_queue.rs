//! The events of the whole fleet in one queue, ordered by due time. Events due at the same time are handled in the
//! order in which they were scheduled, so that the same seed gives the same simulation.

use crate::ids::{BackendId, ServerId, ServerIncarnation};
use crate::upstream::UpstreamCall;
use madderbay::time::Timestamp;
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

/// An event of the simulation.
#[derive(Clone)]
pub(crate) enum Event {
    /// A client sends a request.
    RequestDue(ServerIncarnation),
    /// A timer of a server fires.
    WakeUp(ServerIncarnation),
    /// A notice of the engine arrives at its server.
    EngineNotice {
        target: ServerIncarnation,
        line: String,
    },
    /// A datagram arrives from another server.
    Datagram {
        server: ServerId,
        sender: SocketAddr,
        bytes: Vec<u8>,
    },
    /// A call arrives at a backend.
    CallArrival {
        backend: BackendId,
        call: UpstreamCall,
    },
    /// The processing time of a call at a backend has passed.
    CallCompletion { backend: BackendId, call_id: u64 },
    /// The answer to an upstream call arrives at its server.
    Reply {
        target: ServerIncarnation,
        connection: u64,
        text: String,
    },
    /// A server learns that an upstream connection broke.
    ConnectionLost {
        target: ServerIncarnation,
        connection: u64,
    },
    /// A client stops waiting for an answer.
    AnswerDeadline {
        target: ServerIncarnation,
        request_id: u64,
    },
    /// The fault of this index in the history is injected.
    FaultDue(usize),
    /// A second of simulated time ends.
    SecondEnd,
}

struct ScheduledEvent {
    due: Timestamp,
    sequence: u64,
    event: Event,
}

impl ScheduledEvent {
    fn key(&self) -> (Timestamp, u64) {
        (self.due, self.sequence)
    }
}

/// Inverts the order of the keys, so that the max-heap yields the event that is due first.
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        other.key().cmp(&self.key())
    }
}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.key() == other.key()
    }
}

impl Eq for ScheduledEvent {}

/// The events that are scheduled and not yet handled.
#[derive(Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<ScheduledEvent>,
    last_sequence: u64,
}

impl EventQueue {
    /// Schedules an event. An event that is due in the past is handled next.
    pub(crate) fn push(&mut self, due: Timestamp, event: Event) {
        self.last_sequence += 1;
        self.heap.push(ScheduledEvent {
            due,
            sequence: self.last_sequence,
            event,
        });
    }

    /// Removes and returns the next event and its due time, unless it is due after `end`.
    pub(crate) fn pop_until(&mut self, end: Timestamp) -> Option<(Timestamp, Event)> {
        if self.heap.peek()?.due > end {
            return None;
        }
        self.heap.pop().map(|next| (next.due, next.event))
    }
}

#[cfg(test)]
mod tests;
