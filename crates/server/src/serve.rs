//! The core: owns the decisions, tells them what came and settles each moment. It knows no socket and no
//! clock: what came is told by calls with the time, what goes out is put into outboxes.

use crate::answer;
use crate::calls::{self, Desk};
use crate::door::Read;
use crate::drive::Outbox;
use crate::engine::{self, Link};
use crate::hands::{Due, Hands, InHand};
use crate::keep::{Told, Waits};
use crate::name::Name;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use madderbay::decide::Decider;
use madderbay::face::{Gauges, Outcome, Results};
use madderbay::time::{At, Span};
use madderbay_kept::Verdict;
use madderbay_pools::{Plan, Pools, Stage};
use madderbay_settings::Settings;
use std::cell::RefCell;
use std::rc::Rc;

/// The timer this late tells that this process was held up, and so every reply that it reads now.
const HELD_UP: Span = Span::millis(30);
/// Where nothing can be promised, uniqued reqs are told to come back after that.
const KEEP_AWAY: Span = Span::millis(1_000);
/// Answers leave this long before their callers stop waiting; without a waiting time, after so long.
const MARGIN: Span = Span::millis(30);
const WAITS: Span = Span::millis(2_000);
/// Time between two looks for catalogue connections that stand idle and table entries whose term is over:
/// much finer than either's span.
const TIDY: Span = Span::millis(1_000);

pub type Shared = Rc<RefCell<Serve>>;

pub struct Serve {
    decider: Option<Decider>,
    settings: Settings,
    seed: u64,
    on_cores: Option<usize>,
    gauges: Gauges,
    pub hands: Hands,
}

impl Serve {
    /// `results`: the bytes that kept results may take.
    pub fn new(now: At, seed: u64, settings: Settings, results: usize) -> Serve {
        let hands = Hands::new(now, &settings, results);
        let on_cores = settings.meter("on_cores");
        Serve { decider: None, settings, seed, on_cores, gauges: Gauges::default(), hands }
    }

    /// Sets pools up; without, nothing binds but the module's own limits.
    pub fn pool(&mut self, now: At, plan: Plan) {
        self.hands.pools = Some(Pools::new(now, self.seed, plan, &crate::pooled::kinds(&self.settings)));
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
        loop {
            if let Some((id, how)) = self.hands.over.pop_front() {
                decider.ended(now, id, how, Span::ZERO);
            } else if let Some(id) = self.hands.unrun.pop_front() {
                self.hands.never_ran(id, KEEP_AWAY.min(self.settings.callers.come_back_max));
            } else {
                return;
            }
        }
    }

    // --- balancers

    pub fn opened(&mut self, now: At, out: Outbox) -> u64 {
        let hands = &mut self.hands;
        hands.counters.connections += 1;
        let (no, first) = hands.conns.open(now, out);
        hands.due.insert((first, Due::First(no)));
        if let Some(limit) = hands.conns.idle_limit() {
            hands.due.insert((now + limit, Due::Idle(no)));
        }
        no
    }

    pub fn connections(&self) -> usize {
        self.hands.conns.len()
    }

    /// Ends a connection that carries nothing, to make room for another; false where all carry something.
    pub fn make_room(&mut self, now: At) -> bool {
        let made = self.hands.conns.make_room(now);
        self.hands.counters.connections_cut += u64::from(made);
        made
    }

    /// The peer breaks the protocol, and nothing it asked can be told from what it did not: all that it has
    /// open is errored, and the connection ends.
    pub fn turn_off(&mut self, now: At, no: u64) {
        let Some(open) = self.hands.conns.open_on(no) else { return };
        self.hands.now = now;
        for id in open {
            self.hands.errored(id);
            self.decide(now, |d, hands| d.gone(now, id, hands));
        }
        self.no_more(no);
    }

    /// The peer sends no more, or nothing that can be read: what is open is still answered.
    pub fn no_more(&mut self, no: u64) {
        self.hands.conns.no_more(no);
    }

    /// The connection is gone, and with it everyone who waits on it.
    pub fn closed(&mut self, now: At, no: u64) {
        let Some(open) = self.hands.conns.close(no) else { return };
        self.hands.counters.cut += open.len() as u64;
        open.into_iter().for_each(|id| self.gone(now, id));
    }

    pub fn out(&self, no: u64) -> Option<&Outbox> {
        self.hands.conns.out(no)
    }

