//! Drives the view of the fleet, and what rests on it, over one UDP socket, beside the reqs: bounded work a
//! turn, nothing waited for.

use super::backends::Backends;
use super::quota_leases::{CounterNames, FleetQuotaSource};
use crate::support::clock::MonotonicClock;
use crate::support::metrics::Lines;
use madderbay::time::{Duration, Timestamp};
use madderbay_membership::{AllowedNetworks, Membership, Settings};
use madderbay_operator_config::members as operator;
use madderbay_quota::FleetQuotas;
use madderbay_upstream::FleetStack;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration as StdDuration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// Datagrams taken at a time, before reqs have their turn.
const TURN: usize = 32;
/// Datagrams a second that are looked at, and at once: a fleet of a thousand that settles again sends a tenth
/// of it to each. What comes beyond is taken from the socket and dropped.
const HEARD_A_SECOND: f64 = 5_000.0;
const HEARD_AT_ONCE: f64 = 1_000.0;
/// Lines about changes in ten seconds; what is more is counted.
const LINES: usize = 200;
const LINES_IN: StdDuration = StdDuration::from_secs(10);
/// Longer than any datagram that is heard, so that a longer one shows.
const BUFFER: usize = madderbay_membership::MAX_DATAGRAM_BYTES + 1;

/// The view, and what its driver counts.
pub struct Fleet {
    pub together: Rc<RefCell<FleetStack>>,
    /// What the core asks of what is shared.
    pub lender: Rc<FleetQuotaSource>,
    /// The backends below, where there are any, which this drives too.
    backends: Option<Rc<Backends>>,
    ticks: MonotonicClock,
    /// Dropped because too many came, or could not be sent at once.
    over: Cell<u64>,
    unsent: Cell<u64>,
    lines: Cell<(Instant, usize)>,
    untold: Cell<usize>,
    /// Something has to be sent.
    changed: Rc<Notify>,
}

pub fn settings(set: &operator::Members, name: &str) -> Settings {
    Settings {
        name: name.into(),
        advertise: set.advertise,
        zone: set.zone.as_str().into(),
        fleet: set.fleet.clone(),
        join: set.join.clone(),
        allowed_networks: AllowedNetworks::new(set.networks.iter().copied()),
        max_members: set.most,
        probe_interval: Duration::from_millis(set.probe_ms),
        probe_timeout: Duration::from_millis(set.probe_ms).mul_f64(ANSWER_PART),
        suspicion_timeout: Duration::from_millis(set.suspicion_ms),
        down_retention: Duration::from_millis(set.memory_s * 1_000),
        local_health_aware: true,
    }
}

/// The part of the time between two tries after which others are asked to try: they need the rest.
const ANSWER_PART: f64 = 0.4;

impl Fleet {
    pub fn new(
        ticks: MonotonicClock,
        seed: u64,
        unix_ms: u64,
        set: Settings,
        shared: Option<madderbay_quota::Settings>,
        counted: CounterNames,
        backends: Option<Rc<Backends>>,
    ) -> Fleet {
        let members = Membership::new(Timestamp::default(), unix_ms, seed, set);
        let shared = shared.map(|set| FleetQuotas::new(Timestamp::default(), seed, set));
        let mut together = FleetStack::new(members, shared);
        together.routes = backends.as_ref().map(|b| b.routes.clone());
        let (together, changed) = (Rc::new(RefCell::new(together)), Rc::new(Notify::new()));
        let hurry = changed.clone();
        let hurry = Box::new(move || hurry.notify_one());
        let lender = FleetQuotaSource {
            together: together.clone(),
            counted,
            ticks: ticks.clone(),
            hurry,
        };
        Fleet {
            together,
            lender: Rc::new(lender),
            backends,
            ticks,
            over: Cell::new(0),
            unsent: Cell::new(0),
            lines: Cell::new((Instant::now(), 0)),
            untold: Cell::new(0),
            changed,
        }
    }

    /// Its own clock, which never steps.
    pub fn now(&self) -> Timestamp {
        (self.ticks)()
    }

    /// The operator has set sizes and weights anew.
    pub fn reload(&self, budgets: &[madderbay_quota::BudgetSettings]) {
        let now = self.now();
        if let Some(shared) = &mut self.together.borrow_mut().shared {
            shared.reload(now, budgets);
        }
        self.changed.notify_one();
    }

    pub fn drain(&self) {
        self.together.borrow_mut().members.drain(self.now());
        self.changed.notify_one();
    }

    /// Says that it goes; the last datagrams leave at once.
    pub fn leave(&self, socket: &UdpSocket) {
        self.together.borrow_mut().members.leave(self.now());
        self.carry_out(socket);
    }

