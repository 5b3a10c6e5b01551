//! The balancers' connections: which are open, what each is owed, when one has to end. What is asked on them
//! and what is answered is known elsewhere; due times are given back, for the one ordered structure of them.

use crate::downstream::response;
use crate::support::io::Outbox;
use madderbay::time::{Duration, Timestamp};
use std::collections::HashMap;

/// Open reqs that one connection may carry.
pub const OPEN_MOST: usize = 32;
/// A balancer told that a connection is to end has this long to close it.
const LEAVING: Duration = Duration::from_millis(1_000);
/// A new connection that has asked nothing that could be answered ends after this, half a line or none sent:
/// balancers open one to ask at once, and a bad client is to have its close within 3 s.
const FIRST: Duration = Duration::from_millis(1_500);
/// A new connection is left that long for its first req, whoever else wants its room: the req may have been
/// written to it already.
const YOUNG: Duration = Duration::from_millis(250);
/// A line that was begun has that long to be ended before its connection may go: some callers write slowly.
const PART: Duration = Duration::from_millis(1_000);
/// A peer that takes nothing of what waits for it for that long is gone: all pauses are shorter, and what all
/// peers together leave unread is bounded by it.
const STUCK: Duration = Duration::from_millis(10_000);
/// Time between two looks at a connection whose reqs are open past its limit on idling.
const AGAIN: Duration = Duration::from_millis(100);

struct Conn {
    out: Outbox,
    open: HashMap<u64, u64>,
    used: Timestamp,
    /// What its peer had taken when that was last seen to grow, or nothing waited.
    taken: (u64, Timestamp),
    /// Something that it asked was answered.
    heard: bool,
    /// Since when a line is half read.
    part: Option<Timestamp>,
    /// The peer sends no more, or this side was about to end it when one more req came: it ends once nothing
    /// is open.
    ended: bool,
    leaving: bool,
    /// There was no room for it: it is told so and ends.
    beyond: bool,
}

impl Conn {
    /// One req less is open; a peer that sends no more has no other use for the connection.
    fn settled(&mut self, rpc: u64) {
        self.open.remove(&rpc);
        self.end_if_over();
    }

    fn end_if_over(&self) {
        if !self.open.is_empty() {
        } else if self.beyond {
            self.out.give_way();
        } else if self.ended {
            self.out.close();
        }
    }

    /// A line was begun less than so long ago and is not ended.
    fn amid(&self, now: Timestamp, most: Duration) -> bool {
        self.part.is_some_and(|since| now - since < most)
    }

    /// Nothing is owed and nothing waits to be written.
    fn rests(&self) -> bool {
        self.open.is_empty() && self.out.is_empty()
    }

    /// The reqs that are open, in the order in which they came.
    pub fn in_order(&self) -> Vec<u64> {
        let mut open: Vec<u64> = self.open.values().copied().collect();
        open.sort_unstable();
        open
    }

    fn cut_if_stuck(&mut self, now: Timestamp) {
        if self.out.is_empty() || self.out.written() != self.taken.0 {
            self.taken = (self.out.written(), now);
        } else if now - self.taken.1 > STUCK {
            self.out.cut();
        }
    }
}

/// All connections that are open, under their numbers.
#[derive(Default)]
pub struct Conns {
    table: HashMap<u64, Conn>,
    numbers: u64,
    idle: Option<Duration>,
    leaving: bool,
}

impl Conns {
    /// A connection was accepted: its number, and when it must have carried its first req.
    pub fn open(&mut self, now: Timestamp, out: Outbox) -> (u64, Timestamp) {
        if self.leaving {
            out.put(response::leaving);
        }
        (self.enter(now, out, false), now + FIRST)
    }

    /// The same for one that there is no room for: it has as long as any new one is sure of.
    pub fn open_beyond(&mut self, now: Timestamp, out: Outbox) -> (u64, Timestamp) {
        (self.enter(now, out, true), now + YOUNG)
    }

    fn enter(&mut self, now: Timestamp, out: Outbox, beyond: bool) -> u64 {
        self.numbers += 1;
        let conn = Conn {
            out,
            open: HashMap::new(),
            used: now,
            taken: (0, now),
            heard: false,
            part: None,
            ended: false,
            leaving: self.leaving,
            beyond,
        };
        self.table.insert(self.numbers, conn);
        self.numbers
    }

    /// Whether a connection is one that there was no room for.
    pub fn is_beyond(&self, no: u64) -> bool {
        self.table.get(&no).is_some_and(|c| c.beyond)
    }

    /// How many there are that there was no room for.
    pub fn beyond(&self) -> usize {
        self.table.values().filter(|c| c.beyond).count()
    }

    /// A connection was read: whether a line is half read now, and whether any was ended.
    pub fn was_read(&mut self, now: Timestamp, no: u64, part: bool, ended: bool) {
        if let Some(conn) = self.table.get_mut(&no) {
            let since = if ended { None } else { conn.part };
            conn.part = part.then(|| since.unwrap_or(now));
        }
    }

    pub fn len(&self) -> usize {
        self.table.len()
    }

    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    pub fn out(&self, no: u64) -> Option<&Outbox> {
        self.table.get(&no).map(|c| &c.out)
    }

    /// The limit on idling, once one was set.
    pub fn idle_limit(&self) -> Option<Duration> {
        self.idle
    }

