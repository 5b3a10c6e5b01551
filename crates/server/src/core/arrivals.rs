//! What balancers say, told to the decisions: connections, reqs, reqs withdrawn, questions of health.

use super::deadlines::Deadline;
use super::event_loop::{EventLoop, KEEP_AWAY};
use super::in_flight::InFlightRequest;
use crate::downstream::connections::OpenRequestError;
use crate::downstream::idempotency_table::FingerprintMismatch;
use crate::downstream::request_validation::{InvalidRequest, ValidatedRequest};
use crate::downstream::response;
use crate::support::io::Outbox;
use crate::support::name::Name;
use madderbay::interface::Actions;
use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::RequestStage;

/// Answers leave this long before their callers stop waiting; without a waiting time, after so long.
const MARGIN: Duration = Duration::from_millis(30);
const WAITS: Duration = Duration::from_millis(2_000);

impl EventLoop {
    pub fn connection_opened(&mut self, now: Timestamp, out: Outbox) -> u64 {
        let in_flight = &mut self.in_flight;
        in_flight.counters.connections += 1;
        let opened = in_flight.connections.open(now, out);
        let no = opened.id;
        in_flight
            .deadlines
            .insert(opened.first_request_deadline, Deadline::FirstRequest(no));
        if let Some(limit) = in_flight.connections.idle_limit() {
            in_flight
                .deadlines
                .insert(now + limit, Deadline::ConnectionIdle(no));
        }
        no
    }

    /// A connection was accepted that there is no room for.
    pub fn connection_opened_over_limit(&mut self, now: Timestamp, out: Outbox) -> u64 {
        let in_flight = &mut self.in_flight;
        in_flight.counters.connections_refused += 1;
        let opened = in_flight.connections.open_over_limit(now, out);
        in_flight.deadlines.insert(
            opened.first_request_deadline,
            Deadline::FirstRequest(opened.id),
        );
        opened.id
    }

    /// How many connections are open that there is no room for.
    pub fn connections_over_limit(&self) -> usize {
        self.in_flight.connections.over_limit_count()
    }

    pub fn connection_count(&self) -> usize {
        self.in_flight.connections.len()
    }

    /// Ends a connection that carries nothing, to make room for another; false where all carry something.
    pub fn evict_connection(&mut self, now: Timestamp) -> bool {
        let made = self.in_flight.connections.evict(now);
        self.in_flight.counters.connections_cut += u64::from(made);
        made
    }

    /// The peer breaks the protocol, and nothing it asked can be told from what it did not: all that it has
    /// open is errored, and the connection ends.
    pub fn reject_connection(&mut self, now: Timestamp, no: u64) {
        let Some(open) = self.in_flight.connections.open_requests(no) else {
            return;
        };
        self.in_flight.now = now;
        for id in open {
            self.in_flight.fail(id);
            self.decide(now, |d, in_flight| d.on_client_gone(now, id, in_flight));
        }
        self.input_ended(no);
    }

    /// The peer sends no more, or nothing that can be read: what is open is still answered.
    pub fn input_ended(&mut self, no: u64) {
        self.in_flight.connections.input_ended(no);
    }

    /// The connection is gone, and with it everyone who waits on it.
    pub fn connection_closed(&mut self, now: Timestamp, no: u64) {
        let Some(open) = self.in_flight.connections.remove(no) else {
            return;
        };
        self.in_flight.counters.cut += open.len() as u64;
        open.into_iter().for_each(|id| self.gone(now, id));
    }

    pub fn outbox(&self, no: u64) -> Option<&Outbox> {
        self.in_flight.connections.outbox(no)
    }

    /// Whether another req by this id may be opened on a connection; else why not.
    pub fn check_open(&self, no: u64, rpc: u64) -> Result<(), OpenRequestError> {
        self.in_flight.connections.check_open(no, rpc)
    }

    /// A req has been read.
    pub fn request_arrived(
        &mut self,
        now: Timestamp,
        no: u64,
        rpc: u64,
        request: ValidatedRequest,
    ) -> Result<(), InvalidRequest> {
        let ValidatedRequest {
            arrival,
            name,
            key,
            fingerprint: print,
            body,
        } = request;
        if self.in_flight.names.contains_key(&name) {
            return Err(InvalidRequest::AttemptNameInUse);
        }
        if let Some(key) = key
            // Its one error is that the key came with another body.
            && self
                .former_life(now, (no, rpc), arrival.handler, key, print)
                .map_err(|_| FingerprintMismatch)?
        {
            return Ok(());
        }
        if !self
            .in_flight
            .connections
            .request_opened(now, no, rpc, arrival.id)
        {
            return Ok(());
        }
        self.in_flight.counters.read[arrival.handler] += 1;
        self.in_flight.counters.read_late(arrival.read_delay);
        let req = InFlightRequest {
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
            tries: vec![],
            hedge: None,
            called: None,
            unsent: None,
            latest: (now
                + if arrival.timeout > Duration::ZERO {
                    arrival.timeout
                } else {
                    WAITS
                })
            .saturating_sub(MARGIN),
            unproven: vec![],
            proof: 0,
            fed: None,
        };
        self.in_flight.names.insert(name, arrival.id);
        self.in_flight.requests.insert(arrival.id, req);
        self.in_flight.now = now;
        self.in_flight.followed(arrival.id, |f, now, handler| {
            f.set_stage(now, arrival.id, handler, RequestStage::Queued)
        });
        self.in_flight
            .limits
            .count_request(arrival.handler, arrival.tenant);
        if self.decider.is_none() {
            // Nothing can run before the engine is up.
            self.in_flight.reject(arrival.id, Duration::ZERO, false);
        } else if self.in_flight.connections.is_over_limit(no) && arrival.retry_of == 0 {
            // There is no room for its connection. A further try of a keyed req shares what became of the first.
            self.in_flight.reject(
                arrival.id,
                KEEP_AWAY.min(self.settings.callers.max_retry_after),
                false,
            );
            return Ok(());
        }
        self.decide(now, |d, in_flight| d.on_arrival(now, &arrival, in_flight));
        Ok(())
    }

    /// The balancer has stopped waiting for a req.
    pub fn attempt_withdrawn(
        &mut self,
        now: Timestamp,
        no: u64,
        rpc: Option<u64>,
        name: Option<Name>,
    ) {
        let by_rpc = rpc.and_then(|rpc| self.in_flight.connections.request_id(no, rpc));
        // One caller can't withdraw another's req.
        let own = |id: &u64| {
            self.in_flight
                .requests
                .get(id)
                .is_some_and(|r| r.conn == no)
        };
        if let Some(id) = by_rpc.or_else(|| self.in_flight.names.get(&name?).copied().filter(own)) {
            self.gone(now, id);
        }
    }

    pub(super) fn gone(&mut self, now: Timestamp, id: u64) {
        let Some(req) = self.in_flight.requests.get(&id).filter(|r| !r.answered) else {
            return;
        };
        log::debug!("req {id} is gone, started {}", req.started);
        self.in_flight.counters.gone += 1;
        self.decide(now, |d, in_flight| d.on_client_gone(now, id, in_flight));
        self.in_flight.nobody_waits(id);
    }

    pub fn health_checked(&mut self, now: Timestamp, no: u64, rpc: u64) {
        let in_flight = &mut self.in_flight;
        let status = &in_flight.status;
        let (good, report) = (
            status.is_healthy() && !status.is_draining(),
            status.load_report(),
        );
        in_flight
            .connections
            .answer(now, no, |out| response::health(out, rpc, good, report));
    }
}