    fn carry_out(&self, socket: &UdpSocket) {
        let mut together = self.together.borrow_mut();
        for (to, bytes) in together.take_datagrams() {
            if socket.try_send_to(&bytes, to).is_err() {
                self.unsent.set(self.unsent.get() + 1);
            }
        }
        let mut changes: Vec<String> = together
            .members
            .take_events()
            .iter()
            .map(|c| format!("membership: {c}"))
            .collect();
        let shared = together
            .shared
            .as_mut()
            .map_or(vec![], FleetQuotas::take_events);
        changes.extend(shared.iter().map(|c| format!("quota: {c}")));
        drop(together);
        self.backends.iter().for_each(|b| b.tell());
        let (since, lines) = self.lines.get();
        let fresh = since.elapsed() >= LINES_IN;
        let room = LINES - if fresh { 0 } else { lines };
        if fresh && self.untold.get() > 0 {
            log::info!(
                "membership: changes not logged, count={}",
                self.untold.take()
            );
        }
        let told = changes.len().min(room);
        for change in &changes[..told] {
            crate::support::logging::plain(format!("INFO {change}\n"));
        }
        self.untold.set(self.untold.get() + changes.len() - told);
        self.lines.set(if fresh {
            (Instant::now(), told)
        } else {
            (since, lines + told)
        });
    }

    pub fn counters(&self) -> String {
        let together = self.together.borrow();
        let members = &together.members;
        let counts = members.counters();
        let mut lines = Lines::of("members");
        let mut line = |name: &str, value: u64| lines.add(name, value);
        line("active", members.active_count() as u64 + 1);
        line("heard", counts.received);
        line("sent", counts.sent);
        line("bytes_in", counts.bytes_in);
        line("bytes_out", counts.bytes_out);
        for (reason, n) in counts.rejected.iter() {
            line(&format!("strangers.{}", reason.counter_key()), n);
        }
        line("over", self.over.get());
        line("unsent", self.unsent.get());
        line("suspicions", counts.suspicions);
        line("refuted", counts.refutations);
        line("downs", counts.down_declarations);
        line("renewed", counts.identity_renewals);
        line("notices", counts.notices);
        line("rosters", counts.roster_requests);
        line("held_up", members.pause_count());
        line("untold", counts.dropped_events + self.untold.get() as u64);
        lines.text
            + &together
                .shared
                .as_ref()
                .map_or(String::new(), |s| shared(s, self.now()))
    }
}

/// What is shared, a line a figure.
fn shared(s: &FleetQuotas, now: Timestamp) -> String {
    let mut lines = Lines::of("shared");
    let mut line = |name: &str, value: u64| lines.add(name, value);
    for b in s.budget_views(now) {
        let figures = [
            ("whole", b.capacity),
            ("own", b.base_quota),
            ("lent", b.granted),
            ("borrowed", b.leased),
            ("usable", b.usable),
            ("in_use", b.in_use),
            ("wants", b.demand),
        ];
        figures
            .iter()
            .for_each(|(what, value)| line(&format!("{}.{what}", b.name), u64::from(*value)));
    }
    for c in s.counters() {
        line(
            &format!("{}.lives", c.settings().name),
            c.tracked_incarnations() as u64,
        );
        line(&format!("{}.refused", c.settings().name), c.rejected());
    }
    line("surplus", u64::from(s.is_surplus()));
    line("heard", s.totals().datagrams_received);
    line("unread", s.totals().datagrams_rejected);
    line("misdirected", s.totals().misdirected);
    line("sent", s.totals().datagrams_sent);
    line("bytes_out", s.totals().bytes_sent);
    lines.text
}

/// Datagrams that may still be looked at.
struct Allowance {
    left: f64,
    at: Instant,
}

impl Allowance {
    fn take(&mut self) -> bool {
        if self.left < 1.0 {
            let passed = std::mem::replace(&mut self.at, Instant::now());
            self.left =
                (self.left + passed.elapsed().as_secs_f64() * HEARD_A_SECOND).min(HEARD_AT_ONCE);
        }
        self.left -= f64::from(u8::from(self.left >= 1.0));
        self.left >= 1.0
    }
}

/// Hears and speaks until the process ends.
pub async fn run(socket: Rc<UdpSocket>, fleet: Rc<Fleet>) {
    let mut allowance = Allowance {
        left: HEARD_AT_ONCE,
        at: Instant::now(),
    };
    let mut buffer = [0; BUFFER];
    loop {
        let due = fleet.together.borrow().next_timeout() - fleet.now();
        tokio::select! {
            _ = socket.readable() => {}
            () = tokio::time::sleep(StdDuration::from_micros(due.as_micros())) => {}
            () = fleet.changed.notified() => {}
        }
        for _ in 0..TURN {
            // An error here is another's, told back for something that was sent: there is nothing to do.
            let Ok((length, from)) = socket.try_recv_from(&mut buffer) else {
                break;
            };
            if allowance.take() {
                fleet
                    .together
                    .borrow_mut()
                    .handle_datagram(fleet.now(), from, &buffer[..length]);
            } else {
                fleet.over.set(fleet.over.get() + 1);
            }
        }
        fleet.together.borrow_mut().handle_timeout(fleet.now());
        fleet.carry_out(&socket);
        // Reqs that are ready go first.
        tokio::task::yield_now().await;
    }
}
