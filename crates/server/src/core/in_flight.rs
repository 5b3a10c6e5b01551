//! The reqs in hand: what each still needs for its run, its call and its answer. Carries out what the module
//! decides; decides nothing.

use crate::core::dispatch::{BackendAttempt, BackendSelector};
use crate::core::durability::DurabilityQueue;
use crate::core::quota_gate::QuotaGate;
use crate::core::request_observer::RequestObserver;
use crate::downstream::connections::Connections;
use crate::downstream::idempotency_table::{
    IdempotencyKey, IdempotencyTable, JoinedAttempt, KeyWindow,
};
use crate::downstream::request_validation::RequestValidator;
use crate::downstream::response;
use crate::support::metrics::Counters;
use crate::support::name::Name;
use crate::upstream::calls::CallDispatcher;
use crate::upstream::engine::{EngineLink, command};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use madderbay::interface::{Actions, Outcome, RetrySafety};
use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::limit::Completion;
use madderbay_concurrency::{ConcurrencyLimiter, RequestStage};
use madderbay_settings::Settings;
use madderbay_upstream::{AttemptOutcome as Tried, UpstreamAttempt};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use tokio::sync::Notify;

/// A req that was read: what its answer and its run need.
pub struct InFlightRequest {
    pub name: Name,
    pub conn: u64,
    pub rpc: u64,
    pub handler: usize,
    pub key: Option<IdempotencyKey>,
    pub print: u64,
    /// As it came, until the run has it.
    pub body: Box<str>,
    pub started: bool,
    pub answered: bool,
    pub partial: bool,
    /// The notice of the call that the run stands at, and that call's body.
    pub need: u64,
    pub wants: Vec<u8>,
    pub until: Option<Timestamp>,
    /// Attempts of its call at backends, and when one that is out has another beside it.
    pub tries: Vec<BackendAttempt>,
    pub hedge: Option<Timestamp>,
    /// The notice for which a backend was called last, and that attempt.
    pub called: Option<(u64, UpstreamAttempt)>,
    /// Commands that wait for the promise of its run to last.
    pub unsent: Option<Vec<Vec<u8>>>,
    /// When its answer leaves at the latest.
    pub latest: Timestamp,
    /// Commands that the engine may not have read, and the gauges that will prove that it has.
    pub unproven: Vec<u8>,
    pub proof: u64,
    /// Where a reply to its call among them begins in what the link sends.
    pub fed: Option<u64>,
}

/// What a due time is for.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Deadline {
    Call(u64),
    /// A call that is still out may have a second attempt.
    Hedge(u64),
    Idle(u64),
    First(u64),
    /// The answer of this req still waits for the disk.
    Settle(u64),
    Tidy,
}

/// All that is in hand, and the ways out.
pub struct InFlightRequests {
    pub now: Timestamp,
    pub requests: HashMap<u64, InFlightRequest>,
    pub names: HashMap<Name, u64>,
    pub connections: Connections,
    pub validator: RequestValidator,
    pub idempotency: IdempotencyTable,
    pub engine_link: EngineLink,
    pub calls: CallDispatcher,
    /// Ceilings by pool, where the operator set any.
    pub concurrency: Option<ConcurrencyLimiter>,
    /// Budgets of the whole fleet, where the operator set any.
    pub quota_gate: Option<QuotaGate>,
    /// Backends below, where the operator set any, and the handlers whose calls may be made twice.
    pub backend_selector: Option<Rc<dyn BackendSelector>>,
    pub replayable: Vec<bool>,
    /// Results that outlast this life, where the operator wants them.
    pub durability: Option<DurabilityQueue>,
    /// Reqs that the module has started and whose run was never sent: nothing could be promised.
    pub unrun: VecDeque<u64>,
    /// Calls that the module has made and whose budget had no room any more: they never leave.
    pub unmade: VecDeque<u64>,
    pub due: BTreeSet<(Timestamp, Deadline)>,
    pub wake: Option<Timestamp>,
    /// When the timer that is ringing was due: the next is counted from there, so that each ring's lateness
    /// does not add up to fewer rings.
    pub rang: Timestamp,
    pub load_report: Option<f64>,
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

impl InFlightRequests {
    /// `results`: the bytes that kept results may take.
    pub fn new(now: Timestamp, settings: &Settings, results: usize) -> InFlightRequests {
        InFlightRequests {
            now,
            requests: HashMap::new(),
            names: HashMap::new(),
            connections: Connections::default(),
            validator: RequestValidator::new(settings),
            idempotency: IdempotencyTable::new(settings, results),
            engine_link: EngineLink::default(),
            calls: CallDispatcher::default(),
            concurrency: None,
            quota_gate: None,
            backend_selector: None,
            replayable: settings
                .handlers
                .iter()
                .map(|h| h.retry_safety == RetrySafety::Idempotent)
                .collect(),
            durability: None,
            unrun: VecDeque::new(),
            unmade: VecDeque::new(),
            due: BTreeSet::from([(now, Deadline::Tidy)]),
            wake: None,
            rang: now,
            load_report: None,
            good: true,
            leaving: false,
            over: VecDeque::new(),
            counters: Counters::new(&settings.handler_names),
            changed: Rc::default(),
            report: Rc::default(),
        }
    }

