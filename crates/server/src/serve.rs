//! The core: owns the decisions and the reqs in hand, carries results out. It knows no socket and no clock:
//! what came is told by calls with the time, what goes out is put into outboxes.

use crate::answer;
use crate::calls::Desk;
use crate::counters::Counters;
use crate::door::{Door, Joined, Key, Name, Read};
use crate::drive::Outbox;
use crate::engine::{Link, command};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use madderbay::decide::Decider;
use madderbay::face::{Gauges, Outcome, Results};
use madderbay::time::{At, Span};
use madderbay_settings::Settings;
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use tokio::sync::Notify;

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
/// Time between two looks for catalogue connections that stand idle and table entries whose term is over:
/// much finer than either's span.
const TIDY: Span = Span::millis(1_000);

pub type Shared = Rc<RefCell<Serve>>;

/// A req that was read: what its answer and its run need.
struct InHand {
    name: Name,
    conn: u64,
    rpc: u64,
    handler: usize,
    key: Option<Key>,
    print: u64,
    /// As it came, until the run has it.
    body: Box<str>,
    started: bool,
    answered: bool,
    partial: bool,
    /// The notice of the call that the run stands at, and that call's body.
    need: u64,
    wants: Vec<u8>,
    until: Option<At>,
    /// Commands that the engine may not have read, and the gauges that will prove that it has.
    unproven: Vec<u8>,
    proof: u64,
}

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
    fn in_order(&self) -> Vec<u64> {
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

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Call(u64),
    Idle(u64),
    First(u64),
    Tidy,
}

pub struct Serve {
    decider: Option<Decider>,
    settings: Settings,
    seed: u64,
    on_cores: Option<usize>,
    gauges: Gauges,
    pub hands: Hands,
}

/// All that is in hand, and the ways out.
pub struct Hands {
    now: At,
    reqs: HashMap<u64, InHand>,
    names: HashMap<Name, u64>,
    conns: HashMap<u64, Conn>,
    numbers: u64,
    pub door: Door,
    pub engine: Link,
    pub calls: Desk,
    due: BTreeSet<(At, Due)>,
    wake: Option<At>,
    /// When the timer that is ringing was due: the next is counted from there, so that each ring's lateness
    /// does not add up to fewer rings.
    rang: At,
    free: Option<f64>,
    good: bool,
    idle: Option<Span>,
    leaving: bool,
    /// Joined reqs that were answered, for the module to hear of.
    over: VecDeque<(u64, Outcome)>,
    pub counters: Counters,
    /// Something came: the decisions have to settle.
    pub changed: Rc<Notify>,
    /// The catalogue's desk wants a connection; what the registry says has changed.
    pub dial: Rc<Notify>,
    pub report: Rc<Notify>,
}

impl Serve {
    /// `results`: the bytes that kept results may take.
    pub fn new(now: At, seed: u64, settings: Settings, results: usize) -> Serve {
        let hands = Hands {
            now,
            reqs: HashMap::new(),
            names: HashMap::new(),
            conns: HashMap::new(),
            numbers: 0,
            door: Door::new(&settings, results),
            engine: Link::default(),
            calls: Desk::default(),
            due: BTreeSet::from([(now, Due::Tidy)]),
            wake: None,
            rang: now,
            free: None,
            good: true,
            idle: None,
            leaving: false,
            over: VecDeque::new(),
            counters: Counters::new(&settings.handler_names),
            changed: Rc::default(),
            dial: Rc::default(),
            report: Rc::default(),
        };
        let on_cores = settings.meter("on_cores");
        Serve { decider: None, settings, seed, on_cores, gauges: Gauges::default(), hands }
    }

    /// Lets the module decide; what that ends at once is told to it as well.
    fn decide(&mut self, now: At, act: impl FnOnce(&mut Decider, &mut Hands)) {
        self.consider(now, act);
        self.hands.changed.notify_one();
    }

    fn consider(&mut self, now: At, act: impl FnOnce(&mut Decider, &mut Hands)) {
        let Some(decider) = &mut self.decider else { return };
        self.hands.now = now;
        act(decider, &mut self.hands);
        while let Some((id, how)) = self.hands.over.pop_front() {
            decider.ended(now, id, how, Span::ZERO);
        }
    }

