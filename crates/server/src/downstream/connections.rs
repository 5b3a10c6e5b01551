//! The downstream connections and what each of them is owed.
//!
//! Owns: the table of open connections, their numbers, and the limit on idling. Is given: the time, the outboxes
//! of new connections, and notice of what was read, opened, answered and settled. Gives back the instants at
//! which a connection is to be checked again; the caller keeps them in the one ordered structure of timers.
//! Never reads a socket, decides a request or knows what an answer says.

use crate::downstream::connection::Connection;
use crate::downstream::open_requests::{LineProgress, OpenRequestError};
use crate::support::io::Outbox;
use madderbay::time::{Duration, Timestamp};
use std::collections::HashMap;

/// A connection that was entered into the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenedConnection {
    /// Its number, unique within this incarnation.
    pub id: u64,
    /// When it must have carried its first request.
    pub first_request_deadline: Timestamp,
}

/// When a connection reaches the limit on idling, if it is not used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleDeadline {
    /// The number of the connection.
    pub connection: u64,
    /// The instant.
    pub at: Timestamp,
}

/// All open connections by their numbers.
#[derive(Default)]
pub struct Connections {
    table: HashMap<u64, Connection>,
    last_id: u64,
    idle_limit: Option<Duration>,
    draining: bool,
}

impl Connections {
    /// Enters an accepted connection. While draining, it is notified at once that it is to end.
    pub fn open(&mut self, now: Timestamp, outbox: Outbox) -> OpenedConnection {
        let connection = Connection::accepted(now, outbox, self.draining);
        self.insert(now, connection)
    }

    /// Enters a connection that exceeds the limit on connections. Its requests are rejected, then it ends.
    pub fn open_over_limit(&mut self, now: Timestamp, outbox: Outbox) -> OpenedConnection {
        let connection = Connection::accepted_over_limit(now, outbox, self.draining);
        self.insert(now, connection)
    }

    /// Numbers a connection that was accepted now and enters it.
    fn insert(&mut self, now: Timestamp, connection: Connection) -> OpenedConnection {
        let first_request_deadline = connection.first_request_deadline(now);
        self.last_id += 1;
        self.table.insert(self.last_id, connection);
        OpenedConnection {
            id: self.last_id,
            first_request_deadline,
        }
    }

    /// The number of open connections.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Whether a connection was accepted beyond the limit.
    pub fn is_over_limit(&self, id: u64) -> bool {
        self.table.get(&id).is_some_and(Connection::is_over_limit)
    }

    /// The number of open connections that were accepted beyond the limit.
    pub fn over_limit_count(&self) -> usize {
        self.table
            .values()
            .filter(|connection| connection.is_over_limit())
            .count()
    }

    /// The outbox of a connection, while that is open.
    pub fn outbox(&self, id: u64) -> Option<&Outbox> {
        self.table.get(&id).map(Connection::outbox)
    }

    /// The limit on idling, if one was set.
    pub fn idle_limit(&self) -> Option<Duration> {
        self.idle_limit
    }

    /// Sets the limit on idling. Gives the instant at which each connection reaches it.
    pub fn set_idle_limit(&mut self, limit: Duration) -> impl Iterator<Item = IdleDeadline> {
        self.idle_limit = Some(limit);
        self.table.iter().map(move |(id, connection)| IdleDeadline {
            connection: *id,
            at: connection.idle_deadline(limit),
        })
    }

    /// Evicts a connection without open requests in favour of a new one; false if there is none. None is evicted
    /// whose first or next request may be on its way.
    pub fn evict(&mut self, now: Timestamp) -> bool {
        let candidates = self.table.iter().filter(|(_, c)| c.is_evictable(now));
        let Some((_, connection)) = candidates.min_by_key(|(id, c)| (c.eviction_order(now), **id))
        else {
            return false;
        };
        connection.outbox().close_promptly();
        true
    }

    /// A connection was read.
    pub fn line_read(&mut self, now: Timestamp, id: u64, progress: LineProgress) {
        if let Some(connection) = self.table.get_mut(&id) {
            connection.line_read(now, progress);
        }
    }