    /// Tells pools and budgets, where there are any, of a req that is in hand.
    pub fn followed(&mut self, id: u64, tell: impl Fn(&mut dyn RequestObserver, Timestamp, usize)) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        if let Some(pools) = &mut self.concurrency {
            tell(pools, self.now, req.handler);
        }
        if let Some(lent) = &mut self.quota_gate {
            tell(lent, self.now, req.handler);
        }
    }

    /// The final answer of a req, once.
    fn answer(&mut self, id: u64, write: impl FnOnce(&mut Vec<u8>, u64, Option<f64>)) -> bool {
        let Some(req) = self.requests.get_mut(&id).filter(|r| !r.answered) else {
            return false;
        };
        req.answered = true;
        let report = self.load_report;
        self.connections
            .answer(self.now, req.conn, |out| write(out, req.rpc, report));
        self.connections.request_settled(req.conn, req.rpc);
        true
    }

    /// Answers with what a run made; nothing stands for a run that made none.
    pub fn answer_run(&mut self, id: u64, result: Option<&str>) {
        let partial = self.requests.get(&id).is_some_and(|r| r.partial);
        let answered = self.answer(id, |out, rpc, report| match result {
            Some(blob) => response::done(out, rpc, blob, report),
            None => response::errored(out, rpc, report),
        });
        if answered {
            self.counters.answered(result.is_some(), partial);
        }
    }

    /// The run of a keyed req is over. Where results are kept its answer waits until this one lasts, and
    /// the req stays in hand for it; else, or where nothing ran, false.
    pub fn keep_result(&mut self, id: u64, how: Outcome, result: Option<&str>) -> bool {
        let (Some(keep), Some(req)) = (&mut self.durability, self.requests.get(&id)) else {
            return false;
        };
        let Some(key) = req.key else { return false };
        if how == Outcome::AlreadyEnded {
            self.take_back(key);
            return false;
        }
        let until = self.idempotency.window(key).map_or(self.now, |w| w.end);
        keep.settle(id, key, result, until);
        self.due.insert((req.latest, Deadline::Settle(id)));
        self.counters.run_over(how);
        self.counters.ran[req.handler] += 1;
        self.give_up_call(id);
        self.followed(id, |f, now, _| f.request_finished(now, id));
        true
    }

