//! Simulated clients: they send requests at random times and check that each request is answered.

use super::Simulation;
use crate::clock;
use crate::event_queue::Event;
use crate::fault::{Defect, Fault, ScheduledFault};
use crate::ids::{ServerId, ServerIncarnation};
use crate::node::{Answer, AnswerMatch, PendingRequest};
use crate::workload::{CLIENT_TIMEOUT, ClientRequest, Handler};
use madderbay::time::{Duration, Timestamp};

/// How long after the client timeout an answer may arrive before it counts as missing.
const ANSWER_SLACK: Duration = Duration::from_millis(50);
/// How late an answer deadline may be handled and still count. A later one was delayed together with its server, so the
/// missing answer proves nothing.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(5);
/// The lowest request rate of the clients of a server, whatever its load factor.
const MIN_REQUESTS_PER_SECOND: f64 = 0.05;
/// The JSON-RPC error code of a rejected request.
const REJECTED: i64 = -32002;
/// Under [`Defect::LostAnswers`], answers whose id is a multiple of this are lost.
const LOST_ANSWER_INTERVAL: u64 = 200;

impl Simulation {
    /// Schedules the next request to a server.
    pub(super) fn schedule_request(&mut self, server: ServerId) {
        let load = self.node(server).load();
        let rate = (self.history.requests_per_second * load).max(MIN_REQUESTS_PER_SECOND);
        let interval_s = -(1.0 - self.random.rand_float()).ln() / rate;
        let due = self.now + Duration::from_secs_f64(interval_s);
        let target = self.node(server).incarnation();
        self.queue.push(due, Event::RequestDue(target));
    }

    /// Sends a random request unless the server is stopped, and schedules the next one. Does nothing if the incarnation
    /// no longer runs.
    pub(super) fn send_request(&mut self, target: ServerIncarnation) {
        if !self.node(target.server).is_running(target) {
            return;
        }
        self.schedule_request(target.server);
        if !self.node(target.server).is_stopped() {
            self.send_drawn_request(target);
        }
    }

    fn send_drawn_request(&mut self, target: ServerIncarnation) {
        let now = self.now;
        let handler = Handler::draw(&mut self.random);
        let reference = format!("{:016x}", self.random.rand_u64());
        let process = self.nodes[target.server.0].process_mut();
        let id = process.requests_mut().next_id();
        if process.requests().is_full() {
            return;
        }
        let request = ClientRequest {
            id,
            handler,
            reference: &reference,
            sent_unix_ms: clock::unix_ms(now),
        };
        let line = request.to_line();
        let pending = PendingRequest {
            handler,
            reference,
            sent_at: now,
            is_started: false,
        };
        process.requests_mut().insert(id, pending);
        process.receive_request(now, &line);
        self.row.requests[handler.index()] += 1;
        self.queue.push(
            now + CLIENT_TIMEOUT + ANSWER_SLACK,
            Event::AnswerDeadline {
                target,
                request_id: id,
            },
        );
        self.run_turn(target.server);
    }

    /// Handles the time at which a client stops waiting for an answer. A missing answer is a violation unless the
    /// server was stopped in the meantime or the deadline is handled late.
    pub(super) fn handle_answer_deadline(&mut self, target: ServerIncarnation, request_id: u64) {
        let server = target.server;
        if !self.node(server).is_running(target) {
            return;
        }
        let process = self.node_mut(server).process_mut();
        let Some(request) = process.requests_mut().expire(request_id) else {
            return;
        };
        // A server that was stopped in the meantime answers late, which is not a violation.
        let is_noticed_in_time =
            self.now - request.sent_at <= CLIENT_TIMEOUT + ANSWER_SLACK + DEADLINE_TOLERANCE;
        let was_server_stopped =
            self.node(server).is_stopped() || self.was_stopped_since(server, request.sent_at);
        if is_noticed_in_time && !was_server_stopped {
            self.checker.record_missing_answer(
                self.now,
                server,
                request.handler,
                &request.reference,
            );
        }
    }

    /// Reports whether a server was stopped at any time since `since`.
    fn was_stopped_since(&self, server: ServerId, since: Timestamp) -> bool {
        let affects_server = |scheduled: &&ScheduledFault| matches!(scheduled.fault, Fault::Stop(other) | Fault::Continue(other) if other == server);
        let mut is_stopped = false;
        for scheduled in self.history.faults.iter().filter(affects_server) {
            let injected_at = clock::instant_at_ms(scheduled.at_ms);
            if injected_at > self.now {
                continue;
            }
            is_stopped = matches!(scheduled.fault, Fault::Stop(_));
            if injected_at >= since {
                return true;
            }
        }
        is_stopped
    }

    /// Processes the answers that a server has written to its clients.
    pub(super) fn receive_answers(&mut self, server: ServerId) {
        let answers = self.node_mut(server).process_mut().take_answers();
        for line in answers.lines() {
            let Some(answer) = Answer::parse(line) else {
                continue;
            };
            let is_lost = self.history.defect == Some(Defect::LostAnswers)
                && answer.id.is_multiple_of(LOST_ANSWER_INTERVAL);
            if !is_lost {
                self.receive_answer(server, &answer, line);
            }
        }
    }

    fn receive_answer(&mut self, server: ServerId, answer: &Answer, line: &str) {
        let process = self.node_mut(server).process_mut();
        match process.requests_mut().match_answer(answer.id) {
            AnswerMatch::Pending(request) => self.count_answer(server, &request, answer.error_code),
            AnswerMatch::Unexpected => {
                self.checker
                    .record_unexpected_answer(self.now, server, line);
            }
            AnswerMatch::Late => {}
        }
    }

    fn count_answer(
        &mut self,
        server: ServerId,
        request: &PendingRequest,
        error_code: Option<i64>,
    ) {
        let handler = request.handler;
        match error_code {
            None => {
                let objective = self.settings.handlers[handler.index()].latency_objective;
                if self.now - request.sent_at <= objective {
                    self.row.answered_in_time[handler.index()] += 1;
                }
            }
            Some(REJECTED) => {
                self.row.rejected += 1;
                if request.is_started && handler.has_idempotency_key() {
                    self.checker
                        .record_rejection_after_start(self.now, server, &request.reference);
                }
            }
            Some(_) => self.row.failed += 1,
        }
    }
}
