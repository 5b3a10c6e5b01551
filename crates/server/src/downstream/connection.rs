//! One downstream connection: its open requests, its write progress and the rules by which it is closed.
//!
//! `Connection` owns its outbox, its open requests, and the times at which it was last used, read and written. It
//! is given the time and told of each event on it. It never chooses between connections:
//! [`Connections`](super::connections::Connections) does.

use crate::downstream::open_requests::{LineProgress, MAX_OPEN_REQUESTS, OpenRequestError};
use crate::downstream::response;
use crate::support::io::Outbox;
use madderbay::time::{Duration, Timestamp};
use std::collections::HashMap;

/// Time that a client has to close a connection after the notice that it is about to end.
const END_NOTICE_PERIOD: Duration = Duration::from_millis(1_000);
/// Time after which a new connection without an answered request is closed, whether half a line was read or none.
/// Load balancers open a connection to send at once, and the connection of a bad client must be closed within 3 s.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a new connection is not evicted, because its first request may already be written.
const NEW_CONNECTION_PROTECTION: Duration = Duration::from_millis(250);
/// Time for which a connection with an incomplete line is not evicted, because some clients write slowly.
const PARTIAL_LINE_PROTECTION: Duration = Duration::from_millis(1_000);
/// Time without write progress after which unread answers are discarded and their connection is closed. It exceeds
/// all pauses of live peers and bounds the memory of unread answers.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Interval between two checks of a connection that reached the idle limit but is not idle, for example because
/// requests are open.
const IDLE_RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The number of bytes written to a peer, and the time since which none was written.
struct WriteProgress {
    written_bytes: u64,
    since: Timestamp,
}

/// The sort key for eviction: the connection with the smallest key is evicted first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionOrder {
    /// It is not yet closing.
    stays_open: bool,
    /// At least one answer was written to it.
    was_answered: bool,
    /// It has an incomplete line that was begun a short time ago.
    has_partial_line: bool,
    last_used: Timestamp,
}

/// The state of one connection, on which the rules for closing and evicting it are based.
pub(super) struct Connection {
    outbox: Outbox,
    /// Maps the JSON-RPC ids of the open requests to the ids of the requests.
    open_requests: HashMap<u64, u64>,
    last_used: Timestamp,
    write_progress: WriteProgress,
    was_answered: bool,
    partial_line_since: Option<Timestamp>,
    /// It is closed once no request is open: the peer sends no more, or a request arrived while it was closing.
    ends_when_settled: bool,
    /// The notice that it is about to end was sent.
    notified_of_end: bool,
    /// The notice was sent, perhaps a second time, to learn whether the peer still reads.
    was_probed: bool,
    /// It was accepted over the limit on connections: its requests are rejected, then it is closed.
    over_limit: bool,
}

impl Connection {
    /// Creates a connection within the limit, on which nothing has happened yet.
    fn new(now: Timestamp, outbox: Outbox) -> Connection {
        Connection {
            outbox,
            open_requests: HashMap::new(),
            last_used: now,
            write_progress: WriteProgress {
                written_bytes: 0,
                since: now,
            },
            was_answered: false,
            partial_line_since: None,
            ends_when_settled: false,
            notified_of_end: false,
            was_probed: false,
            over_limit: false,
        }
    }

    /// Creates a connection that was accepted now. While draining, it is notified at once that it is about to end.
    pub(super) fn accepted(now: Timestamp, outbox: Outbox, draining: bool) -> Connection {
        if draining {
            outbox.put(response::connection_ending);
        }
        let mut connection = Connection::new(now, outbox);
        connection.notified_of_end = draining;
        connection
    }

    /// Creates a connection that was accepted now, over the limit.
    pub(super) fn accepted_over_limit(
        now: Timestamp,
        outbox: Outbox,
        draining: bool,
    ) -> Connection {
        let mut connection = Connection::new(now, outbox);
        connection.notified_of_end = draining;
        connection.over_limit = true;
        connection
    }