    // --- balancers

    pub fn opened(&mut self, now: At, out: Outbox) -> u64 {
        let hands = &mut self.hands;
        hands.numbers += 1;
        hands.counters.connections += 1;
        if hands.leaving {
            out.put(answer::leaving);
        }
        let leaving = hands.leaving;
        let (open, taken) = (HashMap::new(), (0, now));
        let conn = Conn { out, open, used: now, taken, heard: false, ended: false, leaving };
        hands.conns.insert(hands.numbers, conn);
        hands.due.insert((now + FIRST, Due::First(hands.numbers)));
        if let Some(limit) = hands.idle {
            hands.due.insert((now + limit, Due::Idle(hands.numbers)));
        }
        hands.numbers
    }

    pub fn connections(&self) -> usize {
        self.hands.conns.len()
    }

    /// Ends a connection that carries nothing, to make room for another: those never answered first, then
    /// those unused the longest. None may go that has a req open, or whose first may be on its way.
    pub fn make_room(&mut self, now: At) -> bool {
        let may = |c: &Conn| c.rests() && !c.out.is_closing() && (c.heard || now - c.used > YOUNG);
        let idle = self.hands.conns.iter().filter(|(_, c)| may(c));
        let Some((_, conn)) = idle.min_by_key(|(no, c)| (c.heard, c.used, **no)) else { return false };
        conn.out.cut();
        self.hands.counters.connections_cut += 1;
        true
    }

    /// The peer breaks the protocol, and nothing it asked can be told from what it did not: all that it has
    /// open is errored, and the connection ends.
    pub fn turn_off(&mut self, now: At, no: u64) {
        let Some(conn) = self.hands.conns.get(&no) else { return };
        let open = conn.in_order();
        self.hands.now = now;
        for id in open {
            self.hands.errored(id);
            self.decide(now, |d, hands| d.gone(now, id, hands));
        }
        self.no_more(no);
    }

    /// The peer sends no more, or nothing that can be read: what is open is still answered.
    pub fn no_more(&mut self, no: u64) {
        let Some(conn) = self.hands.conns.get_mut(&no) else { return };
        conn.ended = true;
        if conn.open.is_empty() {
            conn.out.close();
        }
    }

    /// The connection is gone, and with it everyone who waits on it.
    pub fn closed(&mut self, now: At, no: u64) {
        let Some(conn) = self.hands.conns.remove(&no) else { return };
        let open = conn.in_order();
        self.hands.counters.cut += open.len() as u64;
        open.into_iter().for_each(|id| self.gone(now, id));
    }

    pub fn out(&self, no: u64) -> Option<&Outbox> {
        self.hands.conns.get(&no).map(|c| &c.out)
    }

