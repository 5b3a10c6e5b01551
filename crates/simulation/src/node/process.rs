//! The process of a server, fed with bytes as the program's drivers feed it.

use super::client::ClientRequests;
use crate::upstream::{Engine, EngineEvent, EngineNotice};
use madderbay::time::Timestamp;
use madderbay_quota::FleetQuotas;
use madderbay_server::core::event_loop::EventLoop;
use madderbay_server::downstream::json_rpc::JsonRpcSession;
use madderbay_server::fleet::backends::Backends;
use madderbay_server::support::io::Outbox;
use madderbay_server::upstream::calls::{CallObserver as _, ReplyReader};
use madderbay_server::upstream::engine::NoticeReader;
use madderbay_upstream::{BackendEvent, FleetStack};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// The connection that carries the clients' requests.
pub(crate) struct ClientConnection {
    pub(super) session: JsonRpcSession,
    pub(super) output: Outbox,
    pub(super) requests: ClientRequests,
}

/// The engine and the server's connection to it.
pub(crate) struct EngineConnection {
    pub(super) engine: Engine,
    pub(super) output: Outbox,
    pub(super) notices: NoticeReader,
}

/// A connection to a backend.
struct UpstreamConnection {
    output: Outbox,
    /// None goes to the first backend.
    address: Option<SocketAddr>,
    replies: ReplyReader,
}

/// What a server wrote to one upstream connection since it was asked last.
pub(crate) struct UpstreamOutput {
    pub(crate) address: Option<SocketAddr>,
    pub(crate) text: String,
    pub(crate) is_closing: bool,
}

/// The attempts of one incarnation.
pub(crate) struct AttemptTotals {
    pub(crate) first_attempts: u64,
    pub(crate) retries: u64,
}

/// Owns the program's own core and fleet stack, and the ends of their connections.
pub(crate) struct Process {
    pub(super) event_loop: EventLoop,
    pub(super) client: ClientConnection,
    pub(super) engine: EngineConnection,
    pub(super) fleet: Option<Rc<RefCell<FleetStack>>>,
    pub(super) backends: Option<Rc<Backends>>,
    connections: BTreeMap<u64, UpstreamConnection>,
}

impl Process {
    /// A process whose parts were put together and connected.
    pub(super) fn new(
        event_loop: EventLoop,
        client: ClientConnection,
        engine: EngineConnection,
        fleet: Option<Rc<RefCell<FleetStack>>>,
        backends: Option<Rc<Backends>>,
    ) -> Process {
        Process {
            event_loop,
            client,
            engine,
            fleet,
            backends,
            connections: BTreeMap::new(),
        }
    }

    /// The process was killed: nobody waits for its answers, and its connections are gone.
    pub(super) fn drop_connections(&mut self) {
        self.connections.clear();
        self.client.requests.drop_pending();
    }

    pub(crate) fn engine_mut(&mut self) -> &mut Engine {
        &mut self.engine.engine
    }

    pub(crate) fn requests(&self) -> &ClientRequests {
        &self.client.requests
    }

    pub(crate) fn requests_mut(&mut self) -> &mut ClientRequests {
        &mut self.client.requests
    }

    /// The view of the fleet, quotas and judgements, if membership is on.
    pub(crate) fn fleet(&self) -> Option<&RefCell<FleetStack>> {
        self.fleet.as_deref()
    }

    /// The backends, if their selection is on.
    pub(crate) fn backends(&self) -> Option<&Backends> {
        self.backends.as_deref()
    }

    /// The attempts so far, if the selection of backends is on.
    pub(crate) fn attempt_totals(&self) -> Option<AttemptTotals> {
        let backends = self.backends.as_ref()?.manager().borrow();
        let totals = backends.totals();
        Some(AttemptTotals {
            first_attempts: totals.first_attempts,
            retries: totals.retries,
        })
    }

    // Input

    /// A line of a client arrives.
    pub(crate) fn receive_request(&mut self, now: Timestamp, line: &str) {
        let session = &mut self.client.session;
        session.feed(now, line.as_bytes(), &mut self.event_loop);
    }

    /// A line of the engine arrives.
    pub(crate) fn receive_notice(&mut self, now: Timestamp, line: &str) {
        let notices = &mut self.engine.notices;
        notices.feed(now, line.as_bytes(), &mut self.event_loop);
    }

    /// A datagram arrives from another server, at a time of the server's own clock.
    pub(super) fn receive_datagram(
        &mut self,
        reading: Timestamp,
        sender: SocketAddr,
        bytes: &[u8],
    ) {
        if let Some(fleet) = &self.fleet {
            fleet.borrow_mut().handle_datagram(reading, sender, bytes);
        }
    }

