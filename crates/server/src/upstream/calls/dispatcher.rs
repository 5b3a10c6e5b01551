//! Assigns calls to connections.
//!
//! `CallDispatcher` owns the calls in flight, their connections and the idle connections. It is given the time, the
//! calls to send, the replies and the ends of connections. It opens no connections itself: it lists those that the
//! driver has to open, and writes the bytes of each to an outbox.

use super::wire_names::{CALL, CRLF};
use crate::support::attempt_name::{self, AttemptName};
use crate::support::io::Outbox;
use madderbay::interface::Outcome;
use madderbay::time::{Duration, Timestamp};
use std::collections::HashSet;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// Idle time after which a connection takes no more calls. The catalogue may have closed or dropped it, and a call
/// that fails with a reset can't be told from one that ran.
const MAX_IDLE_TIME: Duration = Duration::from_millis(1_000);

/// A call in flight.
struct CallInFlight {
    request: u64,
    name: AttemptName,
    sent_at: Timestamp,
    /// The offset of its first byte in the bytes that its connection sends.
    first_byte: u64,
}

/// A connection to the catalogue or to a backend.
struct CallConnection {
    id: u64,
    /// The backend that it leads to; `None` for the catalogue, whatever its address.
    backend: Option<SocketAddr>,
    outbox: Outbox,
    call: Option<CallInFlight>,
    /// Attempts in flight that have called on this connection. A duplicate of a reply may still arrive, so their
    /// next calls use other connections.
    served_attempts: HashSet<AttemptName>,
    last_used: Timestamp,
    /// It leads to a former address of the catalogue.
    is_outdated: bool,
}

impl CallConnection {
    /// Reports whether it may take one more call once it carries none.
    fn is_reusable(&self, now: Timestamp) -> bool {
        !self.is_outdated && now - self.last_used < MAX_IDLE_TIME
    }

    /// Reports whether it may take a call of this attempt now.
    fn accepts(&self, now: Timestamp, name: &AttemptName, backend: Option<SocketAddr>) -> bool {
        self.backend == backend
            && self.call.is_none()
            && self.is_reusable(now)
            && !self.served_attempts.contains(name)
    }

    /// Sends a call on this connection.
    fn send(&mut self, call: CallInFlight, timeout: Duration, body: &[u8]) {
        let name = call.name;
        self.call = Some(call);
        self.served_attempts.insert(name);
        self.outbox.put(|out| {
            let millis = (timeout.as_micros() / 1000).max(1);
            let attempt = attempt_name::as_text(&name);
            // Writing to a vector can't fail.
            let _ = write!(out, "{CALL} {attempt} {millis} {}", body.len());
            out.extend_from_slice(CRLF);
            out.extend_from_slice(body);
            out.extend_from_slice(CRLF);
        });
    }
}

/// A connection that the driver has to open.
pub struct WantedConnection {
    /// Its number, with which its replies and its end are reported.
    pub id: u64,
    /// The outbox of the connection.
    pub outbox: Outbox,
    /// The backend to connect to; `None` for the catalogue.
    pub backend: Option<SocketAddr>,
}

/// A call that ended without a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedCall {
    /// The id of the request that made the call.
    pub request: u64,
    /// The outcome; `Unreachable` if no byte of it was sent.
    pub outcome: Outcome,
    /// The time since the call was sent.
    pub elapsed: Duration,
}

/// A call that ended with its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepliedCall {
    /// The id of the request that made the call.
    pub request: u64,
    /// The time since the call was sent.
    pub elapsed: Duration,
}

/// All calls in flight and their connections. There are no more calls than runs in flight.
#[derive(Default)]
pub struct CallDispatcher {
    connections: Vec<CallConnection>,
    /// The number of the connection that was requested last.
    last_id: u64,
    wanted: Vec<WantedConnection>,
    /// Notifies the driver of connections to open.
    connection_wanted: Rc<Notify>,
}

impl CallDispatcher {
    /// Sends a call with this timeout to a backend, or to the catalogue if `backend` is `None`. Returns the number
    /// of the connection that carries it.
    pub fn fetch(
        &mut self,
        now: Timestamp,
        request: u64,
        name: &AttemptName,
        timeout: Duration,
        body: &[u8],
        backend: Option<SocketAddr>,
    ) -> u64 {
        let connection = self.connection_for(now, name, backend);
        let call = CallInFlight {
            request,
            name: *name,
            sent_at: now,
            first_byte: connection.outbox.queued(),
        };
        connection.send(call, timeout, body);
        connection.id
    }

    /// Returns an idle connection that may take the call, or a new one.
    fn connection_for(
        &mut self,
        now: Timestamp,
        name: &AttemptName,
        backend: Option<SocketAddr>,
    ) -> &mut CallConnection {
        // The connection used last is the least likely to have been dropped by the peer.
        let indices = 0..self.connections.len();
        let reusable = indices
            .filter(|index| self.connections[*index].accepts(now, name, backend))
            .max_by_key(|index| self.connections[*index].last_used);
        let index = reusable.unwrap_or_else(|| self.want_connection(now, backend));
        &mut self.connections[index]
    }

