//! Events from the engine and the upstream servers: runs and calls, and how they ended.
//!
//! Notices of the engine and replies of the catalogue or a backend are passed to the decision
//! module, and the requests whose runs have ended are answered. Sockets are read and lines are
//! parsed elsewhere.

use super::concurrency_limits;
use super::deadlines::Deadline;
use super::dispatch::{AttemptEnd, CallProgress};
use super::event_loop::EventLoop;
use super::executor::ActionExecutor;
use crate::support::attempt_name::AttemptName;
use crate::upstream::calls::{CallDispatcher, CallObserver, Reply};
use crate::upstream::engine::{DeclinedCommand, EngineLink, EngineObserver, EngineStart};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use madderbay::interface::{Actions, Outcome};
use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::RequestStage;
use madderbay_upstream::AttemptOutcome;

/// If a tick is overdue by more than this, the process was stalled, and so all replies are read
/// late.
const STALL_THRESHOLD: Duration = Duration::from_millis(30);
/// Maximum time for which the notices of a run in doubt are awaited. Cancelling it loses the work of
/// a run that has begun; waiting delays a run that has not.
const MAX_RUN_DOUBT: Duration = Duration::from_millis(150);
/// Maximum share of the time until the answer is due for which these notices are awaited, so that a
/// run that has not begun can still end in time.
const RUN_DOUBT_SHARE: f64 = 0.25;

/// Ends of runs and calls.
impl EventLoop {
    /// Removes a request whose run has ended and that was answered or needs no answer, answers the
    /// requests that joined the run, and reports the end to the decision module.
    fn remove_ended_run(
        &mut self,
        now: Timestamp,
        id: u64,
        outcome: Outcome,
        run_time: Duration,
        result: Option<&str>,
    ) {
        let executor = &mut self.executor;
        let Some(request) = executor.requests.get(id) else {
            return;
        };
        let key = request.key;
        executor.counters.run_ended(request.handler, outcome);
        executor.answer_all_joined(key, result);
        executor.remove(id);
        self.decide(now, |decider, _| {
            decider.on_run_ended(now, id, outcome, run_time);
        });
    }

    /// Handles the end of a call with all its attempts.
    fn call_ended(&mut self, now: Timestamp, id: u64, outcome: Outcome, elapsed: Duration) {
        let executor = &mut self.executor;
        executor.counters.call_ended(outcome);
        let request = executor.requests.get_mut(id);
        if let Some(deadline) = request.and_then(|request| request.call.take_deadline()) {
            executor
                .deadlines
                .remove(deadline, Deadline::CallTimeout(id));
        }
        executor.now = now;
        executor.end_attempts(id, AttemptOutcome::Cancelled);
        let stalled = executor.deadlines.is_tick_overdue(now, STALL_THRESHOLD);
        executor.observe(id, |observer, now| {
            if stalled {
                observer.process_stalled(now);
            }
            observer.call_finished(now, id, concurrency_limits::completion(outcome));
        });
        self.decide(now, |decider, executor| {
            decider.on_call_finished(now, id, outcome, elapsed, executor);
        });
    }

    /// Handles a call that has not ended at its deadline.
    pub(super) fn call_timed_out(&mut self, now: Timestamp, id: u64) {
        let executor = &mut self.executor;
        let Some(request) = executor.requests.get_mut(id) else {
            return;
        };
        request.call.take_deadline();
        if let Some(sent_at) = request.call.oldest_sent_at() {
            executor.now = now;
            executor.end_attempts(id, AttemptOutcome::TimedOut);
            self.call_ended(now, id, Outcome::TimedOut, now - sent_at);
            return;
        }
        let name = request.name;
        if let Some(call) = executor.calls.abandon(now, &name) {
            self.call_ended(now, call.request, call.outcome, call.elapsed);
        }
    }
}

/// Runs in doubt: it is unknown whether they have begun.
impl ActionExecutor {
    /// Awaits the notices of a run in doubt.
    fn await_run_in_doubt(&mut self, id: u64) {
        if let Some(request) = self.requests.get(id) {
            let until_answer = request.answer_deadline - self.now;
            let wait = until_answer.mul_f64(RUN_DOUBT_SHARE).min(MAX_RUN_DOUBT);
            self.deadlines
                .insert(self.now + wait, Deadline::RunInDoubt(id));
        }
    }

