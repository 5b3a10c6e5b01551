//! One downstream connection: what is open on it, what its peer has taken, and the rules by which it ends.
//!
//! Owns: the outbox of the connection, its open requests, and when it was last used, read and written. Is given:
//! the time and notice of what happens on it. Never chooses between connections: that is for
//! [`Connections`](super::connections::Connections).

use crate::downstream::open_requests::{LineProgress, MAX_OPEN_REQUESTS, OpenRequestError};
use crate::downstream::response;
use crate::support::io::Outbox;
use madderbay::time::{Duration, Timestamp};
use std::collections::HashMap;

/// Time that a client has to close a connection after the notice that it is to end.
const END_NOTICE_PERIOD: Duration = Duration::from_millis(1_000);
/// Time until a new connection without an answered request ends, with half a line read or none: load balancers
/// open a connection to send at once, and the close of a bad client is due within 3 s.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a new connection is not evicted, because its first request may be written already.
const NEW_CONNECTION_PROTECTION: Duration = Duration::from_millis(250);
/// Time for which a connection with an incomplete line is not evicted, because some clients write slowly.
const PARTIAL_LINE_PROTECTION: Duration = Duration::from_millis(1_000);
/// Time without progress of a peer after which unread answers are discarded with their connection. It exceeds
/// all pauses of live peers and bounds the memory of unread answers.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Interval between two checks of a connection that is past its limit on idling with requests open.
const IDLE_RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How much of its answers a peer has taken, and since when no more.
struct WriteProgress {
    written_bytes: u64,
    since: Timestamp,
}

/// The order in which connections are evicted; the least goes first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionOrder {
    /// It is not closing already.
    stays_open: bool,
    /// Something was answered on it.
    was_answered: bool,
    /// A line was begun a short time ago.
    has_partial_line: bool,
    last_used: Timestamp,
}

/// What is open on one connection, and by what it is judged.
pub(super) struct Connection {
    outbox: Outbox,
    /// Ids of the requests that are open, by their JSON-RPC ids.
    open_requests: HashMap<u64, u64>,
    last_used: Timestamp,
    write_progress: WriteProgress,
    was_answered: bool,
    partial_line_since: Option<Timestamp>,
    /// It ends once no request is open: the peer sends no more, or one more request came while it was ending.
    ends_when_settled: bool,
    /// The notice that it is to end was sent.
    notified_of_end: bool,
    /// It was accepted beyond the limit on connections: its requests are rejected, then it ends.
    over_limit: bool,
}