    /// Adds a connection for the driver to open. Returns its index.
    fn want_connection(&mut self, now: Timestamp, backend: Option<SocketAddr>) -> usize {
        self.last_id += 1;
        let outbox = Outbox::default();
        self.wanted.push(WantedConnection {
            id: self.last_id,
            outbox: outbox.clone(),
            backend,
        });
        self.connection_wanted.notify_one();
        self.connections.push(CallConnection {
            id: self.last_id,
            backend,
            outbox,
            call: None,
            served_attempts: HashSet::new(),
            last_used: now,
            is_outdated: false,
        });
        self.connections.len() - 1
    }

    /// Takes the list of connections to open, in the order in which they were requested.
    pub fn take_wanted(&mut self) -> Vec<WantedConnection> {
        std::mem::take(&mut self.wanted)
    }

    /// Returns the notification of connections to open.
    pub(super) fn connection_wanted(&self) -> Rc<Notify> {
        self.connection_wanted.clone()
    }

    /// Abandons the call of an attempt and closes its connection. Bytes that were not written are discarded.
    pub fn abandon(&mut self, now: Timestamp, name: &AttemptName) -> Option<EndedCall> {
        self.remove(now, Outcome::TimedOut, |connection| {
            let call = connection.call.as_ref();
            call.is_some_and(|call| call.name == *name)
        })
    }

    /// Abandons the call on a connection and closes the connection.
    pub fn abandon_on(&mut self, now: Timestamp, connection_id: u64) -> Option<EndedCall> {
        self.remove(now, Outcome::TimedOut, |connection| {
            connection.id == connection_id && connection.call.is_some()
        })
    }

    /// Handles a reply on a connection. Returns the call that it ends, or `None` if the reply does not belong to
    /// the call in flight there.
    pub fn replied(
        &mut self,
        now: Timestamp,
        connection_id: u64,
        name: &AttemptName,
    ) -> Option<RepliedCall> {
        let connection = self
            .connections
            .iter_mut()
            .find(|connection| connection.id == connection_id)?;
        let call = connection.call.take_if(|call| call.name == *name)?;
        connection.last_used = now;
        if connection.is_outdated {
            connection.outbox.cut();
        }
        Some(RepliedCall {
            request: call.request,
            elapsed: now - call.sent_at,
        })
    }

    /// Removes a connection that has ended. Returns the call on it, if there was one.
    pub fn connection_ended(&mut self, now: Timestamp, connection_id: u64) -> Option<EndedCall> {
        self.remove(now, Outcome::Disconnected, |connection| {
            connection.id == connection_id
        })
    }

    /// Removes a connection and returns the call on it. The call never ran if no byte of it was sent; otherwise its
    /// outcome is `outcome_if_sent`.
    fn remove(
        &mut self,
        now: Timestamp,
        outcome_if_sent: Outcome,
        is_match: impl FnMut(&CallConnection) -> bool,
    ) -> Option<EndedCall> {
        let index = self.connections.iter().position(is_match)?;
        let connection = self.connections.swap_remove(index);
        connection.outbox.cut();
        let call = connection.call?;
        let was_sent = connection.outbox.written() > call.first_byte;
        Some(EndedCall {
            request: call.request,
            outcome: if was_sent {
                outcome_if_sent
            } else {
                Outcome::Unreachable
            },
            elapsed: now - call.sent_at,
        })
    }

    /// Records that the request of this attempt has ended. It makes no more calls, so a late reply can't be
    /// mistaken for that of another of its calls.
    pub fn request_finished(&mut self, name: &AttemptName) {
        for connection in &mut self.connections {
            connection.served_attempts.remove(name);
        }
    }

    /// Handles a new address of the catalogue. Calls in flight may still be answered; new ones go to the new
    /// address.
    pub fn catalogue_moved(&mut self, now: Timestamp) {
        let to_catalogue = |connection: &&mut CallConnection| connection.backend.is_none();
        for connection in self.connections.iter_mut().filter(to_catalogue) {
            connection.is_outdated = true;
        }
        self.close_idle(now);
    }

    /// Closes the connections that carry no call and may take no further one.
    pub fn close_idle(&mut self, now: Timestamp) {
        self.connections.retain(|connection| {
            let keep = connection.call.is_some() || connection.is_reusable(now);
            if !keep {
                connection.outbox.cut();
            }
            keep
        });
    }

    /// Returns the number of calls in flight.
    pub fn calls_in_flight(&self) -> usize {
        let carries_call = |connection: &&CallConnection| connection.call.is_some();
        self.connections.iter().filter(carries_call).count()
    }
}