    /// Handles a run of which it is still unknown whether it has begun.
    pub(super) fn run_doubt_expired(&mut self, id: u64) {
        if let Some(request) = self.requests.get_mut(id) {
            self.engine_commands.doubt_expired(request);
        }
    }
}

/// The start of the engine, its runs, and recovery after the link was lost.
impl EventLoop {
    /// Handles the permanent loss of notices: any run may have ended, so all runs that were started
    /// fail and none is sent again.
    fn fail_started_runs(&mut self, now: Timestamp) {
        let started = self.executor.requests.started();
        log::warn!("engine: notices lost, runs_failed={}", started.len());
        for run in started {
            self.executor.cancel(run.request);
            self.run_ended(now, &run.attempt, Outcome::Failed, Duration::ZERO, "");
        }
    }

    /// Sends the commands again that may not have reached the engine, after all missed notices have
    /// been read. No run is started twice, since all runs that have ended in the meantime are
    /// known.
    fn resend_commands(&mut self, now: Timestamp) {
        let executor = &mut self.executor;
        executor.now = now;
        let in_doubt = executor.engine_commands.resend(&mut executor.requests);
        for id in in_doubt.runs {
            executor.await_run_in_doubt(id);
        }
        for id in in_doubt.replies {
            self.skip_call_or_fail(now, id);
        }
    }

    /// Handles a run that can't get the reply to its call: no call can be made, or it is unknown
    /// whether the run has read the reply. If the call is optional, the run is told to skip it by
    /// its serial number, which has no effect on a run that has continued. Otherwise the request
    /// fails.
    fn skip_call_or_fail(&mut self, now: Timestamp, id: u64) {
        let Some(request) = self.executor.requests.unanswered(id) else {
            return;
        };
        self.executor.now = now;
        if self.has_partial_answer(request.handler) {
            self.executor.skip_call(id);
        } else {
            self.fail_request(now, id);
        }
    }

    /// Reports whether the run of a request has not ended although nobody waits for its answer.
    fn is_run_orphaned(&self, id: u64) -> bool {
        self.is_tracked_by_decider(id) && self.executor.requests.unanswered(id).is_none()
    }

    /// Handles a run that the engine declined: nothing has run or will run, and a further attempt
    /// with its key is a new request.
    fn run_declined(&mut self, now: Timestamp, id: u64) {
        let outcome = Outcome::AlreadyEnded;
        self.executor.now = now;
        self.executor.reject(id, Duration::ZERO, false);
        self.executor.answer_once_durable(id, outcome, None);
        self.remove_ended_run(now, id, outcome, Duration::ZERO, None);
        self.executor
            .idempotent_runs
            .remove_key_of_newest_attempt(id);
    }

    /// Handles the end of a run that is not in flight, or of one whose end was read before: the first
    /// end is final. It may be a run of an earlier incarnation, whose outcome is then recorded.
    fn unknown_run_ended(&mut self, name: &AttemptName, outcome: Outcome, result: &str) {
        let executor = &mut self.executor;
        let result = (outcome == Outcome::Completed).then_some(result);
        let runs = &mut executor.idempotent_runs;
        if runs.complete_recovered_run(name, outcome, result) {
            self.request_turn();
        } else {
            executor.counters.unmatched_end();
        }
    }
}

impl EngineObserver for EventLoop {
    fn link(&mut self) -> &mut EngineLink {
        self.executor.engine_commands.link_mut()
    }

    fn notice_unreadable(&mut self) {
        self.executor.counters.notice_unreadable();
    }

    fn link_lost(&mut self) {
        let executor = &mut self.executor;
        executor.engine_commands.link_lost(&mut executor.requests);
        self.executor.counters.engine_link_lost();
    }

    /// Handles the notice that the engine is up. The decision module is created the first time, but
    /// not while the server is draining and accepts no more work.
    fn engine_up(&mut self, now: Timestamp, start: EngineStart) {
        let age_ms = start.age().as_micros() / 1000;
        log::info!("engine: up, how={start}, age_ms={age_ms}");
        if !self.has_decider() && !self.executor.downstream.status().is_draining() {
            self.start_decider(now, start.is_new());
        }
        let link = self.executor.engine_commands.link_mut();
        link.query_gauges(true);
        self.request_turn();
    }

