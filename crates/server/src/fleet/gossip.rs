//! The gossip driver: sends and receives the datagrams of the fleet's state machines over one UDP socket, on the
//! thread that also serves the requests.
//!
//! `Fleet` shares the state machines with the core's `FleetQuotaSource` and owns the driver's counters and event log.
//! `run` reads a bounded number of datagrams in each turn. The state machines are borrowed for one step at a time,
//! never across an await.

mod counters;
mod datagram_limit;
mod event_log;

use super::backends::Backends;
use super::counter_names::CounterNames;
use super::quota_leases::FleetQuotaSource;
use crate::support::clock::MonotonicClock;
use datagram_limit::DatagramLimit;
use event_log::EventLog;
use madderbay::time::Timestamp;
use madderbay_membership::Membership;
use madderbay_quota::{BudgetSettings, FleetQuotas};
use madderbay_upstream::FleetStack;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration as StdDuration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// Maximum number of datagrams handled before the driver yields to other tasks.
const MAX_DATAGRAMS_PER_TURN: usize = 32;
/// One byte more than the longest valid datagram, so that a longer datagram is detected.
const RECEIVE_BUFFER_BYTES: usize = madderbay_membership::MAX_DATAGRAM_BYTES + 1;

/// Settings from which the fleet's state machines are created.
pub struct FleetConfig {
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of this server's incarnation; a later incarnation has a greater number.
    pub incarnation: u64,
    /// Settings of the membership.
    pub membership: madderbay_membership::Settings,
    /// Settings of the quotas and counters, if these are enabled.
    pub quotas: Option<madderbay_quota::Settings>,
    /// Names of the handlers and tenants that the counters count.
    pub counter_names: CounterNames,
    /// The backends, if these are enabled. The driver also runs their timers and exchanges their gossip.
    pub backends: Option<Rc<Backends>>,
}

/// This server's view of its fleet, and the quotas and backends whose state is exchanged with it.
pub struct Fleet {
    stack: Rc<RefCell<FleetStack>>,
    quota_source: Rc<FleetQuotaSource>,
    backends: Option<Rc<Backends>>,
    clock: MonotonicClock,
    event_log: RefCell<EventLog>,
    /// Number of received datagrams that were dropped because they exceeded the rate limit.
    dropped_datagrams: Cell<u64>,
    /// Number of datagrams that the socket did not accept at once and that were therefore not sent.
    unsent_datagrams: Cell<u64>,
    /// Notified when datagrams have to be sent before the next timer is due.
    send_pending: Rc<Notify>,
}

impl Fleet {
    /// Creates the state machines. `clock` starts at 0 and is monotonic.
    pub fn new(config: FleetConfig, clock: MonotonicClock) -> Fleet {
        let start = Timestamp::default();
        let seed = config.seed;
        let backends = config.backends;
        let membership = Membership::new(start, config.incarnation, seed, config.membership);
        let quotas = config.quotas.map(|q| FleetQuotas::new(start, seed, q));
        let mut stack = FleetStack::new(membership, quotas);
        stack.set_upstream(backends.as_ref().map(|b| b.manager().clone()));
        let stack = Rc::new(RefCell::new(stack));
        let send_pending = Rc::new(Notify::new());
        let notify = send_pending.clone();
        let quota_source = FleetQuotaSource::new(
            stack.clone(),
            config.counter_names,
            clock.clone(),
            Box::new(move || notify.notify_one()),
        );
        let now = clock();
        Fleet {
            stack,
            quota_source: Rc::new(quota_source),
            backends,
            clock,
            event_log: RefCell::new(EventLog::new(now)),
            dropped_datagrams: Cell::new(0),
            unsent_datagrams: Cell::new(0),
            send_pending,
        }
    }

    /// Returns the time of the state machines' clock.
    pub fn now(&self) -> Timestamp {
        (self.clock)()
    }

    /// Returns the source from which the core takes its quotas.
    pub fn quota_source(&self) -> &Rc<FleetQuotaSource> {
        &self.quota_source
    }

    /// Returns the state machines.
    pub(super) fn stack(&self) -> &RefCell<FleetStack> {
        &self.stack
    }