    /// Whether another req by this id may be opened on a connection; else why not.
    pub fn may_open(&self, no: u64, rpc: u64) -> Result<(), &'static str> {
        match self.hands.conns.get(&no) {
            Some(c) if c.open.contains_key(&rpc) => Err("id is in use"),
            Some(c) if c.open.len() >= OPEN_MOST => Err("too many open requests"),
            _ => Ok(()),
        }
    }

    /// A req has been read.
    pub fn arrived(&mut self, now: At, no: u64, rpc: u64, read: Read) -> Result<(), &'static str> {
        let Read { arrival, name, key, print, body } = read;
        if self.hands.names.contains_key(&name) {
            return Err("ref is in use");
        }
        let Some(conn) = self.hands.conns.get_mut(&no) else { return Ok(()) };
        conn.open.insert(rpc, arrival.id);
        conn.used = now;
        self.hands.counters.read[arrival.handler] += 1;
        self.hands.counters.read_late(arrival.unread_for);
        let req = InHand {
            name,
            conn: no,
            rpc,
            handler: arrival.handler,
            key,
            print,
            body: body.into(),
            started: false,
            answered: false,
            partial: false,
            need: 0,
            wants: vec![],
            until: None,
            unproven: vec![],
            proof: 0,
        };
        self.hands.names.insert(name, arrival.id);
        self.hands.reqs.insert(arrival.id, req);
        if self.decider.is_none() {
            // Nothing can run before the engine is up.
            self.hands.shed(arrival.id, Span::ZERO, false);
        }
        self.decide(now, |d, hands| d.arrive(now, &arrival, hands));
        Ok(())
    }

    /// The balancer has stopped waiting for a req.
    pub fn forget(&mut self, now: At, no: u64, rpc: Option<u64>, name: Option<Name>) {
        let by_rpc = rpc.and_then(|rpc| self.hands.conns.get(&no)?.open.get(&rpc).copied());
        // One caller can't withdraw another's req.
        let own = |id: &u64| self.hands.reqs.get(id).is_some_and(|r| r.conn == no);
        if let Some(id) = by_rpc.or_else(|| self.hands.names.get(&name?).copied().filter(own)) {
            self.gone(now, id);
        }
    }

    fn gone(&mut self, now: At, id: u64) {
        let Some(req) = self.hands.reqs.get(&id).filter(|r| !r.answered) else { return };
        log::debug!("req {id} is gone, started {}", req.started);
        self.hands.counters.gone += 1;
        self.decide(now, |d, hands| d.gone(now, id, hands));
        self.hands.nobody_waits(id);
    }

    pub fn health(&mut self, now: At, no: u64, rpc: u64) {
        let hands = &mut self.hands;
        let (good, free) = (hands.good && !hands.leaving, hands.free);
        if let Some(conn) = hands.conns.get_mut(&no) {
            conn.out.put(|out| answer::health(out, rpc, good, free));
            (conn.used, conn.heard) = (now, true);
        }
    }

    // --- engine

    /// The engine is up. The first time the module begins.
    pub fn hello(&mut self, now: At, how: &str, age: Span) {
        log::info!("engine: up, {how} {} ms ago", age.as_micros() / 1000);
        // One that is told to leave before its engine came up takes nothing on any more.
        if self.decider.is_none() && !self.hands.leaving {
            self.settings.machine.cold |= how == "new";
            // It begins now and not when the engine did, which may be an hour ago: its timer would count as
            // that late, and a stop asked for before the first tick would fall due for ever. A cold engine
            // that came up a while ago counts as colder than it is.
            let mut decider = self.settings.decider(now, self.seed);
            (self.hands.now, self.hands.rang) = (now, now);
            decider.begin(&mut self.hands);
            self.decider = Some(decider);
        }
        self.hands.engine.ask(true);
        self.hands.changed.notify_one();
    }

    /// The gauges. After a lost link they come behind all notices that were missed: what may not have reached
    /// the engine is sent again then, which starts nothing twice, since all that ended meanwhile is known. If
    /// notices were lost for good any run may have ended, and none is sent again.
    pub fn gauges(&mut self, now: At, values: &[f64], gap: bool) {
        self.gauges.on_cores = self.on_cores.and_then(|at| values.get(at)).copied();
        let taken_up = !std::mem::replace(&mut self.hands.engine.up, true);
        if gap {
            log::warn!("engine: notices were lost; all runs count as errored");
            let mut lost: Vec<_> =
                self.hands.reqs.iter().filter(|(_, r)| r.started).map(|(id, r)| (*id, r.name)).collect();
            lost.sort_unstable();
            for (id, name) in lost {
                self.hands.stop(id);
                self.run_over(now, &name, Outcome::Errored, Span::ZERO, "");
            }
        }
        if taken_up {
            self.hands.resend();
        }
    }

    /// A run stands at a call.
    pub fn at_call(&mut self, now: At, name: &Name, serial: u64, blob: &str) {
        let Some(&id) = self.hands.names.get(name) else { return };
        let Some(req) = self.hands.reqs.get_mut(&id) else { return };
        req.unproven.clear();
        req.need = serial;
        match BASE64.decode(blob) {
            Ok(body) => req.wants = body,
            Err(_) => log::warn!("engine: the body of a call is no base64"),
        }
        self.decide(now, |d, hands| d.at_call(now, id, hands));
    }

    /// A run is over. A req that still waits for it is answered with what came of it.
    pub fn run_over(&mut self, now: At, name: &Name, how: Outcome, spent: Span, blob: &str) {
        let Some(&id) = self.hands.names.get(name) else {
            self.hands.counters.strays += 1;
            return;
        };
        self.hands.now = now;
        let result = (how == Outcome::Done).then_some(blob);
        self.hands.answer_run(id, result);
        self.run_out(now, id, how, spent, result);
    }

    /// A run that was answered leaves the books.
    fn run_out(&mut self, now: At, id: u64, how: Outcome, spent: Span, result: Option<&str>) {
        let Some(req) = self.hands.reqs.get(&id) else { return };
        let (key, handler) = (req.key, req.handler);
        self.hands.counters.run_over(how);
        for waiting in key.map_or(vec![], |k| self.hands.door.ran(k, result)) {
            self.hands.joined(waiting, result);
        }
        self.hands.counters.ran[handler] += 1;
        self.hands.remove(id);
        self.decide(now, |d, _| d.ended(now, id, how, spent));
    }

    /// The engine did not carry a command out. Where that is a run it knows no such req: nothing ran or will,
    /// and a further try by its key is a new one.
    pub fn declined(&mut self, now: At, what: &str, name: &Name) {
        self.hands.counters.declined += 1;
        log::debug!("engine: {what} was not carried out");
        let Some(&id) = self.hands.names.get(name).filter(|_| what == "RUN") else { return };
        self.hands.now = now;
        self.hands.shed(id, Span::ZERO, false);
        self.run_out(now, id, Outcome::Moot, Span::ZERO, None);
        self.hands.door.drop(id);
    }

    // --- catalogue

    /// A call's reply came.
    pub fn call_over(&mut self, now: At, wire: u64, name: &Name, how: Outcome, body: &[u8]) {
        let Some((id, spent)) = self.hands.calls.replied(now, wire, name) else {
            self.hands.counters.strays += 1;
            return;
        };
        if how == Outcome::Done && self.hands.reqs.get(&id).is_some_and(|r| !r.answered) {
            let blob = BASE64.encode(body);
            self.hands.command(id, "FEED", format_args!(",\"blob\":\"{blob}\""));
        }
        self.call_ended(now, id, how, spent);
    }

    /// A connection to the catalogue is over.
    pub fn call_lost(&mut self, now: At, wire: u64) {
        if let Some((id, how, spent)) = self.hands.calls.ended(now, wire) {
            self.call_ended(now, id, how, spent);
        }
    }

    fn call_ended(&mut self, now: At, id: u64, how: Outcome, spent: Span) {
        self.hands.counters.call_over(how);
        if let Some(until) = self.hands.reqs.get_mut(&id).and_then(|r| r.until.take()) {
            self.hands.due.remove(&(until, Due::Call(id)));
        }
        self.decide(now, |d, hands| d.call_back(now, id, how, spent, hands));
    }

    // --- time

    /// When the next turn is due at the latest.
    pub fn next(&self) -> Option<At> {
        let due = self.hands.due.first().map(|d| d.0);
        [self.hands.wake, due].into_iter().flatten().min()
    }

    /// One moment: all that was ready has been taken in; due times, the module's timer, its settling.
    pub fn turn(&mut self, now: At) {
        self.hands.now = now;
        while let Some(&(at, what)) = self.hands.due.first().filter(|d| d.0 <= now) {
            self.hands.due.remove(&(at, what));
            match what {
                Due::Call(id) => self.patience_over(now, id),
                Due::Idle(no) => self.hands.idle_over(now, no),
                Due::First(no) => self.hands.first_over(now, no),
                Due::Tidy => {
                    self.hands.calls.tidy(now);
                    self.hands.door.lapse(now);
                    self.hands.conns.values_mut().for_each(|c| c.cut_if_stuck(now));
                    self.hands.due.insert((now + TIDY, Due::Tidy));
                }
            }
        }
        if let Some(wake) = self.hands.wake.filter(|w| *w <= now) {
            self.hands.wake = None;
            self.hands.rang = wake;
            self.hands.counters.tick(now - wake);
            let gauges = self.gauges;
            self.consider(now, |d, hands| d.tick(now, &gauges, hands));
            self.hands.engine.rang();
        }
        self.consider(now, |d, hands| d.settle(now, hands));
    }

    fn patience_over(&mut self, now: At, id: u64) {
        let Some(req) = self.hands.reqs.get_mut(&id) else { return };
        req.until = None;
        let name = req.name;
        if let Some((id, how, spent)) = self.hands.calls.quit(now, &name) {
            self.call_ended(now, id, how, spent);
        }
    }

    // --- drain

    pub fn leave(&mut self, now: At, left: Span) {
        self.hands.leaving = true;
        self.hands.report.notify_one();
        for conn in self.hands.conns.values_mut() {
            if !std::mem::replace(&mut conn.leaving, true) {
                conn.out.put(answer::leaving);
            }
        }
        self.decide(now, |d, _| d.wind_down(now, left));
    }

    /// Nothing is owed and nothing waits to be written.
    pub fn at_rest(&self) -> bool {
        self.hands.conns.values().all(Conn::rests)
    }

    pub fn unconnected(&self) -> bool {
        self.hands.conns.is_empty()
    }

    /// What the registry is told: whether this server takes work.
    pub fn ready(&self) -> bool {
        !self.hands.leaving && (self.hands.good || !self.settings.lists_follow_health)
    }

    pub fn counters(&self) -> String {
        let h = &self.hands;
        let open = h.reqs.values().filter(|r| !r.answered).count();
        h.counters.lines(open, h.reqs.len(), h.conns.len(), h.calls.out(), h.door.entries())
    }
}