    /// The peer sends no more, or nothing that can be read: its open requests are still answered.
    pub fn input_ended(&mut self, id: u64) {
        if let Some(connection) = self.table.get_mut(&id) {
            connection.end_when_settled();
        }
    }

    /// Removes a connection that is gone; gives the ids of its open requests in the order of their arrival.
    pub fn remove(&mut self, id: u64) -> Option<Vec<u64>> {
        let removed = self.table.remove(&id)?;
        Some(removed.requests_in_order())
    }

    /// The ids of the requests open on a connection, in the order of their arrival.
    pub fn open_requests(&self, id: u64) -> Option<Vec<u64>> {
        self.table.get(&id).map(Connection::requests_in_order)
    }

    /// Checks that a request with this JSON-RPC id may be opened on a connection. A connection that is gone
    /// passes.
    ///
    /// # Errors
    /// The id is in use, or the connection has [`MAX_OPEN_REQUESTS`](crate::downstream::open_requests::MAX_OPEN_REQUESTS) open.
    pub fn check_open(&self, id: u64, rpc_id: u64) -> Result<(), OpenRequestError> {
        match self.table.get(&id) {
            Some(connection) => connection.check_open(rpc_id),
            None => Ok(()),
        }
    }

    /// A request was read on a connection; false if that is gone. A connection that was closing goes on until
    /// the request is answered.
    pub fn request_opened(
        &mut self,
        now: Timestamp,
        id: u64,
        rpc_id: u64,
        request_id: u64,
    ) -> bool {
        let Some(connection) = self.table.get_mut(&id) else {
            return false;
        };
        connection.request_opened(now, rpc_id, request_id);
        true
    }

    /// The id of the request that is open on a connection under a JSON-RPC id.
    pub fn request_id(&self, id: u64, rpc_id: u64) -> Option<u64> {
        self.table.get(&id)?.request_id(rpc_id)
    }

    /// Writes an answer, if the connection is still open.
    pub fn answer(&mut self, now: Timestamp, id: u64, write: impl FnOnce(&mut Vec<u8>)) {
        if let Some(connection) = self.table.get_mut(&id) {
            connection.answer(now, write);
        }
    }

    /// A request was answered or withdrawn, and is open no more.
    pub fn request_settled(&mut self, id: u64, rpc_id: u64) {
        if let Some(connection) = self.table.get_mut(&id) {
            connection.request_settled(rpc_id);
        }
    }

    /// Begins draining: every connection is notified that it is to end.
    pub fn drain(&mut self) {
        self.draining = true;
        self.table.values_mut().for_each(Connection::notify_of_end);
    }

    /// Ends every connection once its open requests are answered and what has come on it is read.
    pub fn close_all(&mut self) {
        self.table
            .values_mut()
            .for_each(Connection::end_when_settled);
    }

    /// Cuts the connections whose peers have not read for too long.
    pub fn cut_stalled(&mut self, now: Timestamp) {
        for connection in self.table.values_mut() {
            connection.cut_if_stalled(now);
        }
    }

    /// Whether no request is open and nothing waits to be written on any connection.
    pub fn is_quiescent(&self) -> bool {
        self.table.values().all(Connection::is_quiescent)
    }

    /// A connection reached its limit on idling: if it is idle it is notified, and closed if the notice was not
    /// heeded. Gives the instant of the next check.
    pub fn idle_deadline_reached(&mut self, now: Timestamp, id: u64) -> Option<Timestamp> {
        let limit = self.idle_limit?;
        self.table.get_mut(&id)?.idle_deadline_reached(now, limit)
    }

    /// The deadline of a new connection's first request passed: it ends unless something was answered, a request
    /// is open or a line is begun. Gives the instant of the next check.
    pub fn first_request_deadline_reached(&mut self, now: Timestamp, id: u64) -> Option<Timestamp> {
        self.table.get_mut(&id)?.first_request_deadline_reached(now)
    }
}
