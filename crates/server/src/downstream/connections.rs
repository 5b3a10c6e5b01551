//! The table of downstream connections and their open requests.
//!
//! `Connections` owns the open connections, their numbers and the idle limit. It is given the time and the outboxes
//! of new connections, and is told what was read, opened, answered and settled. It returns the instants at which a
//! connection has to be checked again; the caller keeps these in its single timer structure. It reads no sockets,
//! makes no decisions about requests and does not interpret answers.

use crate::downstream::connection::Connection;
use crate::downstream::open_requests::{LineProgress, OpenRequestError};
use crate::support::io::Outbox;
use madderbay::time::{Duration, Timestamp};
use std::collections::HashMap;

/// A connection that was added to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenedConnection {
    /// Its number, unique within this incarnation.
    pub id: u64,
    /// The deadline of its first request.
    pub first_request_deadline: Timestamp,
}

/// The time at which a connection reaches the idle limit, if it is not used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleDeadline {
    /// The number of the connection.
    pub connection: u64,
    /// The time at which it reaches the limit.
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
    /// Adds an accepted connection. While draining, it is notified at once that it is about to end.
    pub fn open(&mut self, now: Timestamp, outbox: Outbox) -> OpenedConnection {
        let connection = Connection::accepted(now, outbox, self.draining);
        self.insert(now, connection)
    }

    /// Adds a connection over the limit. Its requests are rejected, then it is closed.
    pub fn open_over_limit(&mut self, now: Timestamp, outbox: Outbox) -> OpenedConnection {
        let connection = Connection::accepted_over_limit(now, outbox, self.draining);
        self.insert(now, connection)
    }

    /// Assigns a number to a connection that was accepted now, and adds it.
    fn insert(&mut self, now: Timestamp, connection: Connection) -> OpenedConnection {
        let first_request_deadline = connection.first_request_deadline(now);
        self.last_id += 1;
        self.table.insert(self.last_id, connection);
        OpenedConnection {
            id: self.last_id,
            first_request_deadline,
        }
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Reports whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Reports whether a connection was accepted over the limit.
    pub fn is_over_limit(&self, id: u64) -> bool {
        self.table.get(&id).is_some_and(Connection::is_over_limit)
    }

    /// Returns the number of open connections that were accepted over the limit.
    pub fn over_limit_count(&self) -> usize {
        self.table
            .values()
            .filter(|connection| connection.is_over_limit())
            .count()
    }

    /// Returns the outbox of a connection, if it is open.
    pub fn outbox(&self, id: u64) -> Option<&Outbox> {
        self.table.get(&id).map(Connection::outbox)
    }

    /// Returns the idle limit, if one was set.
    pub fn idle_limit(&self) -> Option<Duration> {
        self.idle_limit
    }

    /// Sets the idle limit. Returns the instant at which each connection reaches it.
    pub fn set_idle_limit(&mut self, limit: Duration) -> impl Iterator<Item = IdleDeadline> {
        self.idle_limit = Some(limit);
        self.table.iter().map(move |(id, connection)| IdleDeadline {
            connection: *id,
            at: connection.idle_deadline(limit),
        })
    }

    /// Evicts a connection without open requests in favour of a new one. Returns false if there is none.
    /// Connections whose first or next request may be on its way are not evicted.
    pub fn evict(&mut self, now: Timestamp) -> bool {
        let candidates = self.table.iter().filter(|(_, c)| c.is_evictable(now));
        let Some((_, connection)) = candidates.min_by_key(|(id, c)| (c.eviction_order(now), **id))
        else {
            return false;
        };
        connection.outbox().close_promptly();
        true
    }

    /// Records what was read on a connection.
    pub fn line_read(&mut self, now: Timestamp, id: u64, progress: LineProgress) {
        if let Some(connection) = self.table.get_mut(&id) {
            connection.line_read(now, progress);
        }
    }

    /// Handles the end of a connection's input: the peer sends no more, or nothing that can be read. The open
    /// requests are still answered.
    pub fn input_ended(&mut self, id: u64) {
        if let Some(connection) = self.table.get_mut(&id) {
            connection.end_when_settled();
        }
    }

    /// Handles a peer that has closed its sending side before its last input was served: it is sent something, to
    /// learn whether it still reads. Returns whether it was, which happens once.
    pub fn probe_peer(&mut self, id: u64) -> bool {
        self.table.get_mut(&id).is_some_and(Connection::probe_peer)
    }

    /// Reports whether a connection is open and has an open request.
    pub fn has_open_requests(&self, id: u64) -> bool {
        self.table
            .get(&id)
            .is_some_and(Connection::has_open_requests)
    }

    /// Removes a connection that has ended. Returns the ids of its open requests in the order of their arrival.
    pub fn remove(&mut self, id: u64) -> Option<Vec<u64>> {
        let removed = self.table.remove(&id)?;
        Some(removed.requests_in_order())
    }

    /// Returns the ids of the requests open on a connection, in the order of their arrival.
    pub fn open_requests(&self, id: u64) -> Option<Vec<u64>> {
        self.table.get(&id).map(Connection::requests_in_order)
    }

    /// Checks that a request with this JSON-RPC id may be opened on a connection. Succeeds if the connection has
    /// ended.
    ///
    /// # Errors
    /// The id is in use, or the connection has
    /// [`MAX_OPEN_REQUESTS`](crate::downstream::open_requests::MAX_OPEN_REQUESTS) open.
    pub fn check_open(&self, id: u64, rpc_id: u64) -> Result<(), OpenRequestError> {
        match self.table.get(&id) {
            Some(connection) => connection.check_open(rpc_id),
            None => Ok(()),
        }
    }

    /// Records a request that was read on a connection. Returns false if the connection has ended. A connection
    /// that was closing stays open until the request is answered.
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

    /// Returns the id of the request that is open on a connection under a JSON-RPC id.
    pub fn request_id(&self, id: u64, rpc_id: u64) -> Option<u64> {
        self.table.get(&id)?.request_id(rpc_id)
    }

    /// Writes an answer, if the connection is still open.
    pub fn answer(&mut self, now: Timestamp, id: u64, write: impl FnOnce(&mut Vec<u8>)) {
        if let Some(connection) = self.table.get_mut(&id) {
            connection.answer(now, write);
        }
    }

    /// Removes a request that was answered or withdrawn from the open requests of its connection.
    pub fn request_settled(&mut self, id: u64, rpc_id: u64) {
        if let Some(connection) = self.table.get_mut(&id) {
            connection.request_settled(rpc_id);
        }
    }

    /// Starts draining: every connection is notified that it is about to end.
    pub fn drain(&mut self) {
        self.draining = true;
        self.table.values_mut().for_each(Connection::notify_of_end);
    }

    /// Closes every connection once its open requests are answered and what has arrived on it is read.
    pub fn close_all(&mut self) {
        self.table
            .values_mut()
            .for_each(Connection::end_when_settled);
    }

    /// Closes at once the connections whose peers have not read for too long.
    pub fn cut_stalled(&mut self, now: Timestamp) {
        for connection in self.table.values_mut() {
            connection.cut_if_stalled(now);
        }
    }

    /// Reports whether no request is open and nothing waits to be written on any connection.
    pub fn is_quiescent(&self) -> bool {
        self.table.values().all(Connection::is_quiescent)
    }

    /// Handles the idle limit of a connection: an idle connection is notified, or closed if the notice was not
    /// heeded. Returns the instant of the next check.
    pub fn idle_deadline_reached(&mut self, now: Timestamp, id: u64) -> Option<Timestamp> {
        let limit = self.idle_limit?;
        self.table.get_mut(&id)?.idle_deadline_reached(now, limit)
    }

    /// Handles the deadline of a connection's first request: the connection is closed unless it has an answered or
    /// open request or a recent incomplete line. Returns the instant of the next check.
    pub fn first_request_deadline_reached(&mut self, now: Timestamp, id: u64) -> Option<Timestamp> {
        self.table.get_mut(&id)?.first_request_deadline_reached(now)
    }
}
