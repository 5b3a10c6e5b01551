//! The gossip driver: carries the datagrams of the fleet's state machines over one UDP socket, beside the requests.
//!
//! `Fleet` owns the state machines together with the core's `FleetQuotaSource`, and what the driver counts and
//! logs. `run` owns the socket's turns: each takes a bounded number of datagrams. State machines are borrowed for
//! one step at a time, never across an await.

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

/// Datagrams taken at a time, before other tasks have their turn.
const MAX_DATAGRAMS_PER_TURN: usize = 32;
/// One byte more than any valid datagram, so that a longer one is seen to be longer.
const RECEIVE_BUFFER_BYTES: usize = madderbay_membership::MAX_DATAGRAM_BYTES + 1;

/// What a fleet's state machines are created from.
pub struct FleetConfig {
    /// Seed of all random draws.
    pub seed: u64,
    /// Distinguishes the incarnations of this server; a later one has a greater number.
    pub incarnation: u64,
    /// Settings of the membership.
    pub membership: madderbay_membership::Settings,
    /// Settings of the quotas and counters, where they are on.
    pub quotas: Option<madderbay_quota::Settings>,
    /// The names of what is counted.
    pub counter_names: CounterNames,
    /// The backends, where they are on; the driver drives them too.
    pub backends: Option<Rc<Backends>>,
}

/// This server's view of its fleet, and what rests on it.
pub struct Fleet {
    stack: Rc<RefCell<FleetStack>>,
    quota_source: Rc<FleetQuotaSource>,
    backends: Option<Rc<Backends>>,
    clock: MonotonicClock,
    event_log: RefCell<EventLog>,
    /// Received datagrams that were dropped over the limit.
    dropped_datagrams: Cell<u64>,
    /// Datagrams that the system did not take at once.
    unsent_datagrams: Cell<u64>,
    /// Notified where something has to be sent before the next timer.
    send_pending: Rc<Notify>,
}

impl Fleet {
    /// Creates the state machines. `clock` starts at 0 and never steps.
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

    /// The time on the clock that the state machines are given.
    pub fn now(&self) -> Timestamp {
        (self.clock)()
    }

    /// What the core asks for its quotas.
    pub fn quota_source(&self) -> &Rc<FleetQuotaSource> {
        &self.quota_source
    }

    /// The state machines.
    pub(super) fn stack(&self) -> &RefCell<FleetStack> {
        &self.stack
    }

    /// Takes over the sizes and weights of a reloaded operator file.
    pub fn reload(&self, budgets: &[BudgetSettings]) {
        let now = self.now();
        if let Some(quotas) = self.stack.borrow_mut().quotas_mut() {
            quotas.reload(now, budgets);
        }
        self.send_pending.notify_one();
    }

    /// Notifies the fleet that this server drains.
    pub fn drain(&self) {
        self.stack.borrow_mut().membership_mut().drain(self.now());
        self.send_pending.notify_one();
    }

    /// Notifies the fleet that this server leaves; the last datagrams are sent at once.
    pub fn leave(&self, socket: &UdpSocket) {
        self.stack.borrow_mut().membership_mut().leave(self.now());
        self.send_and_log(socket);
    }

    /// Sends what the state machines have to send, and logs their events.
    fn send_and_log(&self, socket: &UdpSocket) {
        self.send_datagrams(socket);
        let lines = self.take_event_lines();
        if let Some(backends) = &self.backends {
            backends.log_events();
        }
        self.event_log.borrow_mut().write(self.now(), &lines);
    }

    /// Hands the socket what is to be sent. What it can't take at once is lost, as any datagram may be.
    fn send_datagrams(&self, socket: &UdpSocket) {
        for (to, bytes) in self.stack.borrow_mut().take_datagrams() {
            if socket.try_send_to(&bytes, to).is_err() {
                increment(&self.unsent_datagrams);
            }
        }
    }

    /// The log lines of all events since the last time.
    fn take_event_lines(&self) -> Vec<String> {
        let mut stack = self.stack.borrow_mut();
        let membership_events = stack.membership_mut().take_events();
        let quota_events = stack.quotas_mut().map(FleetQuotas::take_events);
        let membership_lines = membership_events.iter().map(|e| format!("membership: {e}"));
        let quota_lines = quota_events.iter().flatten().map(|e| format!("quota: {e}"));
        membership_lines.chain(quota_lines).collect()
    }

    /// Takes up to [`MAX_DATAGRAMS_PER_TURN`] received datagrams from the socket.
    fn handle_datagrams(&self, socket: &UdpSocket, limit: &mut DatagramLimit, buffer: &mut [u8]) {
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            // An error here is a peer's answer to a datagram that was sent: there is nothing to do.
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

    /// How long the driver may sleep.
    fn time_to_next_timeout(&self) -> StdDuration {
        let wait = self.stack.borrow().next_timeout() - self.now();
        StdDuration::from_micros(wait.as_micros())
    }

    /// All counters, one line each.
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

/// Receives, drives the timers and sends, until the process ends.
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
        // Tasks with requests that are ready go first.
        tokio::task::yield_now().await;
    }
}