impl Hands {
    /// The final answer of a req, once.
    fn answer(&mut self, id: u64, write: impl FnOnce(&mut Vec<u8>, u64, Option<f64>)) -> bool {
        let Some(req) = self.reqs.get_mut(&id).filter(|r| !r.answered) else { return false };
        req.answered = true;
        if let Some(conn) = self.conns.get_mut(&req.conn) {
            conn.out.put(|out| write(out, req.rpc, self.free));
            (conn.used, conn.heard) = (self.now, true);
            conn.settled(req.rpc);
        }
        true
    }

    /// Answers with what a run made; nothing stands for a run that made none.
    fn answer_run(&mut self, id: u64, result: Option<&str>) {
        let partial = self.reqs.get(&id).is_some_and(|r| r.partial);
        let answered = self.answer(id, |out, rpc, free| match result {
            Some(blob) => answer::done(out, rpc, blob, free),
            None => answer::errored(out, rpc, free),
        });
        if answered {
            self.counters.answered(result.is_some(), partial);
        }
    }

    fn joined(&mut self, id: u64, result: Option<&str>) {
        if self.reqs.contains_key(&id) {
            self.answer_run(id, result);
            self.counters.joined += 1;
            self.remove(id);
            self.over.push_back((id, if result.is_some() { Outcome::Done } else { Outcome::Errored }));
        }
    }

