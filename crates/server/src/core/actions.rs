//! The actions of the decision module: one short function for each action.
//!
//! An action on a request that is no longer in flight has no effect. No decisions are made here: an
//! action that can't be carried out is reported back as a deferred event.
//!
//! The core also calls some actions itself: `arrivals` rejects requests that arrive before the
//! engine is up or that exceed the limit on connections, and `upstream_events` gives up requests
//! and runs that were ended by a lost link or a declined command.

use super::deadlines::Deadline;
use super::executor::ActionExecutor;
use super::idempotent_runs::RunRelease;
use crate::downstream::idempotency_table::{JoinedAttempt, KeyWindow};
use crate::upstream::engine::EngineCommand;
use madderbay::interface::Actions;
use madderbay::time::Duration;
use madderbay_concurrency::RequestStage;

/// Commands to the engine.
impl ActionExecutor {
    /// Sends a command about the run of a request.
    fn send_command(&mut self, id: u64, command: EngineCommand) {
        if let Some(request) = self.requests.get_mut(id) {
            self.engine_commands.send(request, command);
        }
    }

    /// Sends the reply to the call that the run of a request waits for.
    pub(super) fn send_reply(&mut self, id: u64, body: &[u8]) {
        if let Some(request) = self.requests.get_mut(id) {
            self.engine_commands.send_reply(request, body);
        }
    }

    /// Sends the run of a request, when its write-ahead record is durable.
    pub(super) fn release_run(&mut self, id: u64) {
        if let Some(request) = self.requests.get_mut(id) {
            self.engine_commands.release(request);
        }
    }
}

impl Actions for ActionExecutor {
    fn start(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let body = request.start();
        self.counters.run_started();
        let handler = request.handler;
        if !self.backends.is_idempotent(handler) {
            request.commands.set_runs_once();
        }
        if let Some(key) = request.key {
            let runs = &mut self.idempotent_runs;
            match runs.begin_run(self.now, id, key, request.name) {
                Ok(RunRelease::Now) => {}
                Ok(RunRelease::OnceDurable) => request.commands.hold_back(),
                Err(_) => return self.deferred_events.run_not_sent(id),
            }
        }
        self.set_stage(id, RequestStage::Running);
        let handler = &self.validator.quoted_name(handler);
        let body = &body;
        self.send_command(id, EngineCommand::Run { handler, body });
    }

    fn cancel(&mut self, id: u64) {
        self.send_command(id, EngineCommand::Cancel);
    }

    fn abandon(&mut self, id: u64) {
        self.deferred_events.run_abandoned(id);
    }

    fn reject(&mut self, id: u64, retry_after: Duration, is_final: bool) {
        self.answer_rejected(id, retry_after, is_final);
        self.request_settled(id);
    }

    fn fail(&mut self, id: u64) {
        self.answer_run(id, None);
        self.request_settled(id);
    }

    fn call(&mut self, id: u64, timeout: Duration) {
        let Ok(target) = self.select_target(id) else {
            return self.deferred_events.call_not_made(id);
        };
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if !self.limits.acquire_call(request.handler) {
            self.release_target(&target);
            return self.deferred_events.call_not_made(id);
        }
        let timeout = self.limits.call_timeout(request.handler, timeout);
        let deadline = self.now + timeout;
        request.call.set_deadline(deadline);
        self.deadlines.insert(deadline, Deadline::CallTimeout(id));
        self.counters.call_sent();
        self.send_call(id, timeout, target);
        self.set_stage(id, RequestStage::Calling);
    }

    fn skip_call(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.call_skipped();
        let serial = request.call.serial();
        self.counters.call_skipped();
        self.observe(id, |observer, now| observer.call_skipped(now, id));
        self.send_command(id, EngineCommand::SkipCall { serial });
    }

    fn store_key(&mut self, id: u64, lifetime: Duration) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if let Some(key) = request.key {
            let window = KeyWindow {
                fingerprint: request.fingerprint,
                end: self.now + lifetime,
            };
            self.idempotent_runs
                .insert_key(id, key, request.handler, window);
        }
    }

    fn remove_key(&mut self, id: u64) {
        self.idempotent_runs.remove_key_of_newest_attempt(id);
    }

    fn join_attempt(&mut self, id: u64) {
        // The request waits for the run of another attempt and needs none of its own.
        self.observe(id, |observer, now| observer.request_finished(now, id));
        let Some(request) = self.requests.get(id) else {
            return;
        };
        match self.idempotent_runs.join(id, request.key) {
            JoinedAttempt::Waits => {}
            JoinedAttempt::Completed(result) => self.answer_joined(id, Some(&result)),
            JoinedAttempt::Failed => self.answer_joined(id, None),
        }
    }

    fn set_health(&mut self, healthy: bool) {
        self.downstream.status_mut().set_health(healthy);
    }

    fn set_load_report(&mut self, value: f64) {
        self.downstream.status_mut().set_load_report(value);
    }

    fn set_idle_limit(&mut self, limit: Duration) {
        let connections = self.downstream.connections_mut();
        let idle_deadlines = connections.set_idle_limit(limit);
        self.deadlines.replace_idle(idle_deadlines);
    }

    fn set_timer(&mut self, after: Duration) {
        self.deadlines.tick_timer().set(self.now, after);
    }
}
