//! The process of a server. It receives bytes in the same way as from the program's own I/O drivers.

use super::client::ClientRequests;
use crate::upstream::{Engine, EngineEvent, EngineNotice};
use madderbay::time::Timestamp;
use madderbay_quota::FleetQuotas;
use madderbay_server::core::event_loop::EventLoop;
use madderbay_server::downstream::json_rpc::JsonRpcSession;
use madderbay_server::fleet::backends::Backends;
use madderbay_server::support::io::{NextInput, Outbox};
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
    /// The address of the backend. Calls on a connection without an address go to the first backend.
    address: Option<SocketAddr>,
    replies: ReplyReader,
}

/// The output of a server to one upstream connection since it was last taken.
pub(crate) struct UpstreamOutput {
    pub(crate) address: Option<SocketAddr>,
    pub(crate) text: String,
    pub(crate) is_closing: bool,
}

/// The upstream attempts of one incarnation.
pub(crate) struct AttemptTotals {
    pub(crate) first_attempts: u64,
    pub(crate) retries: u64,
}

/// The program's own core and fleet stack, and this process's ends of the simulated connections.
pub(crate) struct Process {
    pub(super) event_loop: EventLoop,
    pub(super) client: ClientConnection,
    pub(super) engine: EngineConnection,
    pub(super) fleet: Option<Rc<RefCell<FleetStack>>>,
    pub(super) backends: Option<Rc<Backends>>,
    connections: BTreeMap<u64, UpstreamConnection>,
}

impl Process {
    /// Creates a process from parts that are already connected.
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

    /// Drops the upstream connections and the pending requests of a process that was killed.
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

    /// Returns the fleet stack (the view of the fleet, the quotas and the outlier detection) if membership is on.
    pub(crate) fn fleet(&self) -> Option<&RefCell<FleetStack>> {
        self.fleet.as_deref()
    }

    /// Returns the backends if backend selection is on.
    pub(crate) fn backends(&self) -> Option<&Backends> {
        self.backends.as_deref()
    }

    /// Returns the upstream attempts so far if backend selection is on.
    pub(crate) fn attempt_totals(&self) -> Option<AttemptTotals> {
        let backends = self.backends.as_ref()?.manager().borrow();
        let totals = backends.totals();
        Some(AttemptTotals {
            first_attempts: totals.first_attempts,
            retries: totals.retries,
        })
    }

    // Input

    /// Delivers a line from a client.
    pub(crate) fn receive_request(&mut self, now: Timestamp, line: &str) {
        let session = &mut self.client.session;
        let mut next = session.feed(now, line.as_bytes(), &mut self.event_loop);
        while next == NextInput::Resume {
            next = session.resume(now, &mut self.event_loop);
        }
    }

    /// Delivers a notice from the engine.
    pub(crate) fn receive_notice(&mut self, now: Timestamp, line: &str) {
        let notices = &mut self.engine.notices;
        notices.feed(now, line.as_bytes(), &mut self.event_loop);
    }

    /// Delivers a datagram from another server. `reading` is the time on this server's own clock.
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

    /// Delivers the answer to a call. Closes the connection if the answer cannot be parsed.
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

    /// Handles the loss of an upstream connection. Has no effect if the connection is already closed.
    pub(crate) fn connection_lost(&mut self, now: Timestamp, connection_id: u64) {
        if self.connections.remove(&connection_id).is_some() {
            self.event_loop.call_connection_ended(now, connection_id);
        }
    }

    /// Closes an upstream connection at the request of the server.
    pub(crate) fn close_connection(&mut self, now: Timestamp, connection_id: u64) {
        self.connections.remove(&connection_id);
        self.event_loop.call_connection_ended(now, connection_id);
    }

    // Time

    /// Advances the engine to `now`, fires due timers and runs the core's event loop. Returns the engine's notices, one
    /// per line.
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

    /// Returns when the core's next timer is due.
    pub(super) fn core_deadline(&self) -> Option<Timestamp> {
        self.event_loop.next_deadline()
    }

    /// Returns when the engine is expected to send its next notice about a run.
    pub(super) fn engine_deadline(&self) -> Option<Timestamp> {
        self.engine.engine.next_deadline()
    }

    /// Returns when the fleet stack's next timer is due, on the server's own clock.
    pub(super) fn fleet_timeout(&self) -> Option<Timestamp> {
        let fleet = self.fleet.as_ref()?;
        Some(fleet.borrow().next_timeout())
    }

    // Output

    /// Opens the upstream connections that the core has requested.
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

    /// Takes the output to the clients.
    pub(crate) fn take_answers(&mut self) -> String {
        take_text(&self.client.output)
    }

    /// Takes the output to the engine.
    pub(crate) fn take_engine_commands(&mut self) -> String {
        take_text(&self.engine.output)
    }

    /// Returns the ids of the open upstream connections in ascending order.
    pub(crate) fn connections(&self) -> Vec<u64> {
        self.connections.keys().copied().collect()
    }

    /// Reports whether an upstream connection is open.
    pub(crate) fn has_connection(&self, connection_id: u64) -> bool {
        self.connections.contains_key(&connection_id)
    }

    /// Takes the output to an upstream connection. Returns `None` if the connection is closed.
    pub(crate) fn take_upstream_output(&mut self, connection_id: u64) -> Option<UpstreamOutput> {
        let connection = self.connections.get(&connection_id)?;
        Some(UpstreamOutput {
            address: connection.address,
            is_closing: connection.output.is_closing(),
            text: take_text(&connection.output),
        })
    }

    /// Takes the datagrams for other servers, with their destination addresses.
    pub(crate) fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        let Some(fleet) = &self.fleet else {
            return vec![];
        };
        let mut fleet = fleet.borrow_mut();
        let datagrams = fleet.take_datagrams();
        // Membership and quota events are discarded, because simulated servers write no log.
        fleet.membership_mut().take_events();
        fleet.quotas_mut().map(FleetQuotas::take_events);
        datagrams
    }

    /// Takes the recent backend events, such as ejections and changes of state.
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