    /// Whether another req by this id may be opened on a connection; else why not.
    pub fn may_open(&self, no: u64, rpc: u64) -> Result<(), &'static str> {
        self.hands.conns.may_open(no, rpc)
    }

    /// A req has been read.
    pub fn arrived(&mut self, now: At, no: u64, rpc: u64, read: Read) -> Result<(), &'static str> {
        let Read { arrival, name, key, print, body } = read;
        if self.hands.names.contains_key(&name) {
            return Err("ref is in use");
        }
        if let Some(key) = key
            && self.former_life(now, (no, rpc), arrival.handler, key, print)?
        {
            return Ok(());
        }
        if !self.hands.conns.opened_req(now, no, rpc, arrival.id) {
            return Ok(());
        }
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
            unsent: None,
            latest: (now + if arrival.wait > Span::ZERO { arrival.wait } else { WAITS }).before(MARGIN),
            unproven: vec![],
            proof: 0,
        };
        self.hands.names.insert(name, arrival.id);
        self.hands.reqs.insert(arrival.id, req);
        self.hands.now = now;
        self.hands.pooled(arrival.id, |pools, now, handler| {
            pools.stage(now, arrival.id, handler, Stage::Held);
        });
        if self.decider.is_none() {
            // Nothing can run before the engine is up.
            self.hands.shed(arrival.id, Span::ZERO, false);
        }
        self.decide(now, |d, hands| d.arrive(now, &arrival, hands));
        Ok(())
    }

    /// A try of a uniqued req that a former life has promised is answered from what is known of it, and never
    /// run. True where that, or a promise that can't be made, was its answer.
    fn former_life(
        &mut self, now: At, (no, rpc): (u64, u64), handler: usize, key: u128, print: u64,
    ) -> Result<bool, &'static str> {
        let hands = &mut self.hands;
        let Some(keep) = hands.keep.as_mut().filter(|_| !hands.door.knows(key)) else { return Ok(false) };
        let verdict = keep.book.judge(key, print);
        let away = KEEP_AWAY.min(self.settings.callers.come_back_max);
        let free = hands.free;
        match verdict {
            Verdict::Unlike => return Err("replay came with another body"),
            Verdict::Unknown if keep.book.may_promise().is_ok() => return Ok(false),
            Verdict::Unknown => {
                hands.conns.answer(now, no, |out| answer::shed(out, rpc, away, false, free));
                hands.counters.shed += 1;
            }
            Verdict::Done(result) => {
                let blob = String::from_utf8_lossy(&result);
                hands.conns.answer(now, no, |out| answer::done(out, rpc, &blob, free));
                hands.counters.answered(true, false);
            }
            Verdict::Errored => {
                hands.conns.answer(now, no, |out| answer::errored(out, rpc, free));
                hands.counters.answered(false, false);
            }
        }
        hands.counters.read[handler] += 1;
        Ok(true)
    }

    /// The writing thread tells how far things last.
    pub fn told(&mut self, now: At, told: Told) {
        self.hands.now = now;
        let Some(keep) = &mut self.hands.keep else { return };
        let (waits, lasts) = match told {
            Told::Works { disk } => {
                log::info!("kept: writing works again");
                return keep.book.works(disk);
            }
            Told::Written { seq, disk } => {
                keep.writes += 1;
                keep.book.written(seq, disk);
                (keep.upto(seq), true)
            }
            Told::Failed { seq, why } => {
                log::error!("kept: can't be written, no new uniqued req is run: {why}");
                keep.book.failed(seq);
                (keep.upto(seq), false)
            }
        };
        for wait in waits {
            match wait {
                Waits::Run(id) if lasts => self.hands.release(id),
                Waits::Run(id) => self.hands.unrun.push_back(id),
                Waits::Answer(id, result) => self.hands.settled(id, result.as_deref().filter(|_| lasts)),
                Waits::Nobody => {}
            }
        }
        self.decide(now, |_, _| ());
    }

    /// The balancer has stopped waiting for a req.
    pub fn forget(&mut self, now: At, no: u64, rpc: Option<u64>, name: Option<Name>) {
        let by_rpc = rpc.and_then(|rpc| self.hands.conns.req(no, rpc));
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
        hands.conns.answer(now, no, |out| answer::health(out, rpc, good, free));
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

    fn call_ended(&mut self, now: At, id: u64, how: Outcome, spent: Span) {
        self.hands.counters.call_over(how);
        if let Some(until) = self.hands.reqs.get_mut(&id).and_then(|r| r.until.take()) {
            self.hands.due.remove(&(until, Due::Call(id)));
        }
        self.hands.now = now;
        let late = self.hands.wake.is_some_and(|due| now - due > HELD_UP);
        self.hands.pooled(id, |pools, now, _| {
            if late {
                pools.held_up(now);
            }
            pools.call_over(now, id, crate::pooled::end(how));
        });
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
                Due::Idle(no) => {
                    let again = self.hands.conns.idle_over(now, no);
                    self.hands.due.extend(again.map(|at| (at, Due::Idle(no))));
                }
                Due::First(no) => {
                    let again = self.hands.conns.first_over(now, no);
                    self.hands.due.extend(again.map(|at| (at, Due::First(no))));
                }
                // The disk is too slow for the caller: its answer can't be a result that may not last.
                Due::Settle(id) => self.hands.answer_run(id, None),
                Due::Tidy => {
                    if let Some(keep) = &mut self.hands.keep {
                        keep.book.lapse(now);
                    }
                    self.hands.calls.tidy(now);
                    self.hands.door.lapse(now);
                    self.hands.conns.cut_stuck(now);
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
        self.ceilings(now);
        self.consider(now, |d, hands| d.settle(now, hands));
        if let Some(keep) = &mut self.hands.keep {
            keep.flush();
        }
    }

    /// What the pools may have now is handed to the module before it settles.
    fn ceilings(&mut self, now: At) {
        let (Some(decider), Some(pools)) = (&mut self.decider, &mut self.hands.pools) else { return };
        if !pools.stale(now) {
            return;
        }
        let [_, _, workers, _] = decider.vitals();
        decider.heed(pools.ceilings(now, workers));
        let (told, untold) = pools.told();
        for change in told {
            log::info!("pools: calls {:.1} to {:.1}: {}", change.from, change.to, change.cause);
        }
        if untold > 0 {
            log::info!("pools: {untold} changes more");
        }
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
        self.hands.conns.leave();
        self.decide(now, |d, _| d.wind_down(now, left));
    }

    /// Nothing is owed and nothing waits to be written.
    pub fn at_rest(&self) -> bool {
        self.hands.conns.at_rest()
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
        let own = h.counters.lines(open, h.reqs.len(), h.conns.len(), h.calls.out(), h.door.entries());
        let pools = h.pools.as_ref().map_or(String::new(), crate::pooled::counters);
        own + &pools + &h.keep.as_ref().map_or(String::new(), crate::keep::Keep::counters)
    }
}

impl engine::Hears for Serve {
    fn link(&mut self) -> &mut Link {
        &mut self.hands.engine
    }

    fn unread(&mut self) {
        self.hands.counters.bad_notices += 1;
    }

    fn unlinked(&mut self) {
        self.hands.engine.lost();
        self.hands.counters.relinks += 1;
    }

    /// The engine is up. The first time the module begins.
    fn hello(&mut self, now: At, how: &str, age: Span) {
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
    fn gauges(&mut self, now: At, values: &[f64], gap: bool) {
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
    fn at_call(&mut self, now: At, name: &Name, serial: u64, blob: &str) {
        let Some(&id) = self.hands.names.get(name) else { return };
        let Some(req) = self.hands.reqs.get_mut(&id) else { return };
        req.unproven.clear();
        req.need = serial;
        match BASE64.decode(blob) {
            Ok(body) => req.wants = body,
            Err(_) => log::warn!("engine: the body of a call is no base64"),
        }
        self.hands.now = now;
        self.hands.pooled(id, |pools, now, handler| pools.stage(now, id, handler, Stage::AtCall));
        self.decide(now, |d, hands| d.at_call(now, id, hands));
    }

    /// A run is over. A req that still waits for it is answered with what came of it.
    fn run_over(&mut self, now: At, name: &Name, how: Outcome, spent: Span, blob: &str) {
        let Some(&id) = self.hands.names.get(name) else {
            // It may be a run of a former life, which proves what came of it.
            let result = (how == Outcome::Done).then_some(blob.as_bytes());
            let ran = matches!(how, Outcome::Done | Outcome::Errored | Outcome::Stopped);
            let keep = self.hands.keep.as_mut().filter(|_| ran);
            if keep.is_some_and(|k| k.book.came_back(name, result)) {
                self.hands.changed.notify_one();
            } else {
                self.hands.counters.strays += 1;
            }
            return;
        };
        self.hands.now = now;
        let result = (how == Outcome::Done).then_some(blob);
        if self.hands.keep_result(id, how, result) {
            return self.decide(now, |d, _| d.ended(now, id, how, spent));
        }
        self.hands.answer_run(id, result);
        self.run_out(now, id, how, spent, result);
    }

    /// The engine did not carry a command out. Where that is a run it knows no such req: nothing ran or will,
    /// and a further try by its key is a new one.
    fn declined(&mut self, now: At, what: &str, name: &Name) {
        self.hands.counters.declined += 1;
        log::debug!("engine: {what} was not carried out");
        let Some(&id) = self.hands.names.get(name).filter(|_| what == "RUN") else { return };
        self.hands.now = now;
        self.hands.shed(id, Span::ZERO, false);
        self.hands.keep_result(id, Outcome::Moot, None);
        self.run_out(now, id, Outcome::Moot, Span::ZERO, None);
        self.hands.door.drop(id);
    }
}

impl calls::Hears for Serve {
    fn desk(&mut self) -> &mut Desk {
        &mut self.hands.calls
    }

    fn unread(&mut self) {
        self.hands.counters.bad_replies += 1;
    }

    /// A call's reply came.
    fn call_over(&mut self, now: At, wire: u64, name: &Name, how: Outcome, body: &[u8]) {
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
    fn call_lost(&mut self, now: At, wire: u64) {
        if let Some((id, how, spent)) = self.hands.calls.ended(now, wire) {
            self.call_ended(now, id, how, spent);
        }
    }
}