    /// The answer to a call arrives. One that cannot be read closes its connection.
    pub(crate) fn receive_reply(&mut self, now: Timestamp, connection_id: u64, text: &str) {
        let Some(connection) = self.connections.get_mut(&connection_id) else {
            return;
        };
        let event_loop = &mut self.event_loop;
        let is_readable = connection.replies.feed(text.as_bytes(), |reply| {
            event_loop.reply_read(now, connection_id, &reply);
        });
        if !is_readable {
            connection.output.close();
        }
    }

    /// An upstream connection broke.
    pub(crate) fn connection_lost(&mut self, now: Timestamp, connection_id: u64) {
        if self.connections.remove(&connection_id).is_some() {
            self.event_loop.call_connection_ended(now, connection_id);
        }
    }

    /// An upstream connection that the server asked to be closed is closed.
    pub(crate) fn close_connection(&mut self, now: Timestamp, connection_id: u64) {
        self.connections.remove(&connection_id);
        self.event_loop.call_connection_ended(now, connection_id);
    }

    // Time

    /// The engine works up to now, due timers fire, and the core settles what came.
    pub(super) fn run_turn(&mut self, now: Timestamp, reading: Timestamp) -> Vec<String> {
        let notices = self.advance_engine(now);
        self.fire_fleet_timers(reading);
        self.event_loop.run_turn(now);
        notices
    }

    fn fire_fleet_timers(&mut self, reading: Timestamp) {
        let Some(fleet) = &self.fleet else {
            return;
        };
        let mut fleet = fleet.borrow_mut();
        if fleet.next_timeout() <= reading {
            fleet.handle_timeout(reading);
        }
    }

    fn advance_engine(&mut self, now: Timestamp) -> Vec<String> {
        let engine = &mut self.engine.engine;
        let events = engine.advance(now).into_iter();
        let to_line = |event| {
            let serial = engine.next_serial();
            notice_of(serial, &event).to_line()
        };
        events.map(to_line).collect()
    }

    /// When the core is due next.
    pub(super) fn core_deadline(&self) -> Option<Timestamp> {
        self.event_loop.next_deadline()
    }

    /// When the engine is due next.
    pub(super) fn engine_deadline(&self) -> Option<Timestamp> {
        self.engine.engine.next_deadline()
    }

    /// When the fleet stack is due next, on the server's own clock.
    pub(super) fn fleet_timeout(&self) -> Option<Timestamp> {
        let fleet = self.fleet.as_ref()?;
        Some(fleet.borrow().next_timeout())
    }

    // Output

    /// Opens the upstream connections that the core wants.
    pub(crate) fn open_wanted_connections(&mut self) {
        for wanted in self.event_loop.calls_mut().take_wanted() {
            let connection = UpstreamConnection {
                output: wanted.outbox,
                address: wanted.backend,
                replies: ReplyReader::default(),
            };
            self.connections.insert(wanted.id, connection);
        }
    }

    /// What was written to the clients.
    pub(crate) fn take_answers(&mut self) -> String {
        take_text(&self.client.output)
    }

    /// What was written to the engine.
    pub(crate) fn take_engine_commands(&mut self) -> String {
        take_text(&self.engine.output)
    }

    /// The numbers of the open upstream connections, in order.
    pub(crate) fn connections(&self) -> Vec<u64> {
        self.connections.keys().copied().collect()
    }

    /// Whether an upstream connection is open.
    pub(crate) fn has_connection(&self, connection_id: u64) -> bool {
        self.connections.contains_key(&connection_id)
    }

    /// What was written to an upstream connection; none if it is closed.
    pub(crate) fn take_upstream_output(&mut self, connection_id: u64) -> Option<UpstreamOutput> {
        let connection = self.connections.get(&connection_id)?;
        Some(UpstreamOutput {
            address: connection.address,
            is_closing: connection.output.is_closing(),
            text: take_text(&connection.output),
        })
    }

    /// The datagrams that are to be sent to other servers, with their addresses.
    pub(crate) fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        let Some(fleet) = &self.fleet else {
            return vec![];
        };
        let mut fleet = fleet.borrow_mut();
        let datagrams = fleet.take_datagrams();
        // Nobody reads the log of a simulated server.
        fleet.membership_mut().take_events();
        fleet.quotas_mut().map(FleetQuotas::take_events);
        datagrams
    }

    /// What changed in the judgement of backends.
    pub(crate) fn take_backend_events(&mut self) -> Vec<BackendEvent> {
        match &self.backends {
            Some(backends) => backends.manager().borrow_mut().take_events(),
            None => vec![],
        }
    }
}

fn notice_of(serial: u64, event: &EngineEvent) -> EngineNotice<'_> {
    match event {
        EngineEvent::NeedsCall { request } => EngineNotice::NeedsCall { serial, request },
        EngineEvent::Finished { request, run_time } => EngineNotice::Finished {
            serial,
            request,
            run_time: *run_time,
        },
    }
}

fn take_text(output: &Outbox) -> String {
    String::from_utf8(output.take()).unwrap_or_default()
}
