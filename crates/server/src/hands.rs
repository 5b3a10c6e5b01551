//! The reqs in hand: what each still needs for its run, its call and its answer. Carries out what the module
//! decides; decides nothing.

use crate::answer;
use crate::calls::Desk;
use crate::conns::Conns;
use crate::counters::Counters;
use crate::door::{Door, Joined, Key};
use crate::engine::{Link, command};
use crate::name::Name;
use madderbay::face::{Outcome, Results};
use madderbay::time::{At, Span};
use madderbay_pools::limit::End;
use madderbay_pools::{Pools, Stage};
use madderbay_settings::Settings;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use tokio::sync::Notify;

/// A req that was read: what its answer and its run need.
pub struct InHand {
    pub name: Name,
    pub conn: u64,
    pub rpc: u64,
    pub handler: usize,
    pub key: Option<Key>,
    pub print: u64,
    /// As it came, until the run has it.
    pub body: Box<str>,
    pub started: bool,
    pub answered: bool,
    pub partial: bool,
    /// The notice of the call that the run stands at, and that call's body.
    pub need: u64,
    pub wants: Vec<u8>,
    pub until: Option<At>,
    /// Commands that the engine may not have read, and the gauges that will prove that it has.
    pub unproven: Vec<u8>,
    pub proof: u64,
}

/// What a due time is for.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    Call(u64),
    Idle(u64),
    First(u64),
    Tidy,
}

/// All that is in hand, and the ways out.
pub struct Hands {
    pub now: At,
    pub reqs: HashMap<u64, InHand>,
    pub names: HashMap<Name, u64>,
    pub conns: Conns,
    pub door: Door,
    pub engine: Link,
    pub calls: Desk,
    /// Ceilings by pool, where the operator set any.
    pub pools: Option<Pools>,
    pub due: BTreeSet<(At, Due)>,
    pub wake: Option<At>,
    /// When the timer that is ringing was due: the next is counted from there, so that each ring's lateness
    /// does not add up to fewer rings.
    pub rang: At,
    pub free: Option<f64>,
    pub good: bool,
    pub leaving: bool,
    /// Joined reqs that were answered, for the module to hear of.
    pub over: VecDeque<(u64, Outcome)>,
    pub counters: Counters,
    /// Something came: the decisions have to settle.
    pub changed: Rc<Notify>,
    /// What the registry says has changed.
    pub report: Rc<Notify>,
}

impl Hands {
    /// `results`: the bytes that kept results may take.
    pub fn new(now: At, settings: &Settings, results: usize) -> Hands {
        Hands {
            now,
            reqs: HashMap::new(),
            names: HashMap::new(),
            conns: Conns::default(),
            door: Door::new(settings, results),
            engine: Link::default(),
            calls: Desk::default(),
            pools: None,
            due: BTreeSet::from([(now, Due::Tidy)]),
            wake: None,
            rang: now,
            free: None,
            good: true,
            leaving: false,
            over: VecDeque::new(),
            counters: Counters::new(&settings.handler_names),
            changed: Rc::default(),
            report: Rc::default(),
        }
    }

    /// Tells the pools, where there are any, of a req that is in hand.
    pub fn pooled(&mut self, id: u64, tell: impl FnOnce(&mut Pools, At, usize)) {
        if let Some(pools) = &mut self.pools
            && let Some(req) = self.reqs.get(&id)
        {
            tell(pools, self.now, req.handler);
        }
    }

    /// The final answer of a req, once.
    fn answer(&mut self, id: u64, write: impl FnOnce(&mut Vec<u8>, u64, Option<f64>)) -> bool {
        let Some(req) = self.reqs.get_mut(&id).filter(|r| !r.answered) else { return false };
        req.answered = true;
        let free = self.free;
        self.conns.answer(self.now, req.conn, |out| write(out, req.rpc, free));
        self.conns.settled(req.conn, req.rpc);
        true
    }

    /// Answers with what a run made; nothing stands for a run that made none.
    pub fn answer_run(&mut self, id: u64, result: Option<&str>) {
        let partial = self.reqs.get(&id).is_some_and(|r| r.partial);
        let answered = self.answer(id, |out, rpc, free| match result {
            Some(blob) => answer::done(out, rpc, blob, free),
            None => answer::errored(out, rpc, free),
        });
        if answered {
            self.counters.answered(result.is_some(), partial);
        }
    }

    pub fn joined(&mut self, id: u64, result: Option<&str>) {
        if self.reqs.contains_key(&id) {
            self.answer_run(id, result);
            self.counters.joined += 1;
            self.remove(id);
            self.over.push_back((id, if result.is_some() { Outcome::Done } else { Outcome::Errored }));
        }
    }

    pub fn remove(&mut self, id: u64) {
        self.give_up_call(id);
        self.pooled(id, |pools, now, _| pools.over(now, id));
        let Some(req) = self.reqs.remove(&id) else { return };
        self.names.remove(&req.name);
        self.calls.forget(&req.name);
    }

    fn give_up_call(&mut self, id: u64) {
        let Some(req) = self.reqs.get_mut(&id) else { return };
        if let Some(until) = req.until.take() {
            self.due.remove(&(until, Due::Call(id)));
            self.calls.quit(self.now, &req.name);
            self.pooled(id, |pools, now, _| pools.call_over(now, id, End::Dropped));
        }
    }

    /// The req is answered or its caller gone: a call for it is given up, and unless it runs it is over.
    pub fn nobody_waits(&mut self, id: u64) {
        let Some(req) = self.reqs.get_mut(&id) else { return };
        req.answered = true;
        self.conns.settled(req.conn, req.rpc);
        if req.started {
            self.give_up_call(id);
        } else {
            self.remove(id);
        }
    }

    pub fn command(&mut self, id: u64, msg: &str, rest: std::fmt::Arguments) {
        let Some(req) = self.reqs.get_mut(&id) else { return };
        let line = command(msg, &req.name, rest);
        if self.engine.heard() >= req.proof {
            req.unproven.clear();
        }
        req.unproven.extend_from_slice(&line);
        req.proof = self.engine.proof();
        self.engine.send(&line);
    }

    pub fn resend(&mut self) {
        let proven = self.engine.proven_before();
        let mut unproven: Vec<_> =
            self.reqs.iter_mut().filter(|(_, r)| r.proof > proven && !r.unproven.is_empty()).collect();
        unproven.sort_by_key(|(id, _)| **id);
        for (_, req) in unproven {
            req.proof = self.engine.proof();
            self.engine.send(&req.unproven);
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
        self.pooled(id, |pools, now, handler| pools.stage(now, id, handler, Stage::Running));
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
        self.pooled(id, |pools, now, handler| pools.stage(now, id, handler, Stage::Calling));
    }

    fn skip(&mut self, id: u64) {
        let Some(req) = self.reqs.get_mut(&id) else { return };
        req.partial = true;
        let need = req.need;
        self.counters.skipped += 1;
        self.pooled(id, |pools, now, _| pools.skipped(now, id));
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
        // It waits for another's run and wants none of its own.
        self.pooled(id, |pools, now, _| pools.over(now, id));
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
        self.due.retain(|d| !matches!(d.1, Due::Idle(_)));
        self.due.extend(self.conns.limit_idling(limit).map(|(at, no)| (at, Due::Idle(no))));
    }

    fn wake(&mut self, after: Span) {
        self.wake = Some((self.rang + after).max(self.now + after.times(0.5)));
    }
}