impl Connection {
    /// A connection within the limit that nothing has happened on.
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
            over_limit: false,
        }
    }

    /// A connection that was accepted now. While draining, it is notified at once that it is to end.
    pub(super) fn accepted(now: Timestamp, outbox: Outbox, draining: bool) -> Connection {
        if draining {
            outbox.put(response::connection_ending);
        }
        let mut connection = Connection::new(now, outbox);
        connection.notified_of_end = draining;
        connection
    }

    /// A connection that was accepted now, beyond the limit.
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

    /// When a connection that is accepted now must have carried its first request; one beyond the limit lives as long as
    /// a new one is protected.
    pub(super) fn first_request_deadline(&self, now: Timestamp) -> Timestamp {
        if self.over_limit {
            now + NEW_CONNECTION_PROTECTION
        } else {
            now + FIRST_REQUEST_TIMEOUT
        }
    }

    /// Where its answers leave by.
    pub(super) fn outbox(&self) -> &Outbox {
        &self.outbox
    }

    /// Whether it was accepted beyond the limit on connections.
    pub(super) fn is_over_limit(&self) -> bool {
        self.over_limit
    }

    /// Whether no request is open and nothing waits to be written.
    pub(super) fn is_quiescent(&self) -> bool {
        self.open_requests.is_empty() && self.outbox.is_empty()
    }

    /// The id of the open request with a JSON-RPC id.
    pub(super) fn request_id(&self, rpc_id: u64) -> Option<u64> {
        self.open_requests.get(&rpc_id).copied()
    }

    /// The ids of the open requests in the order of their arrival.
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

    /// A request was read. If the connection was closing, it goes on until the request is answered.
    pub(super) fn request_opened(&mut self, now: Timestamp, rpc_id: u64, request_id: u64) {
        if self.outbox.is_closing() {
            self.outbox.reopen();
            self.ends_when_settled = true;
        }
        self.open_requests.insert(rpc_id, request_id);
        self.last_used = now;
    }

    /// Something was answered, which `write` encodes.
    pub(super) fn answer(&mut self, now: Timestamp, write: impl FnOnce(&mut Vec<u8>)) {
        self.outbox.put(write);
        self.last_used = now;
        self.was_answered = true;
        if self.over_limit {
            self.end_if_settled();
        }
    }

    /// A request was answered or withdrawn, and is open no more.
    pub(super) fn request_settled(&mut self, rpc_id: u64) {
        self.open_requests.remove(&rpc_id);
        self.end_if_settled();
    }

    /// Something was read. The age of an incomplete line counts from the read that began it.
    pub(super) fn line_read(&mut self, now: Timestamp, progress: LineProgress) {
        let since = self.partial_line_since.filter(|_| !progress.completed);
        self.partial_line_since = progress.partial.then(|| since.unwrap_or(now));
    }

    /// Ends the connection now, or once its open requests are answered.
    pub(super) fn end_when_settled(&mut self) {
        self.ends_when_settled = true;
        self.end_if_settled();
    }

    /// Ends the connection if it is to end and no request is open.
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

    /// Sends the notice that this connection is to end, once.
    pub(super) fn notify_of_end(&mut self) {
        if !std::mem::replace(&mut self.notified_of_end, true) {
            self.outbox.put(response::connection_ending);
        }
    }

    /// Whether an incomplete line was begun less than `limit` ago.
    fn has_partial_line(&self, now: Timestamp, limit: Duration) -> bool {
        self.partial_line_since
            .is_some_and(|since| now - since < limit)
    }

    /// Whether a request may be on its way that nobody has read.
    fn is_protected(&self, now: Timestamp) -> bool {
        if self.was_answered {
            self.has_partial_line(now, PARTIAL_LINE_PROTECTION)
        } else {
            now - self.last_used <= NEW_CONNECTION_PROTECTION
        }
    }

    /// Whether it may end in favour of a new connection.
    pub(super) fn is_evictable(&self, now: Timestamp) -> bool {
        self.is_quiescent()
            && !self.outbox.closes_promptly()
            && (self.outbox.is_closing() || !self.is_protected(now))
    }

    /// Connections that are closing go first, then those never answered, those in an incomplete line last, and
    /// among equals the one unused for longest.
    pub(super) fn eviction_order(&self, now: Timestamp) -> EvictionOrder {
        EvictionOrder {
            stays_open: !self.outbox.is_closing(),
            was_answered: self.was_answered,
            has_partial_line: self.has_partial_line(now, PARTIAL_LINE_PROTECTION),
            last_used: self.last_used,
        }
    }

    /// Cuts the connection if its peer has not read for [`WRITE_STALL_TIMEOUT`].
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

    /// The instant at which it reaches the limit on idling, if it is not used before.
    pub(super) fn idle_deadline(&self, limit: Duration) -> Timestamp {
        self.last_used + limit
    }

    /// Whether it has carried requests and is unused for `limit`, with nothing open and no line begun.
    fn is_idle(&self, now: Timestamp, limit: Duration) -> bool {
        self.was_answered
            && self.open_requests.is_empty()
            && now - self.last_used >= limit
            && !self.has_partial_line(now, WRITE_STALL_TIMEOUT)
    }

    /// If it is idle it is notified, and closed if the notice was not heeded. Gives the instant of the next check.
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

    /// Ends the connection unless something was answered, a request is open or a line is begun. Gives the instant
    /// of the next check.
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