    /// The result of a req lasts, or can't be made to: it is answered, and so are those that joined it.
    pub fn settled(&mut self, id: u64, result: Option<&str>) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let (key, latest) = (req.key, req.latest);
        self.due.remove(&(latest, Deadline::Settle(id)));
        self.answer_run(id, result);
        for waiting in key.map_or(vec![], |k| self.idempotency.run_ended(k, result)) {
            self.joined(waiting, result);
        }
        self.remove(id);
    }

    /// What the engine declined, or was never sent, takes its promise back.
    fn take_back(&mut self, key: IdempotencyKey) {
        if let Some(keep) = &mut self.durability {
            keep.never(
                key,
                self.idempotency.window(key).map_or(self.now, |w| w.end),
            );
        }
    }

    fn answer_shed(&mut self, id: u64, come_back: Duration, last: bool) {
        if self.answer(id, |out, rpc, report| {
            response::shed(out, rpc, come_back, last, report)
        }) {
            self.counters.shed += 1;
        }
    }

    /// A run that the module started was never sent: it is shed, and so are those that joined it; the module
    /// hears that nothing ran, and a further try is a new one.
    pub fn never_ran(&mut self, id: u64, come_back: Duration) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let key = req.key;
        self.counters.run_over(Outcome::AlreadyEnded);
        let joined = key.map_or(vec![], |k| self.idempotency.run_ended(k, None));
        for id in std::iter::once(id).chain(joined) {
            self.answer_shed(id, come_back, false);
            self.remove(id);
            self.over.push_back((id, Outcome::AlreadyEnded));
        }
        if let Some(key) = key {
            self.take_back(key);
            self.idempotency.remove_held_by(id);
        }
    }

    pub fn joined(&mut self, id: u64, result: Option<&str>) {
        if self.requests.contains_key(&id) {
            self.answer_run(id, result);
            self.counters.joined += 1;
            self.remove(id);
            self.over.push_back((
                id,
                if result.is_some() {
                    Outcome::Completed
                } else {
                    Outcome::Failed
                },
            ));
        }
    }

    pub fn remove(&mut self, id: u64) {
        self.give_up_call(id);
        self.followed(id, |f, now, _| f.request_finished(now, id));
        let Some(req) = self.requests.remove(&id) else {
            return;
        };
        self.names.remove(&req.name);
        self.calls.forget(&req.name);
    }

    fn give_up_call(&mut self, id: u64) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(until) = req.until.take() {
            self.due.remove(&(until, Deadline::Call(id)));
            if req.tries.is_empty() {
                self.calls.abandon(self.now, &req.name);
            }
            self.drop_tries(id, Tried::Cancelled);
            self.followed(id, |f, now, _| {
                f.call_finished(now, id, Completion::Cancelled)
            });
        }
    }

    /// The req is answered or its caller gone: a call for it is given up, and unless it runs it is over.
    pub fn nobody_waits(&mut self, id: u64) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.answered = true;
        self.connections.request_settled(req.conn, req.rpc);
        if req.started {
            self.give_up_call(id);
            self.followed(id, |f, now, _| f.request_answered(now, id));
        } else {
            self.remove(id);
        }
    }

    pub fn command(&mut self, id: u64, msg: &str, rest: std::fmt::Arguments) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let line = command(msg, &req.name, rest);
        match &mut req.unsent {
            Some(unsent) => unsent.push(line),
            None => self.send(id, &line),
        }
    }

    /// The promise of its run lasts: the engine may have it.
    pub fn release(&mut self, id: u64) {
        let unsent = self.requests.get_mut(&id).and_then(|r| r.unsent.take());
        for line in unsent.into_iter().flatten() {
            self.send(id, &line);
        }
    }

    fn send(&mut self, id: u64, line: &[u8]) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if self.engine_link.last_answer() >= req.proof {
            req.unproven.clear();
            req.fed = None;
        }
        req.unproven.extend_from_slice(line);
        req.proof = self.engine_link.proof();
        self.engine_link.send(line);
    }

    /// The reply to the call that a run stands at.
    pub fn feed(&mut self, id: u64, body: &[u8]) {
        let blob = BASE64.encode(body);
        let begins = self.engine_link.out.queued();
        self.command(id, "FEED", format_args!(",\"blob\":\"{blob}\""));
        if let Some(req) = self.requests.get_mut(&id).filter(|_| self.engine_link.up) {
            req.fed = Some(begins);
        }
    }

    /// The link is lost: a reply of which nothing left is known not to have been read.
    pub fn unlinked(&mut self) {
        let written = self.engine_link.out.written();
        let unsent = |r: &&mut InFlightRequest| r.fed.is_some_and(|begins| begins >= written);
        self.requests
            .values_mut()
            .filter(unsent)
            .for_each(|r| r.fed = None);
        self.engine_link.lost();
    }

    /// Sends again what may not have reached the engine; gives the reqs whose run may have read the reply to its
    /// call, or may still wait for it. A reply says not which call it is for: one that is sent again could meet
    /// the run's next.
    pub fn resend(&mut self) -> Vec<u64> {
        let proven = self.engine_link.proven_before();
        let mut unproven: Vec<_> = self
            .requests
            .iter_mut()
            .filter(|(_, r)| r.proof > proven && !r.unproven.is_empty())
            .collect();
        unproven.sort_by_key(|(id, _)| **id);
        let mut doubtful = vec![];
        for (id, req) in unproven {
            if req.fed.take().is_some() {
                req.unproven.clear();
                doubtful.push(*id);
                continue;
            }
            req.proof = self.engine_link.proof();
            self.engine_link.send(&req.unproven);
        }
        doubtful
    }
}

