//! What the engine and the catalogue say, told to the decisions: runs and calls, and how they ended.

use super::event_loop::EventLoop;
use super::in_flight::Deadline;
use crate::support::name::Name;
use crate::upstream::calls::{self, CallDispatcher};
use crate::upstream::engine::{self, EngineLink};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use madderbay::interface::{Actions, Outcome};
use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::RequestStage;
use madderbay_upstream::AttemptOutcome as Tried;

/// The timer this late tells that this process was held up, and so every reply that it reads now.
const HELD_UP: Duration = Duration::from_millis(30);

impl EventLoop {
    /// A run that was answered leaves the books.
    pub(super) fn run_out(
        &mut self,
        now: Timestamp,
        id: u64,
        how: Outcome,
        spent: Duration,
        result: Option<&str>,
    ) {
        let Some(req) = self.in_flight.requests.get(&id) else {
            return;
        };
        let (key, handler) = (req.key, req.handler);
        self.in_flight.counters.run_over(how);
        for waiting in key.map_or(vec![], |k| self.in_flight.idempotency.run_ended(k, result)) {
            self.in_flight.joined(waiting, result);
        }
        self.in_flight.counters.ran[handler] += 1;
        self.in_flight.remove(id);
        self.decide(now, |d, _| d.on_run_ended(now, id, how, spent));
    }

    pub(super) fn call_ended(&mut self, now: Timestamp, id: u64, how: Outcome, spent: Duration) {
        self.in_flight.counters.call_over(how);
        if let Some(until) = self
            .in_flight
            .requests
            .get_mut(&id)
            .and_then(|r| r.until.take())
        {
            self.in_flight.due.remove(&(until, Deadline::Call(id)));
        }
        self.in_flight.now = now;
        self.in_flight.drop_tries(id, Tried::Cancelled);
        let late = self.in_flight.wake.is_some_and(|due| now - due > HELD_UP);
        self.in_flight.followed(id, |f, now, _| {
            if late {
                f.process_stalled(now);
            }
            f.call_finished(now, id, crate::core::concurrency_limits::end(how));
        });
        self.decide(now, |d, in_flight| {
            d.on_call_finished(now, id, how, spent, in_flight)
        });
    }

    pub(super) fn patience_over(&mut self, now: Timestamp, id: u64) {
        let Some(req) = self.in_flight.requests.get_mut(&id) else {
            return;
        };
        req.until = None;
        let name = req.name;
        if !req.tries.is_empty() {
            self.in_flight.now = now;
            let spent = req
                .tries
                .iter()
                .map(|t| t.since)
                .min()
                .map_or(Duration::ZERO, |at| now - at);
            self.in_flight.drop_tries(id, Tried::TimedOut);
            self.call_ended(now, id, Outcome::TimedOut, spent);
        } else if let Some(call) = self.in_flight.calls.abandon(now, &name) {
            self.call_ended(now, call.request, call.outcome, call.elapsed);
        }
    }
}

impl EventLoop {
    /// Nobody knows whether a run has read the reply to its call. One that may go on without is told so by the
    /// number of that call, which does nothing where it has gone on; any other is errored and ends by itself.
    fn doubtful(&mut self, now: Timestamp, id: u64) {
        let Some(req) = self.in_flight.requests.get(&id) else {
            return;
        };
        if self.settings.handlers[req.handler].partial_weight > 0.0 {
            self.in_flight.skip_call(id);
        } else {
            self.in_flight.fail(id);
            self.decide(now, |d, in_flight| d.on_client_gone(now, id, in_flight));
        }
    }
}

impl engine::EngineObserver for EventLoop {
    fn link(&mut self) -> &mut EngineLink {
        &mut self.in_flight.engine_link
    }

    fn unread(&mut self) {
        self.in_flight.counters.bad_notices += 1;
    }

    fn unlinked(&mut self) {
        self.in_flight.unlinked();
        self.in_flight.counters.relinks += 1;
    }

    /// The engine is up. The first time the module begins.
    fn hello(&mut self, now: Timestamp, how: &str, age: Duration) {
        log::info!("engine: up, {how} {} ms ago", age.as_micros() / 1000);
        // One that is told to leave before its engine came up takes nothing on any more.
        if self.decider.is_none() && !self.in_flight.leaving {
            self.settings.machine.starts_cold |= how == "new";
            // It begins now and not when the engine did, which may be an hour ago: its timer would count as
            // that late, and a stop asked for before the first tick would fall due for ever. A cold engine
            // that came up a while ago counts as colder than it is.
            let mut decider = self.settings.decider(now, self.seed);
            (self.in_flight.now, self.in_flight.rang) = (now, now);
            decider.on_start(&mut self.in_flight);
            self.decider = Some(decider);
        }
        self.in_flight.engine_link.query_gauges(true);
        self.in_flight.changed.notify_one();
    }