    /// Applies the sizes and weights of the budgets of a reloaded operator file.
    pub fn reload(&self, budgets: &[BudgetSettings]) {
        let now = self.now();
        if let Some(quotas) = self.stack.borrow_mut().quotas_mut() {
            quotas.reload(now, budgets);
        }
        self.send_pending.notify_one();
    }

    /// Notifies the fleet that this server is draining.
    pub fn drain(&self) {
        self.stack.borrow_mut().membership_mut().drain(self.now());
        self.send_pending.notify_one();
    }

    /// Notifies the fleet that this server is leaving, and sends the last datagrams at once.
    pub fn leave(&self, socket: &UdpSocket) {
        self.stack.borrow_mut().membership_mut().leave(self.now());
        self.send_and_log(socket);
    }

    /// Sends the pending datagrams of the state machines and logs their events.
    fn send_and_log(&self, socket: &UdpSocket) {
        self.send_datagrams(socket);
        let lines = self.take_event_lines();
        if let Some(backends) = &self.backends {
            backends.log_events();
        }
        self.event_log.borrow_mut().write(self.now(), &lines);
    }

    /// Passes the pending datagrams to the socket. Those that it does not accept at once are dropped, which the
    /// protocol tolerates like any other loss of a datagram.
    fn send_datagrams(&self, socket: &UdpSocket) {
        for (to, bytes) in self.stack.borrow_mut().take_datagrams() {
            if socket.try_send_to(&bytes, to).is_err() {
                increment(&self.unsent_datagrams);
            }
        }
    }

    /// Removes all events since the last call and returns their log lines.
    fn take_event_lines(&self) -> Vec<String> {
        let mut stack = self.stack.borrow_mut();
        let membership_events = stack.membership_mut().take_events();
        let quota_events = stack.quotas_mut().map(FleetQuotas::take_events);
        let membership_lines = membership_events.iter().map(|e| format!("membership: {e}"));
        let quota_lines = quota_events.iter().flatten().map(|e| format!("quota: {e}"));
        membership_lines.chain(quota_lines).collect()
    }

    /// Reads up to [`MAX_DATAGRAMS_PER_TURN`] datagrams from the socket and passes them to the state machines.
    fn handle_datagrams(&self, socket: &UdpSocket, limit: &mut DatagramLimit, buffer: &mut [u8]) {
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            // Either no datagram is left, or an earlier one did not reach a peer. Neither needs handling.
            let Ok((length, from)) = socket.try_recv_from(buffer) else {
                return;
            };
            let now = self.now();
            if limit.try_take(now) {
                let mut stack = self.stack.borrow_mut();
                stack.handle_datagram(now, from, &buffer[..length]);
            } else {
                increment(&self.dropped_datagrams);
            }
        }
    }

    /// Returns how long the driver may sleep.
    fn time_to_next_timeout(&self) -> StdDuration {
        let wait = self.stack.borrow().next_timeout() - self.now();
        StdDuration::from_micros(wait.as_micros())
    }

    /// Returns all counters as text, one line each.
    pub fn counters(&self) -> String {
        let stack = self.stack.borrow();
        let driver = counters::DriverCounters {
            dropped_datagrams: self.dropped_datagrams.get(),
            unsent_datagrams: self.unsent_datagrams.get(),
            unwritten_events: self.event_log.borrow().unwritten(),
        };
        let mut lines = counters::of_membership(stack.membership(), &driver);
        if let Some(quotas) = stack.quotas() {
            lines += &counters::of_quotas(quotas, self.now());
        }
        lines
    }
}

fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// Receives datagrams, runs the timers and sends datagrams until the process ends.
pub async fn run(socket: Rc<UdpSocket>, fleet: Rc<Fleet>) {
    let mut limit = DatagramLimit::new(fleet.now());
    let mut buffer = [0; RECEIVE_BUFFER_BYTES];
    loop {
        let wait = fleet.time_to_next_timeout();
        tokio::select! {
            _ = socket.readable() => {}
            () = tokio::time::sleep(wait) => {}
            () = fleet.send_pending.notified() => {}
        }
        fleet.handle_datagrams(&socket, &mut limit, &mut buffer);
        fleet.stack.borrow_mut().handle_timeout(fleet.now());
        fleet.send_and_log(&socket);
        // Lets the tasks run that have requests to handle.
        tokio::task::yield_now().await;
    }
}
