//! Events from load balancers: connections, requests, withdrawn attempts and health checks.
//!
//! Validated requests are passed to the decision module, except those that are answered here:
//! requests that an earlier incarnation has answered, and requests that can't be admitted. Lines
//! are parsed elsewhere.

use super::deadlines::Deadline;
use super::downstream_answers::Recipient;
use super::event_loop::EventLoop;
use super::in_flight::InFlightRequest;
use crate::downstream::connections::OpenedConnection;
use crate::downstream::open_requests::OpenRequestError;
use crate::downstream::request_validation::{InvalidRequest, ValidatedRequest};
use crate::support::attempt_name::AttemptName;
use crate::support::io::Outbox;
use madderbay::interface::Actions;
use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::RequestStage;

/// Connections.
impl EventLoop {
    /// Handles an accepted connection. Returns its number.
    pub fn connection_opened(&mut self, now: Timestamp, outbox: Outbox) -> u64 {
        let executor = &mut self.executor;
        executor.counters.connection_accepted();
        let connections = executor.downstream.connections_mut();
        let opened = connections.open(now, outbox);
        if let Some(limit) = connections.idle_limit() {
            let deadline = Deadline::ConnectionIdle(opened.id);
            executor.deadlines.insert(now + limit, deadline);
        }
        self.schedule_first_request_check(opened)
    }

    /// Handles an accepted connection that exceeds the limit on connections. Returns its number.
    pub fn connection_opened_over_limit(&mut self, now: Timestamp, outbox: Outbox) -> u64 {
        let executor = &mut self.executor;
        executor.counters.connection_over_limit();
        let opened = executor
            .downstream
            .connections_mut()
            .open_over_limit(now, outbox);
        self.schedule_first_request_check(opened)
    }

    /// Sets the deadline of a connection's first request. Returns the number of the connection.
    fn schedule_first_request_check(&mut self, opened: OpenedConnection) -> u64 {
        let deadline = Deadline::FirstRequest(opened.id);
        self.executor
            .deadlines
            .insert(opened.first_request_deadline, deadline);
        opened.id
    }

    /// Returns the number of open connections that exceed the limit on connections.
    pub fn connections_over_limit(&self) -> usize {
        self.executor.downstream.connections().over_limit_count()
    }

    /// Reports whether a connection exceeds the limit on connections.
    fn is_over_limit(&self, connection: u64) -> bool {
        let connections = self.executor.downstream.connections();
        connections.is_over_limit(connection)
    }

    /// Returns the number of open connections.
    pub fn connection_count(&self) -> usize {
        self.executor.downstream.connections().len()
    }

    /// Evicts a connection without open requests in favour of a new one. Returns `false` if there
    /// is none.
    pub fn evict_connection(&mut self, now: Timestamp) -> bool {
        let evicted = self.executor.downstream.connections_mut().evict(now);
        if evicted {
            self.executor.counters.connection_evicted();
        }
        evicted
    }

    /// Handles a violation of the protocol after which requests can't be told from invalid input:
    /// fails all open requests of the connection and ends it.
    pub fn reject_connection(&mut self, now: Timestamp, connection: u64) {
        let connections = self.executor.downstream.connections();
        let Some(open_requests) = connections.open_requests(connection) else {
            return;
        };
        self.executor.now = now;
        for id in open_requests {
            self.fail_request(now, id);
        }
        self.input_ended(connection);
    }

    /// Handles a peer that sends no more, or nothing that can be read. Its open requests are still
    /// answered.
    pub fn input_ended(&mut self, connection: u64) {
        self.executor
            .downstream
            .connections_mut()
            .input_ended(connection);
    }

    /// Handles the end of a connection; the clients of its open requests are gone with it.
    pub fn connection_closed(&mut self, now: Timestamp, connection: u64) {
        let connections = self.executor.downstream.connections_mut();
        let Some(open_requests) = connections.remove(connection) else {
            return;
        };
        self.executor
            .counters
            .requests_disconnected(open_requests.len());
        for id in open_requests {
            self.client_gone(now, id);
        }
    }

    /// Returns the outbox of a connection while that is open.
    pub fn outbox(&self, connection: u64) -> Option<&Outbox> {
        self.executor.downstream.connections().outbox(connection)
    }

    /// Checks that a request with this JSON-RPC id may be opened on a connection.
    ///
    /// # Errors
    /// The errors of
    /// [`Connections::check_open`](crate::downstream::connections::Connections::check_open).
    pub fn check_open(&self, connection: u64, rpc_id: u64) -> Result<(), OpenRequestError> {
        let connections = self.executor.downstream.connections();
        connections.check_open(connection, rpc_id)
    }