    /// The gauges. After a lost link they come behind all notices that were missed: what may not have reached
    /// the engine is sent again then, which starts nothing twice, since all that ended meanwhile is known. If
    /// notices were lost for good any run may have ended, and none is sent again.
    fn gauges(&mut self, now: Timestamp, values: &[f64], gap: bool) {
        self.gauges.run_queue = self.on_cores.and_then(|at| values.get(at)).copied();
        let taken_up = !std::mem::replace(&mut self.in_flight.engine_link.up, true);
        if gap {
            log::warn!("engine: notices were lost; all runs count as errored");
            let mut lost: Vec<_> = self
                .in_flight
                .requests
                .iter()
                .filter(|(_, r)| r.started)
                .map(|(id, r)| (*id, r.name))
                .collect();
            lost.sort_unstable();
            for (id, name) in lost {
                self.in_flight.cancel(id);
                self.run_over(now, &name, Outcome::Failed, Duration::ZERO, "");
            }
        }
        if taken_up {
            self.in_flight.now = now;
            for id in self.in_flight.resend() {
                self.doubtful(now, id);
            }
        }
    }

    /// A run stands at a call.
    fn at_call(&mut self, now: Timestamp, name: &Name, serial: u64, blob: &str) {
        let Some(&id) = self.in_flight.names.get(name) else {
            return;
        };
        let Some(req) = self.in_flight.requests.get_mut(&id) else {
            return;
        };
        req.unproven.clear();
        req.fed = None;
        req.need = serial;
        match BASE64.decode(blob) {
            Ok(body) => req.wants = body,
            Err(_) => log::warn!("engine: the body of a call is no base64"),
        }
        self.in_flight.now = now;
        self.in_flight.followed(id, |f, now, handler| {
            f.set_stage(now, id, handler, RequestStage::AwaitingCall)
        });
        self.decide(now, |d, in_flight| d.on_call_needed(now, id, in_flight));
    }

    /// A run is over. A req that still waits for it is answered with what came of it.
    fn run_over(&mut self, now: Timestamp, name: &Name, how: Outcome, spent: Duration, blob: &str) {
        let Some(&id) = self.in_flight.names.get(name) else {
            // It may be a run of a former life, which proves what came of it.
            let result = (how == Outcome::Completed).then_some(blob.as_bytes());
            let ran = matches!(
                how,
                Outcome::Completed | Outcome::Failed | Outcome::Cancelled
            );
            let keep = self.in_flight.durability.as_mut().filter(|_| ran);
            if keep.is_some_and(|k| k.book.complete_recovered_run(name, result)) {
                self.in_flight.changed.notify_one();
            } else {
                self.in_flight.counters.strays += 1;
            }
            return;
        };
        self.in_flight.now = now;
        let result = (how == Outcome::Completed).then_some(blob);
        if self.in_flight.keep_result(id, how, result) {
            return self.decide(now, |d, _| d.on_run_ended(now, id, how, spent));
        }
        self.in_flight.answer_run(id, result);
        self.run_out(now, id, how, spent, result);
    }

    /// The engine did not carry a command out. Where that is a run it knows no such req: nothing ran or will,
    /// and a further try by its key is a new one.
    fn declined(&mut self, now: Timestamp, what: &str, name: &Name) {
        self.in_flight.counters.declined += 1;
        log::debug!("engine: {what} was not carried out");
        let Some(&id) = self.in_flight.names.get(name).filter(|_| what == "RUN") else {
            return;
        };
        self.in_flight.now = now;
        self.in_flight.reject(id, Duration::ZERO, false);
        self.in_flight.keep_result(id, Outcome::AlreadyEnded, None);
        self.run_out(now, id, Outcome::AlreadyEnded, Duration::ZERO, None);
        self.in_flight.idempotency.remove_held_by(id);
    }
}

impl calls::CallObserver for EventLoop {
    fn dispatcher(&mut self) -> &mut CallDispatcher {
        &mut self.in_flight.calls
    }

    fn may_dial(&self, open: usize) -> bool {
        open < self
            .descriptors
            .saturating_sub(self.in_flight.connections.len())
    }

    fn unread(&mut self) {
        self.in_flight.counters.bad_replies += 1;
    }

    /// A call's reply came.
    fn call_over(&mut self, now: Timestamp, wire: u64, name: &Name, how: Outcome, body: &[u8]) {
        let Some((id, spent)) = self.in_flight.calls.replied(now, wire, name) else {
            self.in_flight.counters.strays += 1;
            return;
        };
        if how == Outcome::Completed
            && self
                .in_flight
                .requests
                .get(&id)
                .is_some_and(|r| !r.answered)
        {
            self.in_flight.goes_on(now, id, wire, how, true);
            self.in_flight.feed(id, body);
        } else if self.in_flight.goes_on(now, id, wire, how, true) {
            return;
        }
        self.call_ended(now, id, how, spent);
    }

    /// A connection to the catalogue is over.
    fn call_lost(&mut self, now: Timestamp, wire: u64) {
        if let Some(call) = self.in_flight.calls.connection_ended(now, wire)
            && !self
                .in_flight
                .goes_on(now, call.request, wire, call.outcome, false)
        {
            self.call_ended(now, call.request, call.outcome, call.elapsed);
        }
    }
}
