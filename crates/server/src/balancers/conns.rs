//! The balancers' connections: which are open, what each is owed, when one has to end. What is asked on them
//! and what is answered is known elsewhere; due times are given back, for the one ordered structure of them.

use crate::balancers::answer;
use crate::tools::drive::Outbox;
use madderbay::time::{At, Span};
use std::collections::HashMap;

/// Open reqs that one connection may carry.
pub const OPEN_MOST: usize = 32;
/// A balancer told that a connection is to end has this long to close it.
const LEAVING: Span = Span::millis(1_000);
/// A new connection that has asked nothing that could be answered ends after this, half a line or none sent:
/// balancers open one to ask at once, and a bad client is to have its close within 3 s.
const FIRST: Span = Span::millis(1_500);
/// A new connection is left that long for its first req, whoever else wants its room: the req may have been
/// written to it already.
const YOUNG: Span = Span::millis(250);
/// A peer that takes nothing of what waits for it for that long is gone: all pauses are shorter, and what all
/// peers together leave unread is bounded by it.
const STUCK: Span = Span::millis(10_000);
/// Time between two looks at a connection whose reqs are open past its limit on idling.
const AGAIN: Span = Span::millis(100);

struct Conn {
    out: Outbox,
    open: HashMap<u64, u64>,
    used: At,
    /// What its peer had taken when that was last seen to grow, or nothing waited.
    taken: (u64, At),
    /// Something that it asked was answered.
    heard: bool,
    /// The peer sends no more.
    ended: bool,
    leaving: bool,
}

impl Conn {
    /// One req less is open; a peer that sends no more has no other use for the connection.
    fn settled(&mut self, rpc: u64) {
        self.open.remove(&rpc);
        if self.ended && self.open.is_empty() {
            self.out.close();
        }
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

    fn cut_if_stuck(&mut self, now: At) {
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
    idle: Option<Span>,
    leaving: bool,
}

impl Conns {
    /// A connection was accepted: its number, and when it must have carried its first req.
    pub fn open(&mut self, now: At, out: Outbox) -> (u64, At) {
        self.numbers += 1;
        if self.leaving {
            out.put(answer::leaving);
        }
        let (open, taken) = (HashMap::new(), (0, now));
        let conn = Conn { out, open, used: now, taken, heard: false, ended: false, leaving: self.leaving };
        self.table.insert(self.numbers, conn);
        (self.numbers, now + FIRST)
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
    pub fn idle_limit(&self) -> Option<Span> {
        self.idle
    }

    /// Sets the limit on idling; gives when each connection is to be looked at.
    pub fn limit_idling(&mut self, limit: Span) -> impl Iterator<Item = (At, u64)> {
        self.idle = Some(limit);
        self.table.iter().map(move |(no, c)| (c.used + limit, *no))
    }

    /// Ends a connection that carries nothing, to make room for another: those never answered first, then
    /// those unused the longest. None may go that has a req open, or whose first may be on its way.
    pub fn make_room(&mut self, now: At) -> bool {
        let may = |c: &Conn| c.rests() && !c.out.is_closing() && (c.heard || now - c.used > YOUNG);
        let idle = self.table.iter().filter(|(_, c)| may(c));
        let Some((_, conn)) = idle.min_by_key(|(no, c)| (c.heard, c.used, **no)) else { return false };
        conn.out.cut();
        true
    }

    /// The peer sends no more, or nothing that can be read: what is open is still answered.
    pub fn no_more(&mut self, no: u64) {
        let Some(conn) = self.table.get_mut(&no) else { return };
        conn.ended = true;
        if conn.open.is_empty() {
            conn.out.close();
        }
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

    /// A req was read on a connection; false if that is gone.
    pub fn opened_req(&mut self, now: At, no: u64, rpc: u64, id: u64) -> bool {
        let Some(conn) = self.table.get_mut(&no) else { return false };
        conn.open.insert(rpc, id);
        conn.used = now;
        true
    }

    /// The req that is open on a connection by an id of its own.
    pub fn req(&self, no: u64, rpc: u64) -> Option<u64> {
        self.table.get(&no)?.open.get(&rpc).copied()
    }

    /// Writes an answer, if the connection is still there.
    pub fn answer(&mut self, now: At, no: u64, write: impl FnOnce(&mut Vec<u8>)) {
        let Some(conn) = self.table.get_mut(&no) else { return };
        conn.out.put(write);
        (conn.used, conn.heard) = (now, true);
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
                conn.out.put(answer::leaving);
            }
        }
    }

    pub fn cut_stuck(&mut self, now: At) {
        self.table.values_mut().for_each(|c| c.cut_if_stuck(now));
    }

    /// Nothing is owed and nothing waits to be written.
    pub fn at_rest(&self) -> bool {
        self.table.values().all(Conn::rests)
    }

    /// A connection without open reqs is asked to end, and ended where that is not heeded. Gives when to look
    /// at it again.
    pub fn idle_over(&mut self, now: At, no: u64) -> Option<At> {
        let limit = self.idle?;
        let conn = self.table.get_mut(&no)?;
        let idle = conn.heard && conn.open.is_empty() && now - conn.used >= limit;
        match (idle, conn.leaving) {
            (true, true) => {
                conn.out.close();
                None
            }
            (true, false) => {
                conn.leaving = true;
                conn.out.put(answer::leaving);
                Some(now + LEAVING)
            }
            (false, _) => Some((conn.used + limit).max(now + AGAIN)),
        }
    }

    /// A new connection had its time for a first req. Gives when to look at it again.
    pub fn first_over(&mut self, now: At, no: u64) -> Option<At> {
        let conn = self.table.get(&no).filter(|c| !c.heard)?;
        if conn.open.is_empty() {
            conn.out.close();
            return None;
        }
        Some(now + FIRST)
    }
}