    /// Returns the deadline of the first request of a connection that is accepted now. A connection over the limit
    /// lives only as long as a new one is protected from eviction.
    pub(super) fn first_request_deadline(&self, now: Timestamp) -> Timestamp {
        if self.over_limit {
            now + NEW_CONNECTION_PROTECTION
        } else {
            now + FIRST_REQUEST_TIMEOUT
        }
    }

    /// Returns the outbox for its answers.
    pub(super) fn outbox(&self) -> &Outbox {
        &self.outbox
    }

    /// Reports whether it was accepted over the limit on connections.
    pub(super) fn is_over_limit(&self) -> bool {
        self.over_limit
    }

    /// Reports whether no request is open and nothing waits to be written.
    pub(super) fn is_quiescent(&self) -> bool {
        self.open_requests.is_empty() && self.outbox.is_empty()
    }

    /// Returns the id of the open request with this JSON-RPC id.
    pub(super) fn request_id(&self, rpc_id: u64) -> Option<u64> {
        self.open_requests.get(&rpc_id).copied()
    }

    /// Returns the ids of the open requests in the order of their arrival.
    pub(super) fn requests_in_order(&self) -> Vec<u64> {
        let mut ids: Vec<u64> = self.open_requests.values().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// Checks that a request with this JSON-RPC id may be opened.
    pub(super) fn check_open(&self, rpc_id: u64) -> Result<(), OpenRequestError> {
        if self.open_requests.contains_key(&rpc_id) {
            Err(OpenRequestError::IdInUse)
        } else if self.open_requests.len() >= MAX_OPEN_REQUESTS {
            Err(OpenRequestError::TooManyOpen)
        } else {
            Ok(())
        }
    }

    /// Records a request that was read. If the connection was closing, it stays open until the request is answered.
    pub(super) fn request_opened(&mut self, now: Timestamp, rpc_id: u64, request_id: u64) {
        if self.outbox.is_closing() {
            self.outbox.reopen();
            self.ends_when_settled = true;
        }
        self.open_requests.insert(rpc_id, request_id);
        self.last_used = now;
    }

    /// Appends an answer, which `write` encodes, to the outbox.
    pub(super) fn answer(&mut self, now: Timestamp, write: impl FnOnce(&mut Vec<u8>)) {
        self.outbox.put(write);
        self.last_used = now;
        self.was_answered = true;
        if self.over_limit {
            self.end_if_settled();
        }
    }

    /// Removes a request that was answered or withdrawn, and closes the connection if that was due.
    pub(super) fn request_settled(&mut self, rpc_id: u64) {
        self.open_requests.remove(&rpc_id);
        self.end_if_settled();
    }

    /// Records what was read. The age of an incomplete line counts from the read that began it.
    pub(super) fn line_read(&mut self, now: Timestamp, progress: LineProgress) {
        let since = self.partial_line_since.filter(|_| !progress.completed);
        self.partial_line_since = progress.partial.then(|| since.unwrap_or(now));
    }

    /// Closes the connection now, or once its open requests are answered.
    pub(super) fn end_when_settled(&mut self) {
        self.ends_when_settled = true;
        self.end_if_settled();
    }

    /// Closes the connection if it is due to be closed and no request is open.
    fn end_if_settled(&self) {
        if !self.open_requests.is_empty() {
            return;
        }
        if self.over_limit {
            self.outbox.close_promptly();
        } else if self.ends_when_settled {
            self.outbox.close();
        }
    }

    /// Sends the notice that this connection is about to end, unless it was sent before.
    pub(super) fn notify_of_end(&mut self) {
        if !std::mem::replace(&mut self.notified_of_end, true) {
            self.outbox.put(response::connection_ending);
        }
    }

    /// Sends the notice that this connection is about to end to a peer that sends no more. If the peer has closed
    /// the connection altogether, it answers with a reset. Returns whether the notice was sent, which happens once.
    pub(super) fn probe_peer(&mut self) -> bool {
        if std::mem::replace(&mut self.was_probed, true) {
            return false;
        }
        self.notified_of_end = true;
        self.outbox.put(response::connection_ending);
        true
    }

    /// Reports whether a request is open.
    pub(super) fn has_open_requests(&self) -> bool {
        !self.open_requests.is_empty()
    }

    /// Reports whether an incomplete line was begun less than `limit` ago.
    fn has_partial_line(&self, now: Timestamp, limit: Duration) -> bool {
        self.partial_line_since
            .is_some_and(|since| now - since < limit)
    }

    /// Reports whether a request may be on its way that was not read yet.
    fn is_protected(&self, now: Timestamp) -> bool {
        if self.was_answered {
            self.has_partial_line(now, PARTIAL_LINE_PROTECTION)
        } else {
            now - self.last_used <= NEW_CONNECTION_PROTECTION
        }
    }

    /// Reports whether it may be closed in favour of a new connection.
    pub(super) fn is_evictable(&self, now: Timestamp) -> bool {
        self.is_quiescent()
            && !self.outbox.closes_promptly()
            && (self.outbox.is_closing() || !self.is_protected(now))
    }

    /// Returns the sort key for eviction. Connections that are closing come first, then those never answered; those
    /// with an incomplete line come last. Among equals, the one unused for longest comes first.
    pub(super) fn eviction_order(&self, now: Timestamp) -> EvictionOrder {
        EvictionOrder {
            stays_open: !self.outbox.is_closing(),
            was_answered: self.was_answered,
            has_partial_line: self.has_partial_line(now, PARTIAL_LINE_PROTECTION),
            last_used: self.last_used,
        }
    }

    /// Closes the connection at once if its peer has not read for [`WRITE_STALL_TIMEOUT`].
    pub(super) fn cut_if_stalled(&mut self, now: Timestamp) {
        let written_bytes = self.outbox.written();
        if self.outbox.is_empty() || written_bytes != self.write_progress.written_bytes {
            self.write_progress = WriteProgress {
                written_bytes,
                since: now,
            };
        } else if now - self.write_progress.since > WRITE_STALL_TIMEOUT {
            self.outbox.cut();
        }
    }

    /// Returns the instant at which it reaches the idle limit if it is not used before.
    pub(super) fn idle_deadline(&self, limit: Duration) -> Timestamp {
        self.last_used + limit
    }

    /// Reports whether it has carried requests, was unused for `limit`, and has neither an open request nor an
    /// incomplete line.
    fn is_idle(&self, now: Timestamp, limit: Duration) -> bool {
        self.was_answered
            && self.open_requests.is_empty()
            && now - self.last_used >= limit
            && !self.has_partial_line(now, WRITE_STALL_TIMEOUT)
    }

    /// Handles the idle limit: an idle connection is notified, or closed if the notice was not heeded. Returns the
    /// instant of the next check.
    pub(super) fn idle_deadline_reached(
        &mut self,
        now: Timestamp,
        limit: Duration,
    ) -> Option<Timestamp> {
        if !self.is_idle(now, limit) {
            return Some(self.idle_deadline(limit).max(now + IDLE_RECHECK_INTERVAL));
        }
        if self.notified_of_end {
            self.outbox.close();
            return None;
        }
        self.notify_of_end();
        Some(now + END_NOTICE_PERIOD)
    }

    /// Closes the connection unless it has an answered or open request or a recent incomplete line. Returns the
    /// instant of the next check.
    pub(super) fn first_request_deadline_reached(&mut self, now: Timestamp) -> Option<Timestamp> {
        if self.was_answered {
            return None;
        }
        if !self.open_requests.is_empty() {
            return Some(now + FIRST_REQUEST_TIMEOUT);
        }
        if !self.over_limit && self.has_partial_line(now, PARTIAL_LINE_PROTECTION) {
            return self
                .partial_line_since
                .map(|since| since + PARTIAL_LINE_PROTECTION);
        }
        self.end_when_settled();
        None
    }
}