    /// Answers a health check.
    pub fn health_checked(&mut self, now: Timestamp, connection: u64, rpc_id: u64) {
        let recipient = Recipient { connection, rpc_id };
        self.executor.downstream.answer_health_check(now, recipient);
    }
}

/// Requests.
impl EventLoop {
    /// Handles a request that was read and validated: answers it from the results of an earlier
    /// incarnation, rejects it, or passes it to the decision module.
    ///
    /// # Errors
    /// If the name of the attempt is in use, or its idempotency key was used with another handler
    /// or body.
    pub fn request_arrived(
        &mut self,
        now: Timestamp,
        connection: u64,
        rpc_id: u64,
        request: ValidatedRequest,
    ) -> Result<(), InvalidRequest> {
        if self.executor.requests.id(&request.name).is_some() {
            return Err(InvalidRequest::AttemptNameInUse);
        }
        let recipient = Recipient { connection, rpc_id };
        if self.answer_from_store(now, recipient, &request)? {
            return Ok(());
        }
        let arrival = &request.arrival;
        let connections = self.executor.downstream.connections_mut();
        if !connections.request_opened(now, connection, rpc_id, arrival.id) {
            return Ok(());
        }
        self.enter_request(now, recipient, &request);
        if !self.has_decider() {
            // Nothing can run before the engine is up, and there is no decision module yet that
            // could be notified.
            self.executor.reject(arrival.id, Duration::ZERO, false);
        } else if self.is_over_limit(connection) && arrival.retry_of == 0 {
            // A retry with an idempotency key is admitted, since it shares the outcome of the first
            // attempt.
            let retry_after = self.unavailable_retry_after();
            self.executor.reject(arrival.id, retry_after, false);
            return Ok(());
        }
        self.decide(now, |decider, executor| {
            decider.on_arrival(now, arrival, executor);
        });
        Ok(())
    }

    /// Counts a request and adds it to the table of requests in flight.
    fn enter_request(&mut self, now: Timestamp, recipient: Recipient, request: &ValidatedRequest) {
        let arrival = &request.arrival;
        let executor = &mut self.executor;
        executor.counters.request_read(arrival.handler);
        executor.counters.read_delayed(arrival.read_delay);
        let in_flight = InFlightRequest::new(now, recipient, request);
        executor.requests.insert(arrival.id, in_flight);
        executor.now = now;
        executor.set_stage(arrival.id, RequestStage::Queued);
        executor
            .limits
            .count_request(arrival.handler, arrival.tenant);
    }

    /// Handles the withdrawal of an attempt by its client, which names it by its JSON-RPC id or by
    /// the name of the attempt.
    pub fn attempt_withdrawn(
        &mut self,
        now: Timestamp,
        connection: u64,
        rpc_id: Option<u64>,
        name: Option<AttemptName>,
    ) {
        let by_rpc_id = rpc_id.and_then(|rpc_id| {
            let connections = self.executor.downstream.connections();
            connections.request_id(connection, rpc_id)
        });
        let by_name = || self.request_of_connection(&name?, connection);
        if let Some(id) = by_rpc_id.or_else(by_name) {
            self.client_gone(now, id);
        }
    }

    /// Returns the request whose attempt has this name if it arrived on this connection: a client
    /// can't withdraw the request of another.
    fn request_of_connection(&self, name: &AttemptName, connection: u64) -> Option<u64> {
        let requests = &self.executor.requests;
        let id = requests.id(name)?;
        let request = requests.get(id)?;
        (request.recipient.connection == connection).then_some(id)
    }

    /// Handles a client that no longer waits for the answer of its request.
    fn client_gone(&mut self, now: Timestamp, id: u64) {
        let Some(request) = self.executor.requests.unanswered(id) else {
            return;
        };
        log::debug!(
            "request: client gone, request={id}, started={}",
            request.is_started()
        );
        self.executor.counters.client_gone();
        self.decide(now, |decider, executor| {
            decider.on_client_gone(now, id, executor);
        });
        self.executor.request_settled(id);
    }

    /// Answers a request with an error. The decision module is told that the client is gone, which
    /// makes it give up a request that was answered without it.
    pub(super) fn fail_request(&mut self, now: Timestamp, id: u64) {
        self.executor.now = now;
        self.executor.fail(id);
        self.decide(now, |decider, executor| {
            decider.on_client_gone(now, id, executor);
        });
    }
}