    fn remove(&mut self, id: u64) {
        self.give_up_call(id);
        let Some(req) = self.reqs.remove(&id) else { return };
        self.names.remove(&req.name);
        self.calls.forget(&req.name);
    }

    fn give_up_call(&mut self, id: u64) {
        let Some(req) = self.reqs.get_mut(&id) else { return };
        if let Some(until) = req.until.take() {
            self.due.remove(&(until, Due::Call(id)));
            self.calls.quit(self.now, &req.name);
        }
    }

    /// The req is answered or its caller gone: a call for it is given up, and unless it runs it is over.
    fn nobody_waits(&mut self, id: u64) {
        let Some(req) = self.reqs.get_mut(&id) else { return };
        req.answered = true;
        if let Some(conn) = self.conns.get_mut(&req.conn) {
            conn.settled(req.rpc);
        }
        if req.started {
            self.give_up_call(id);
        } else {
            self.remove(id);
        }
    }

    fn command(&mut self, id: u64, msg: &str, rest: std::fmt::Arguments) {
        let Some(req) = self.reqs.get_mut(&id) else { return };
        let line = command(msg, &req.name, rest);
        if self.engine.heard() >= req.proof {
            req.unproven.clear();
        }
        req.unproven.extend_from_slice(&line);
        req.proof = self.engine.proof();
        self.engine.send(&line);
    }

    fn resend(&mut self) {
        let proven = self.engine.proven_before();
        let mut unproven: Vec<_> =
            self.reqs.iter_mut().filter(|(_, r)| r.proof > proven && !r.unproven.is_empty()).collect();
        unproven.sort_by_key(|(id, _)| **id);
        for (_, req) in unproven {
            req.proof = self.engine.proof();
            self.engine.send(&req.unproven);
        }
    }

