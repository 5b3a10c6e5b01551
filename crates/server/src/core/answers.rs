//! The final answers of requests, each given once, and the removal of requests that have ended.
//!
//! An answer is written to the outbox of its connection and counted, and the attempts that joined
//! the same run are answered too. With durable results, an answer waits until its result is on
//! disk. Which answer a request gets is decided elsewhere.

use super::deadlines::Deadline;
use super::downstream_answers::Answer;
use super::executor::ActionExecutor;
use super::in_flight::InFlightRequest;
use crate::downstream::idempotency_table::IdempotencyKey;
use crate::support::attempt_name;
use madderbay::interface::Outcome;
use madderbay::time::Duration;

impl ActionExecutor {
    /// Gives a request its final answer, unless it is settled already.
    fn answer(&mut self, id: u64, answer: Answer) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let has_answer = request.settle();
        if has_answer {
            return;
        }
        let recipient = request.recipient;
        let counters = &mut self.counters;
        self.downstream
            .answer(self.now, recipient, answer, counters);
        self.downstream.request_settled(recipient);
    }

    /// Answers a request with the result of a run, or with an error if there is none.
    pub(super) fn answer_run(&mut self, id: u64, result: Option<&str>) {
        let is_partial = self
            .requests
            .get(id)
            .is_some_and(InFlightRequest::is_partial);
        self.answer(id, Answer::of_run(result, is_partial));
    }

    /// Answers a request as rejected: it never ran.
    pub(super) fn answer_rejected(&mut self, id: u64, retry_after: Duration, is_final: bool) {
        let answer = Answer::Rejected {
            retry_after,
            is_final,
        };
        self.answer(id, answer);
    }

    /// Answers a request that joined a run with the result of that run, and removes the request.
    pub(super) fn answer_joined(&mut self, id: u64, result: Option<&str>) {
        if self.requests.get(id).is_none() {
            return;
        }
        self.answer_run(id, result);
        self.counters.request_joined();
        self.remove(id);
        let outcome = match result {
            Some(_) => Outcome::Completed,
            None => Outcome::Failed,
        };
        self.deferred_events.ended(id, outcome);
    }

    /// Handles the end of the run of a key: answers the attempts that joined it.
    pub(super) fn answer_all_joined(&mut self, key: Option<IdempotencyKey>, result: Option<&str>) {
        let joined = key.map_or(vec![], |key| self.idempotent_runs.run_ended(key, result));
        for id in joined {
            self.answer_joined(id, result);
        }
    }

    /// Handles the end of the run of a request with an idempotency key. If results are durable, the
    /// answer waits until this result is, and the request stays in flight. Returns `false` if the
    /// answer does not wait or nothing ran.
    pub(super) fn answer_once_durable(
        &mut self,
        id: u64,
        outcome: Outcome,
        result: Option<&str>,
    ) -> bool {
        let Some(request) = self.requests.get_mut(id) else {
            return false;
        };
        let Some(key) = request.key else {
            return false;
        };
        let runs = &mut self.idempotent_runs;
        if outcome == Outcome::AlreadyEnded {
            runs.record_not_run(self.now, key);
            return false;
        }
        if !runs.record_result(self.now, id, key, result) {
            return false;
        }
        request.commands.run_ended();
        self.deadlines
            .insert(request.answer_deadline, Deadline::DurableAnswer(id));
        self.counters.run_ended(request.handler, outcome);
        self.cancel_call(id);
        self.observe(id, |observer, now| observer.request_finished(now, id));
        true
    }

    /// Answers a request and those that joined it, when its result is durable or can't be made
    /// durable.
    pub(super) fn durable_answer_ready(&mut self, id: u64, result: Option<&str>) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let key = request.key;
        self.deadlines
            .remove(request.answer_deadline, Deadline::DurableAnswer(id));
        self.answer_run(id, result);
        self.answer_all_joined(key, result);
        self.remove(id);
    }

    /// Handles a run that the decision module started but that was not sent: rejects its request
    /// and those that joined it. A further attempt with the key is a new request.
    pub(super) fn reject_run_not_sent(&mut self, id: u64, retry_after: Duration) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let key = request.key;
        self.counters.run_not_sent();
        let joined = key.map_or(vec![], |key| self.idempotent_runs.run_ended(key, None));
        for id in std::iter::once(id).chain(joined) {
            self.answer_rejected(id, retry_after, false);
            self.remove(id);
            self.deferred_events.ended(id, Outcome::AlreadyEnded);
        }
        if let Some(key) = key {
            self.idempotent_runs.record_not_run(self.now, key);
            self.idempotent_runs.remove_key_of_newest_attempt(id);
        }
    }

    /// Gives up the run of a request that is answered or whose client is gone. The run counts as
    /// cancelled. Requests that joined it fail, since it may have had its effect.
    pub(super) fn run_abandoned(&mut self, id: u64) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let (key, handler) = (request.key, request.handler);
        log::warn!(
            "engine: run abandoned, attempt={}",
            attempt_name::as_text(&request.name)
        );
        self.counters.run_abandoned();
        if self.answer_once_durable(id, Outcome::Cancelled, None) {
            return;
        }
        self.counters.run_ended(handler, Outcome::Cancelled);
        self.answer_all_joined(key, None);
        self.remove(id);
    }

    /// Marks a request as answered or its client as gone: gives up its call, and removes the
    /// request unless its run has been started.
    pub(super) fn request_settled(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.settle();
        self.downstream.request_settled(request.recipient);
        if request.is_started() {
            self.cancel_call(id);
            self.observe(id, |observer, now| observer.request_answered(now, id));
        } else {
            self.remove(id);
        }
    }

    /// Removes a request that has ended, and gives up its call in flight.
    pub(super) fn remove(&mut self, id: u64) {
        self.cancel_call(id);
        self.observe(id, |observer, now| observer.request_finished(now, id));
        if let Some(request) = self.requests.remove(id) {
            self.calls.request_finished(&request.name);
        }
    }
}