impl Actions for InFlightRequests {
    fn start(&mut self, id: u64) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.started = true;
        self.counters.runs += 1;
        let body = std::mem::take(&mut req.body);
        let (key, handler, name) = (req.key, req.handler, req.name);
        if let Some(key) = key {
            self.idempotency.run_started(key);
        }
        if let (Some(keep), Some(key)) = (&mut self.durability, key) {
            let window = self
                .idempotency
                .window(key)
                .map_or((0, self.now), |w| (w.fingerprint, w.end));
            if keep.promise(id, key, window, name).is_err() {
                self.unrun.push_back(id);
                return;
            }
            req.unsent = Some(vec![]);
        }
        self.followed(id, |f, now, handler| {
            f.set_stage(now, id, handler, RequestStage::Running)
        });
        let service = self.validator.quoted_name(handler);
        self.command(
            id,
            "RUN",
            format_args!(",\"service\":{service},\"blob\":{body}"),
        );
    }

    fn cancel(&mut self, id: u64) {
        self.command(id, "HALT", format_args!(""));
    }

    fn reject(&mut self, id: u64, come_back: Duration, last: bool) {
        self.answer_shed(id, come_back, last);
        self.nobody_waits(id);
    }

    fn fail(&mut self, id: u64) {
        self.answer_run(id, None);
        self.nobody_waits(id);
    }

    fn call(&mut self, id: u64, patience: Duration) {
        let Ok(to) = self.lead(id) else {
            self.unmade.push_back(id);
            return;
        };
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let mut patience = patience;
        if let Some(lent) = &mut self.quota_gate {
            if !lent.may_call(req.handler) {
                if let (Some(ticket), Some(leads)) = (&to, &self.backend_selector) {
                    leads.over(ticket, Tried::Cancelled);
                }
                self.unmade.push_back(id);
                return;
            }
            patience = lent.patience(req.handler, patience);
        }
        let until = self.now + patience;
        req.until = Some(until);
        self.due.insert((until, Deadline::Call(id)));
        self.counters.calls += 1;
        self.send_call(id, patience, to);
        self.followed(id, |f, now, handler| {
            f.set_stage(now, id, handler, RequestStage::Calling)
        });
    }

    fn skip_call(&mut self, id: u64) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.partial = true;
        let need = req.need;
        self.counters.skipped += 1;
        self.followed(id, |f, now, _| f.call_skipped(now, id));
        self.command(id, "SKIP", format_args!(",\"serial\":{need}"));
    }

    fn store_key(&mut self, id: u64, term: Duration) {
        if let Some((key, print, handler)) = self
            .requests
            .get(&id)
            .and_then(|r| Some((r.key?, r.print, r.handler)))
        {
            let window = KeyWindow {
                fingerprint: print,
                end: self.now + term,
            };
            self.idempotency.insert(id, key, handler, window);
        }
    }

    fn remove_key(&mut self, id: u64) {
        self.idempotency.remove_held_by(id);
    }

    fn join_attempt(&mut self, id: u64) {
        // It waits for another's run and wants none of its own.
        self.followed(id, |f, now, _| f.request_finished(now, id));
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        match self.idempotency.join(id, req.key) {
            JoinedAttempt::Waits => {}
            JoinedAttempt::Completed(result) => self.joined(id, Some(&result)),
            JoinedAttempt::Failed => self.joined(id, None),
        }
    }

    fn set_health(&mut self, good: bool) {
        if std::mem::replace(&mut self.good, good) != good {
            log::warn!("health: {}", if good { "good again" } else { "ill" });
            self.report.notify_one();
        }
    }

    fn set_load_report(&mut self, value: f64) {
        self.load_report = Some(value);
    }

    fn set_idle_limit(&mut self, limit: Duration) {
        self.due.retain(|d| !matches!(d.1, Deadline::Idle(_)));
        self.due.extend(
            self.connections
                .set_idle_limit(limit)
                .map(|(at, no)| (at, Deadline::Idle(no))),
        );
    }

    fn set_timer(&mut self, after: Duration) {
        self.wake = Some((self.rang + after).max(self.now + after.mul_f64(0.5)));
    }
}
