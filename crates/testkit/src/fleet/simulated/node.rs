//! One simulated server: its state machines, its clock and its demand.

use madderbay::time::{Duration, Timestamp};
use madderbay_membership::Membership;
use madderbay_upstream::FleetStack;
use oorandom::Rand64;
use std::net::SocketAddr;

/// Datagrams that wait for a stopped server, as in the buffer of a socket.
const MAX_BUFFERED_DATAGRAMS: usize = 200;
/// The furthest that a clock is ahead of the simulated time at its start, in seconds.
const MAX_CLOCK_OFFSET_SECS: f64 = 1e4;
/// The largest fraction by which a clock runs too fast or too slow.
const MAX_CLOCK_DRIFT: f64 = 0.005;

/// How often requests of one key arrive at a server.
pub(super) struct KeyRate {
    pub(super) key: u32,
    pub(super) per_second: f64,
    /// The fraction of the next request that is accumulated.
    pub(super) accumulated: f64,
}

/// The work that a server has.
#[derive(Default)]
pub(super) struct Workload {
    /// Calls at a time that it has demand for.
    pub(super) demand: u32,
    /// The capacity of the quota that the operator has set last, where it is not the setup's.
    pub(super) capacity: Option<u32>,
    /// Calls that ended while the server was stopped.
    pub(super) calls_ended_while_stopped: u32,
    /// Counted requests.
    pub(super) rates: Vec<KeyRate>,
}

/// One simulated server.
pub(super) struct Node {
    /// The state machines while it runs.
    pub(super) stack: Option<FleetStack>,
    /// The index of the server whose name it has; its own as a rule.
    pub(super) name: usize,
    pub(super) stopped: bool,
    /// Datagrams that arrived while it was stopped.
    pub(super) buffered: Vec<(SocketAddr, Vec<u8>)>,
    /// When its timer fires, in simulated time.
    pub(super) timer: Option<Timestamp>,
    /// The number of its starts.
    pub(super) incarnation: u32,
    pub(super) work: Workload,
    /// Its monotonic clock is ahead of the simulated time by this, and runs this much faster.
    clock_offset: Duration,
    clock_rate: f64,
}

impl Node {
    /// A server that is not started yet, with a drawn clock.
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

    /// What its clock shows at a point in simulated time.
    pub(super) fn clock(&self, now: Timestamp) -> Timestamp {
        let elapsed = (now - Timestamp::default()).mul_f64(self.clock_rate);
        Timestamp::default() + self.clock_offset + elapsed
    }

    /// The point in simulated time at which its clock shows this.
    pub(super) fn simulated_time(&self, clock: Timestamp) -> Timestamp {
        let elapsed = clock.saturating_sub(self.clock_offset) - Timestamp::default();
        Timestamp::from_micros(1) + elapsed.mul_f64(1.0 / self.clock_rate)
    }

    pub(super) fn members(&self) -> Option<&Membership> {
        self.stack.as_ref().map(FleetStack::membership)
    }

    /// The state machines while the server runs and is not stopped.
    pub(super) fn active_stack(&mut self) -> Option<&mut FleetStack> {
        self.stack.as_mut().filter(|_| !self.stopped)
    }

    /// The membership while the server runs and is not stopped.
    pub(super) fn active_members(&self) -> Option<&Membership> {
        self.members().filter(|_| !self.stopped)
    }

    /// Buffers a datagram for a stopped server; those beyond the size of its buffer are lost.
    pub(super) fn buffer(&mut self, from: SocketAddr, bytes: Vec<u8>) {
        if self.buffered.len() < MAX_BUFFERED_DATAGRAMS {
            self.buffered.push((from, bytes));
        }
    }
}