    /// Sets the limit on idling; gives when each connection is to be looked at.
    pub fn limit_idling(&mut self, limit: Duration) -> impl Iterator<Item = (Timestamp, u64)> {
        self.idle = Some(limit);
        self.table.iter().map(move |(no, c)| (c.used + limit, *no))
    }

    /// Ends a connection that carries nothing, to make room for another: those that end already first, then
    /// those never answered, those in half a line last, then those unused the longest. None may go that has a
    /// req open, or whose first or next may be on its way.
    pub fn make_room(&mut self, now: Timestamp) -> bool {
        let young = |c: &Conn| {
            if c.heard {
                c.amid(now, PART)
            } else {
                now - c.used <= YOUNG
            }
        };
        let may = |c: &Conn| c.rests() && !c.out.gives_way() && (c.out.is_closing() || !young(c));
        let idle = self.table.iter().filter(|(_, c)| may(c));
        let order = |c: &Conn| (!c.out.is_closing(), c.heard, c.amid(now, PART), c.used);
        let Some((_, conn)) = idle.min_by_key(|(no, c)| (order(c), **no)) else {
            return false;
        };
        conn.out.give_way();
        true
    }

    /// The peer sends no more, or nothing that can be read: what is open is still answered.
    pub fn no_more(&mut self, no: u64) {
        let Some(conn) = self.table.get_mut(&no) else {
            return;
        };
        conn.ended = true;
        conn.end_if_over();
    }

    /// The reqs that are open on a connection, in the order in which they came.
    pub fn open_on(&self, no: u64) -> Option<Vec<u64>> {
        self.table.get(&no).map(Conn::in_order)
    }

    /// A connection is gone; gives what was open on it.
    pub fn close(&mut self, no: u64) -> Option<Vec<u64>> {
        self.table.remove(&no).map(|c| c.in_order())
    }

    /// Whether another req by this id may be opened on a connection; else why not.
    pub fn may_open(&self, no: u64, rpc: u64) -> Result<(), &'static str> {
        match self.table.get(&no) {
            Some(c) if c.open.contains_key(&rpc) => Err("id is in use"),
            Some(c) if c.open.len() >= OPEN_MOST => Err("too many open requests"),
            _ => Ok(()),
        }
    }

    /// A req was read on a connection; false if that is gone. One that was about to end goes on for it.
    pub fn opened_req(&mut self, now: Timestamp, no: u64, rpc: u64, id: u64) -> bool {
        let Some(conn) = self.table.get_mut(&no) else {
            return false;
        };
        if conn.out.is_closing() {
            conn.out.go_on();
            conn.ended = true;
        }
        conn.open.insert(rpc, id);
        conn.used = now;
        true
    }

    /// The req that is open on a connection by an id of its own.
    pub fn req(&self, no: u64, rpc: u64) -> Option<u64> {
        self.table.get(&no)?.open.get(&rpc).copied()
    }

    /// Writes an answer, if the connection is still there.
    pub fn answer(&mut self, now: Timestamp, no: u64, write: impl FnOnce(&mut Vec<u8>)) {
        let Some(conn) = self.table.get_mut(&no) else {
            return;
        };
        conn.out.put(write);
        (conn.used, conn.heard) = (now, true);
        if conn.beyond {
            conn.end_if_over();
        }
    }

    /// A req is answered, or nobody waits for it: one less is open.
    pub fn settled(&mut self, no: u64, rpc: u64) {
        if let Some(conn) = self.table.get_mut(&no) {
            conn.settled(rpc);
        }
    }

    /// All are told that this server leaves.
    pub fn leave(&mut self) {
        self.leaving = true;
        for conn in self.table.values_mut() {
            if !std::mem::replace(&mut conn.leaving, true) {
                conn.out.put(response::leaving);
            }
        }
    }

    /// All end that owe nothing, each once what had come on it is read.
    pub fn end(&mut self) {
        for conn in self.table.values_mut() {
            conn.ended = true;
            conn.end_if_over();
        }
    }

    pub fn cut_stuck(&mut self, now: Timestamp) {
        self.table.values_mut().for_each(|c| c.cut_if_stuck(now));
    }

    /// Nothing is owed and nothing waits to be written.
    pub fn at_rest(&self) -> bool {
        self.table.values().all(Conn::rests)
    }

    /// A connection without open reqs is asked to end, and ended where that is not heeded. Gives when to look
    /// at it again.
    pub fn idle_over(&mut self, now: Timestamp, no: u64) -> Option<Timestamp> {
        let limit = self.idle?;
        let conn = self.table.get_mut(&no)?;
        let rests = conn.heard && conn.open.is_empty() && now - conn.used >= limit;
        let idle = rests && !conn.amid(now, STUCK);
        match (idle, conn.leaving) {
            (true, true) => {
                conn.out.close();
                None
            }
            (true, false) => {
                conn.leaving = true;
                conn.out.put(response::leaving);
                Some(now + LEAVING)
            }
            (false, _) => Some((conn.used + limit).max(now + AGAIN)),
        }
    }

    /// A new connection had its time for a first req. Gives when to look at it again.
    pub fn first_over(&mut self, now: Timestamp, no: u64) -> Option<Timestamp> {
        let conn = self.table.get(&no).filter(|c| !c.heard)?;
        if !conn.open.is_empty() {
            return Some(now + FIRST);
        }
        if let Some(since) = conn.part.filter(|_| conn.amid(now, PART) && !conn.beyond) {
            return Some(since + PART);
        }
        if conn.beyond {
            conn.out.give_way()
        } else {
            conn.out.close()
        }
        None
    }
}
