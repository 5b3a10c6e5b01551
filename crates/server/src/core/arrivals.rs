//! What balancers say, told to the decisions: connections, reqs, reqs withdrawn, questions of health.

use super::in_flight::{Due, InHand};
use super::event_loop::{KEEP_AWAY, Serve};
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

impl Serve {
    pub fn opened(&mut self, now: Timestamp, out: Outbox) -> u64 {
        let hands = &mut self.hands;
        hands.counters.connections += 1;
        let opened = hands.conns.open(now, out);
        let no = opened.id;
        hands
            .due
            .insert((opened.first_request_deadline, Due::First(no)));
        if let Some(limit) = hands.conns.idle_limit() {
            hands.due.insert((now + limit, Due::Idle(no)));
        }
        no
    }

    /// A connection was accepted that there is no room for.
    pub fn opened_beyond(&mut self, now: Timestamp, out: Outbox) -> u64 {
        let hands = &mut self.hands;
        hands.counters.connections_refused += 1;
        let opened = hands.conns.open_over_limit(now, out);
        hands
            .due
            .insert((opened.first_request_deadline, Due::First(opened.id)));
        opened.id
    }

    /// How many connections are open that there is no room for.
    pub fn beyond(&self) -> usize {
        self.hands.conns.over_limit_count()
    }

    pub fn connections(&self) -> usize {
        self.hands.conns.len()
    }

    /// Ends a connection that carries nothing, to make room for another; false where all carry something.
    pub fn make_room(&mut self, now: Timestamp) -> bool {
        let made = self.hands.conns.evict(now);
        self.hands.counters.connections_cut += u64::from(made);
        made
    }

    /// The peer breaks the protocol, and nothing it asked can be told from what it did not: all that it has
    /// open is errored, and the connection ends.
    pub fn turn_off(&mut self, now: Timestamp, no: u64) {
        let Some(open) = self.hands.conns.open_requests(no) else {
            return;
        };
        self.hands.now = now;
        for id in open {
            self.hands.fail(id);
            self.decide(now, |d, hands| d.on_client_gone(now, id, hands));
        }
        self.no_more(no);
    }

    /// The peer sends no more, or nothing that can be read: what is open is still answered.
    pub fn no_more(&mut self, no: u64) {
        self.hands.conns.input_ended(no);
    }

    /// The connection is gone, and with it everyone who waits on it.
    pub fn closed(&mut self, now: Timestamp, no: u64) {
        let Some(open) = self.hands.conns.remove(no) else {
            return;
        };
        self.hands.counters.cut += open.len() as u64;
        open.into_iter().for_each(|id| self.gone(now, id));
    }

    pub fn out(&self, no: u64) -> Option<&Outbox> {
        self.hands.conns.outbox(no)
    }

    /// Whether another req by this id may be opened on a connection; else why not.
    pub fn may_open(&self, no: u64, rpc: u64) -> Result<(), OpenRequestError> {
        self.hands.conns.check_open(no, rpc)
    }

    /// A req has been read.
    pub fn arrived(
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
        if self.hands.names.contains_key(&name) {
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
        if !self.hands.conns.request_opened(now, no, rpc, arrival.id) {
            return Ok(());
        }
        self.hands.counters.read[arrival.handler] += 1;
        self.hands.counters.read_late(arrival.read_delay);
        let req = InHand {
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
        self.hands.names.insert(name, arrival.id);
        self.hands.reqs.insert(arrival.id, req);
        self.hands.now = now;
        self.hands.followed(arrival.id, |f, now, handler| {
            f.set_stage(now, arrival.id, handler, RequestStage::Queued)
        });
        if let Some(lent) = &self.hands.lent {
            lent.counted(arrival.handler, arrival.tenant);
        }
        if self.decider.is_none() {
            // Nothing can run before the engine is up.
            self.hands.reject(arrival.id, Duration::ZERO, false);
        } else if self.hands.conns.is_over_limit(no) && arrival.retry_of == 0 {
            // There is no room for its connection. A further try of a keyed req shares what became of the first.
            self.hands.reject(
                arrival.id,
                KEEP_AWAY.min(self.settings.callers.max_retry_after),
                false,
            );
            return Ok(());
        }
        self.decide(now, |d, hands| d.on_arrival(now, &arrival, hands));
        Ok(())
    }

    /// The balancer has stopped waiting for a req.
    pub fn forget(&mut self, now: Timestamp, no: u64, rpc: Option<u64>, name: Option<Name>) {
        let by_rpc = rpc.and_then(|rpc| self.hands.conns.request_id(no, rpc));
        // One caller can't withdraw another's req.
        let own = |id: &u64| self.hands.reqs.get(id).is_some_and(|r| r.conn == no);
        if let Some(id) = by_rpc.or_else(|| self.hands.names.get(&name?).copied().filter(own)) {
            self.gone(now, id);
        }
    }

    pub(super) fn gone(&mut self, now: Timestamp, id: u64) {
        let Some(req) = self.hands.reqs.get(&id).filter(|r| !r.answered) else {
            return;
        };
        log::debug!("req {id} is gone, started {}", req.started);
        self.hands.counters.gone += 1;
        self.decide(now, |d, hands| d.on_client_gone(now, id, hands));
        self.hands.nobody_waits(id);
    }

    pub fn health(&mut self, now: Timestamp, no: u64, rpc: u64) {
        let hands = &mut self.hands;
        let (good, report) = (hands.good && !hands.leaving, hands.load_report);
        hands
            .conns
            .answer(now, no, |out| response::health(out, rpc, good, report));
    }
}
