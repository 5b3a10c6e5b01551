//! Drives the view of the fleet over one UDP socket, beside the reqs: bounded work a turn, nothing waited for.

use madderbay::time::{At, Span};
use madderbay_members::{Members, Networks, STRANGERS, Settings};
use madderbay_operator::members as operator;
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;
use std::time::{Duration, Instant};
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
const LINES_IN: Duration = Duration::from_secs(10);
/// Longer than any datagram that is heard, so that a longer one shows.
const BUFFER: usize = madderbay_members::DATAGRAM_MOST + 1;

/// The view, and what its driver counts.
pub struct Fleet {
    pub members: RefCell<Members>,
    began: Instant,
    /// Dropped because too many came, or could not be sent at once.
    over: Cell<u64>,
    unsent: Cell<u64>,
    lines: Cell<(Instant, usize)>,
    untold: Cell<usize>,
    /// Something has to be sent.
    changed: Notify,
}

pub fn settings(set: &operator::Members, name: &str) -> Settings {
    Settings {
        name: name.into(),
        advertise: set.advertise,
        zone: set.zone.as_str().into(),
        fleet: set.fleet.clone(),
        join: set.join.clone(),
        networks: Networks::of(set.networks.iter().copied()),
        most: set.most,
        probe: Span::millis(set.probe_ms),
        answer: Span::millis(set.probe_ms).times(ANSWER_PART),
        suspicion: Span::millis(set.suspicion_ms),
        memory: Span::millis(set.memory_s * 1_000),
        minds_itself: true,
    }
}

/// The part of the time between two tries after which others are asked to try: they need the rest.
const ANSWER_PART: f64 = 0.4;

impl Fleet {
    pub fn new(seed: u64, unix_ms: u64, set: Settings) -> Fleet {
        let began = Instant::now();
        Fleet {
            members: RefCell::new(Members::new(At::default(), unix_ms, seed, set)),
            began,
            over: Cell::new(0),
            unsent: Cell::new(0),
            lines: Cell::new((began, 0)),
            untold: Cell::new(0),
            changed: Notify::new(),
        }
    }

    /// Its own clock, which never steps.
    fn now(&self) -> At {
        At::micros(self.began.elapsed().as_micros() as u64)
    }

    pub fn drain(&self) {
        self.members.borrow_mut().drain(self.now());
        self.changed.notify_one();
    }

    /// Says that it goes; the last datagrams leave at once.
    pub fn leave(&self, socket: &UdpSocket) {
        self.members.borrow_mut().leave(self.now());
        self.carry_out(socket);
    }

    fn carry_out(&self, socket: &UdpSocket) {
        let mut members = self.members.borrow_mut();
        for (to, bytes) in members.outgoing() {
            if socket.try_send_to(&bytes, to).is_err() {
                self.unsent.set(self.unsent.get() + 1);
            }
        }
        let changes = members.changes();
        drop(members);
        let (since, lines) = self.lines.get();
        let fresh = since.elapsed() >= LINES_IN;
        let room = LINES - if fresh { 0 } else { lines };
        if fresh && self.untold.get() > 0 {
            log::info!("members: {} changes more", self.untold.take());
        }
        let told = changes.len().min(room);
        for change in &changes[..told] {
            crate::tools::logger::plain(format!("INFO members: {change}\n"));
        }
        self.untold.set(self.untold.get() + changes.len() - told);
        self.lines.set(if fresh { (Instant::now(), told) } else { (since, lines + told) });
    }

    pub fn counters(&self) -> String {
        let members = self.members.borrow();
        let counts = &members.counts;
        let mut text = String::new();
        let mut line = |name: &str, value: u64| {
            let _ = writeln!(text, "counter members.{name} {value}");
        };
        line("active", members.active() as u64 + 1);
        line("heard", counts.heard);
        line("sent", counts.sent);
        line("bytes_in", counts.bytes_in);
        line("bytes_out", counts.bytes_out);
        for ((_, name), n) in STRANGERS.iter().zip(counts.strangers) {
            line(&format!("strangers.{name}"), n);
        }
        line("over", self.over.get());
        line("unsent", self.unsent.get());
        line("suspicions", counts.suspicions);
        line("refuted", counts.refuted);
        line("downs", counts.downs);
        line("renewed", counts.renewed);
        line("notices", counts.notices);
        line("rosters", counts.rosters);
        line("held_up", members.pauses());
        line("untold", counts.untold + self.untold.get() as u64);
        text
    }
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
            self.left = (self.left + passed.elapsed().as_secs_f64() * HEARD_A_SECOND).min(HEARD_AT_ONCE);
        }
        self.left -= f64::from(u8::from(self.left >= 1.0));
        self.left >= 1.0
    }
}

/// Hears and speaks until the process ends.
pub async fn run(socket: Rc<UdpSocket>, fleet: Rc<Fleet>) {
    let mut allowance = Allowance { left: HEARD_AT_ONCE, at: Instant::now() };
    let mut buffer = [0; BUFFER];
    loop {
        let due = fleet.members.borrow().due() - fleet.now();
        tokio::select! {
            _ = socket.readable() => {}
            () = tokio::time::sleep(Duration::from_micros(due.as_micros())) => {}
            () = fleet.changed.notified() => {}
        }
        for _ in 0..TURN {
            // An error here is another's, told back for something that was sent: there is nothing to do.
            let Ok((length, from)) = socket.try_recv_from(&mut buffer) else { break };
            if allowance.take() {
                fleet.members.borrow_mut().received(fleet.now(), from, &buffer[..length]);
            } else {
                fleet.over.set(fleet.over.get() + 1);
            }
        }
        fleet.members.borrow_mut().turn(fleet.now());
        fleet.carry_out(&socket);
        // Reqs that are ready go first.
        tokio::task::yield_now().await;
    }
}