    /// Handles gauges that were read. After a lost link they arrive after all missed notices.
    fn gauges_read(&mut self, now: Timestamp, values: &[f64], notices_lost: bool) {
        self.record_gauges(values);
        let link_restored = self.executor.engine_commands.link_mut().restored();
        if notices_lost {
            self.fail_started_runs(now);
        }
        if link_restored {
            self.resend_commands(now);
        }
        let executor = &mut self.executor;
        executor
            .engine_commands
            .resend_never_begun(&mut executor.requests);
    }

    /// Handles a run that waits for a call.
    fn call_needed(&mut self, now: Timestamp, name: &AttemptName, serial: u64, body: &str) {
        let executor = &mut self.executor;
        let Some(id) = executor.requests.id_before_end(name) else {
            return;
        };
        let Some(request) = executor.requests.get_mut(id) else {
            return;
        };
        request.commands.run_reached_call();
        let Ok(body) = BASE64.decode(body) else {
            request.call.requested(serial, vec![]);
            log::warn!("engine: call body is not base64, serial={serial}");
            executor.counters.notice_unreadable();
            return self.skip_call_or_fail(now, id);
        };
        request.call.requested(serial, body);
        executor.now = now;
        executor.set_stage(id, RequestStage::AwaitingCall);
        self.decide(now, |decider, executor| {
            decider.on_call_needed(now, id, executor);
        });
    }

    /// Handles the end of a run. A request that still waits for it is answered with its outcome.
    fn run_ended(
        &mut self,
        now: Timestamp,
        name: &AttemptName,
        outcome: Outcome,
        run_time: Duration,
        result: &str,
    ) {
        let Some(id) = self.executor.requests.id_before_end(name) else {
            return self.unknown_run_ended(name, outcome, result);
        };
        self.executor.now = now;
        let result = (outcome == Outcome::Completed).then_some(result);
        if self.executor.answer_once_durable(id, outcome, result) {
            return self.decide(now, |decider, _| {
                decider.on_run_ended(now, id, outcome, run_time);
            });
        }
        self.executor.answer_run(id, result);
        self.remove_ended_run(now, id, outcome, run_time, result);
    }

    /// Handles a command that the engine did not carry out because it knows no such request.
    fn command_declined(&mut self, now: Timestamp, command: DeclinedCommand, name: &AttemptName) {
        self.executor.counters.command_declined();
        log::debug!("engine: command declined, command={command}");
        let Some(id) = self.executor.requests.id_before_end(name) else {
            return;
        };
        if command.is_run() {
            self.run_declined(now, id);
        } else if command.is_cancel() && self.is_run_orphaned(id) {
            // Nobody waits for the run, and the engine will not report its end. It may have had its
            // effect.
            self.run_ended(now, name, Outcome::Cancelled, Duration::ZERO, "");
        }
    }
}

impl CallObserver for EventLoop {
    fn dispatcher(&mut self) -> &mut CallDispatcher {
        &mut self.executor.calls
    }

    fn may_connect(&self, open: usize) -> bool {
        open < self.descriptors_for_calls()
    }

    fn reply_unreadable(&mut self) {
        self.executor.counters.reply_unreadable();
    }

    /// Handles a reply to a call.
    fn reply_read(&mut self, now: Timestamp, upstream_connection: u64, reply: &Reply) {
        let outcome = reply.outcome;
        let calls = &mut self.executor.calls;
        let Some(call) = calls.replied(now, upstream_connection, &reply.name) else {
            self.executor.counters.unmatched_end();
            return;
        };
        let id = call.request;
        let end = AttemptEnd {
            upstream_connection,
            outcome,
            replied: true,
        };
        let progress = self.executor.attempt_ended(now, id, end);
        if outcome == Outcome::Completed && self.executor.requests.unanswered(id).is_some() {
            self.executor.send_reply(id, reply.body);
        } else if progress == CallProgress::Continues {
            return;
        }
        self.call_ended(now, id, outcome, call.elapsed);
    }

    /// Handles the end of an upstream connection, and of the call on it.
    fn call_connection_ended(&mut self, now: Timestamp, upstream_connection: u64) {
        let calls = &mut self.executor.calls;
        let Some(call) = calls.connection_ended(now, upstream_connection) else {
            return;
        };
        let end = AttemptEnd {
            upstream_connection,
            outcome: call.outcome,
            replied: false,
        };
        if self.executor.attempt_ended(now, call.request, end) == CallProgress::Ended {
            self.call_ended(now, call.request, call.outcome, call.elapsed);
        }
    }
}