    /// A connection without open reqs is asked to end, and ended where that is not heeded.
    fn idle_over(&mut self, now: At, no: u64) {
        let Some(limit) = self.idle else { return };
        let Some(conn) = self.conns.get_mut(&no) else { return };
        let idle = conn.heard && conn.open.is_empty() && now - conn.used >= limit;
        let again = match (idle, conn.leaving) {
            (true, true) => return conn.out.close(),
            (true, false) => {
                conn.leaving = true;
                conn.out.put(answer::leaving);
                now + LEAVING
            }
            (false, _) => (conn.used + limit).max(now + AGAIN),
        };
        self.due.insert((again, Due::Idle(no)));
    }

    /// A new connection had its time for a first req.
    fn first_over(&mut self, now: At, no: u64) {
        let Some(conn) = self.conns.get(&no).filter(|c| !c.heard) else { return };
        if conn.open.is_empty() {
            conn.out.close();
        } else {
            self.due.insert((now + FIRST, Due::First(no)));
        }
    }
}

impl Results for Hands {
    fn start(&mut self, id: u64) {
        let Some(req) = self.reqs.get_mut(&id) else { return };
        req.started = true;
        let body = std::mem::take(&mut req.body);
        let (key, handler) = (req.key, req.handler);
        if let Some(key) = key {
            self.door.started(key);
        }
        self.counters.runs += 1;
        let service = self.door.quoted(handler);
        self.command(id, "RUN", format_args!(",\"service\":{service},\"blob\":{body}"));
    }

    fn stop(&mut self, id: u64) {
        self.command(id, "HALT", format_args!(""));
    }

    fn shed(&mut self, id: u64, come_back: Span, last: bool) {
        if self.answer(id, |out, rpc, free| answer::shed(out, rpc, come_back, last, free)) {
            self.counters.shed += 1;
        }
        self.nobody_waits(id);
    }

    fn errored(&mut self, id: u64) {
        if self.answer(id, answer::errored) {
            self.counters.answered(false, false);
        }
        self.nobody_waits(id);
    }

    fn call(&mut self, id: u64, patience: Span) {
        let Some(req) = self.reqs.get_mut(&id) else { return };
        let until = self.now + patience;
        req.until = Some(until);
        self.due.insert((until, Due::Call(id)));
        self.counters.calls += 1;
        self.calls.fetch(self.now, id, &req.name, patience, &req.wants);
        self.dial.notify_one();
    }

    fn skip(&mut self, id: u64) {
        let Some(req) = self.reqs.get_mut(&id) else { return };
        req.partial = true;
        let need = req.need;
        self.counters.skipped += 1;
        self.command(id, "SKIP", format_args!(",\"serial\":{need}"));
    }

    fn keep_key(&mut self, id: u64, term: Span) {
        if let Some((key, print)) = self.reqs.get(&id).and_then(|r| Some((r.key?, r.print))) {
            self.door.keep(id, key, print, self.now + term);
        }
    }

    fn drop_key(&mut self, id: u64) {
        self.door.drop(id);
    }

    fn join(&mut self, id: u64) {
        let Some(req) = self.reqs.get(&id) else { return };
        match self.door.join(id, req.key) {
            Joined::Waits => {}
            Joined::Done(result) => self.joined(id, Some(&result)),
            Joined::Errored => self.joined(id, None),
        }
    }

    fn health(&mut self, good: bool) {
        if std::mem::replace(&mut self.good, good) != good {
            log::warn!("health: {}", if good { "good again" } else { "ill" });
            self.report.notify_one();
        }
    }

    fn free_value(&mut self, value: f64) {
        self.free = Some(value);
    }

    fn idle_limit(&mut self, limit: Span) {
        self.idle = Some(limit);
        self.due.retain(|d| !matches!(d.1, Due::Idle(_)));
        self.due.extend(self.conns.iter().map(|(no, c)| (c.used + limit, Due::Idle(*no))));
    }

    fn wake(&mut self, after: Span) {
        self.wake = Some((self.rang + after).max(self.now + after.times(0.5)));
    }
}
