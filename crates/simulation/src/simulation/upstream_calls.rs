//! Upstream calls from the servers to the backends, and the answers to them.

use super::Simulation;
use crate::event_queue::Event;
use crate::ids::{BackendId, ServerId, ServerIncarnation};
use crate::network::{self, UPSTREAM_DELAY};
use crate::upstream::{AcceptedCall, CallDisposition, UpstreamCall};

impl Simulation {
    /// Sends the calls that a server has written to an upstream connection. Closes the connection if the server asked
    /// for that.
    pub(super) fn transmit_calls(&mut self, server: ServerId, connection: u64) {
        let process = self.node_mut(server).process_mut();
        let Some(output) = process.take_upstream_output(connection) else {
            return;
        };
        // Without backend selection, all calls go to the first backend.
        let backend = output.address.map_or(BackendId(0), network::backend_at);
        for request in output.text.lines().filter_map(parse_fetch) {
            self.send_call(server, connection, backend, request);
        }
        if output.is_closing {
            self.close_connection(server, connection);
        }
    }

    fn send_call(&mut self, server: ServerId, connection: u64, backend: BackendId, request: &str) {
        let node = self.node(server);
        let call = UpstreamCall {
            caller: node.incarnation(),
            connection,
            request: request.into(),
            has_idempotency_key: node.process().requests().has_idempotency_key(request),
        };
        self.row.upstream_calls += 1;
        let due = self.now + UPSTREAM_DELAY;
        self.queue.push(due, Event::CallArrival { backend, call });
    }

    fn close_connection(&mut self, server: ServerId, connection: u64) {
        let now = self.now;
        let caller = self.node(server).incarnation();
        self.backends.abandon_connection(caller, connection);
        let process = self.node_mut(server).process_mut();
        process.close_connection(now, connection);
    }

    /// Handles the arrival of a call at a backend. The call is lost if its connection was closed on the way.
    pub(super) fn handle_call_arrival(&mut self, backend: BackendId, call: UpstreamCall) {
        let target = call.caller;
        let connection = call.connection;
        let node = self.node(target.server);
        if !node.is_running(target) || !node.process().has_connection(connection) {
            return;
        }
        let due = self.now + UPSTREAM_DELAY;
        if self.backends.is_down(backend) {
            let lost = Event::ConnectionLost { target, connection };
            return self.queue.push(due, lost);
        }
        let failure = format!("{} FAULT\r\n", call.request);
        let AcceptedCall {
            call_id,
            disposition,
        } = self.backends.accept(backend, call, &mut self.random);
        match disposition {
            CallDisposition::Failed => return self.send_reply(target, connection, failure),
            CallDisposition::Running(duration) => {
                let completion = Event::CallCompletion { backend, call_id };
                self.queue.push(self.now + duration, completion);
            }
            CallDisposition::Waiting => {}
        }
        self.check_calls_in_flight();
    }

    fn check_calls_in_flight(&mut self) {
        let calls = self.backends.calls_in_flight();
        self.row.peak_calls_in_flight = self.row.peak_calls_in_flight.max(calls);
        if self.history.features.quota {
            self.checker
                .check_quota(self.now, calls, self.history.quota);
        }
    }

    /// Completes a call at a backend, starts the next queued call, and sends the answer unless the call was abandoned.
    pub(super) fn handle_call_completion(&mut self, backend: BackendId, call_id: u64) {
        let completed = self.backends.complete(backend, call_id);
        if let Some(next) = self.backends.start_next(backend, &mut self.random) {
            let call_id = next.call_id;
            let completion = Event::CallCompletion { backend, call_id };
            self.queue.push(self.now + next.duration, completion);
        }
        if let Some(call) = completed {
            let answer = format!("{} DATA 2\r\nok\r\n", call.request);
            self.send_reply(call.caller, call.connection, answer);
        }
    }

    fn send_reply(&mut self, target: ServerIncarnation, connection: u64, text: String) {
        let reply = Event::Reply {
            target,
            connection,
            text,
        };
        self.queue.push(self.now + UPSTREAM_DELAY, reply);
    }

    /// Delivers the answer to a call to its server.
    pub(super) fn receive_reply(&mut self, target: ServerIncarnation, connection: u64, text: &str) {
        let now = self.now;
        let process = self.node_mut(target.server).process_mut();
        process.receive_reply(now, connection, text);
        self.run_turn(target.server);
    }

    /// Notifies a server that an upstream connection broke.
    pub(super) fn connection_lost(&mut self, target: ServerIncarnation, connection: u64) {
        let now = self.now;
        let process = self.node_mut(target.server).process_mut();
        process.connection_lost(now, connection);
        self.run_turn(target.server);
    }
}

/// Returns the request that a `FETCH` line names, or `None` for any other line.
fn parse_fetch(line: &str) -> Option<&str> {
    let mut words = line.split_whitespace();
    words.next().filter(|word| *word == "FETCH")?;
    words.next()
}
