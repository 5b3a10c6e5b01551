//! One simulated server: its state machines, its clock and its workload.

use madderbay::time::{Duration, Timestamp};
use madderbay_membership::Membership;
use madderbay_upstream::FleetStack;
use oorandom::Rand64;
use std::net::SocketAddr;

/// Maximum number of datagrams buffered for a stopped server, like a socket's receive buffer.
const MAX_BUFFERED_DATAGRAMS: usize = 200;
/// Maximum offset of a server's clock ahead of simulated time, in seconds.
const MAX_CLOCK_OFFSET_SECS: f64 = 1e4;
/// Maximum drift of a server's clock in either direction, as a fraction.
const MAX_CLOCK_DRIFT: f64 = 0.005;

/// Rate at which requests for one key arrive at a server.
pub(super) struct KeyRate {
    pub(super) key: u32,
    pub(super) per_second: f64,
    /// Fraction of a request carried over to the next arrival.
    pub(super) accumulated: f64,
}

/// The workload of a server.
#[derive(Default)]
pub(super) struct Workload {
    /// Demand, in concurrent calls.
    pub(super) demand: u32,
    /// Capacity of the quota that the operator last set; `None` if it is the setup's.
    pub(super) capacity: Option<u32>,
    /// Calls that ended while the server was stopped.
    pub(super) calls_ended_while_stopped: u32,
    /// Arrival rates of counted requests, one per key.
    pub(super) rates: Vec<KeyRate>,
}

/// One simulated server.
pub(super) struct Node {
    /// The state machines; `None` while the server does not run.
    pub(super) stack: Option<FleetStack>,
    /// Index of the server whose name this one uses, normally its own.
    pub(super) name: usize,
    pub(super) stopped: bool,
    /// Datagrams that arrived while the server was stopped.
    pub(super) buffered: Vec<(SocketAddr, Vec<u8>)>,
    /// When the server's timer fires, in simulated time.
    pub(super) timer: Option<Timestamp>,
    /// Number of times that the server was started.
    pub(super) incarnation: u32,
    pub(super) work: Workload,
    /// How far the server's monotonic clock is ahead of simulated time at time 0.
    clock_offset: Duration,
    /// Speed of the server's clock relative to simulated time.
    clock_rate: f64,
}

impl Node {
    /// Creates a server that is not started yet, with a random clock offset and drift.
    pub(super) fn new(index: usize, random: &mut Rand64) -> Node {
        let clock_offset = Duration::from_secs_f64(random.rand_float() * MAX_CLOCK_OFFSET_SECS);
        let clock_rate = 1.0 + MAX_CLOCK_DRIFT * (2.0 * random.rand_float() - 1.0);
        Node {
            stack: None,
            name: index,
            stopped: false,
            buffered: vec![],
            timer: None,
            incarnation: 0,
            work: Workload::default(),
            clock_offset,
            clock_rate,
        }
    }

    /// Converts a simulated time to the server's clock.
    pub(super) fn clock(&self, now: Timestamp) -> Timestamp {
        let elapsed = (now - Timestamp::default()).mul_f64(self.clock_rate);
        Timestamp::default() + self.clock_offset + elapsed
    }

    /// Converts a time on the server's clock to simulated time, plus one microsecond.
    pub(super) fn simulated_time(&self, clock: Timestamp) -> Timestamp {
        let elapsed = clock.saturating_sub(self.clock_offset) - Timestamp::default();
        Timestamp::from_micros(1) + elapsed.mul_f64(1.0 / self.clock_rate)
    }

    pub(super) fn members(&self) -> Option<&Membership> {
        self.stack.as_ref().map(FleetStack::membership)
    }

    /// Returns the state machines if the server runs and is not stopped.
    pub(super) fn active_stack(&mut self) -> Option<&mut FleetStack> {
        self.stack.as_mut().filter(|_| !self.stopped)
    }

    /// Returns the membership if the server runs and is not stopped.
    pub(super) fn active_members(&self) -> Option<&Membership> {
        self.members().filter(|_| !self.stopped)
    }

    /// Buffers a datagram for a stopped server. Drops it if the buffer is full.
    pub(super) fn buffer(&mut self, from: SocketAddr, bytes: Vec<u8>) {
        if self.buffered.len() < MAX_BUFFERED_DATAGRAMS {
            self.buffered.push((from, bytes));
        }
    }
}
