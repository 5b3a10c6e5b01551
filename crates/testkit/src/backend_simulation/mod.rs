//! Simulation of many servers that call many backends, in simulated time.
//!
//! [`BackendSimulation`](crate::backend_simulation::BackendSimulation) owns the upstream managers
//! of the servers, the backends, the calls and the scheduled events. A setup, a seed and the calls
//! of its methods determine everything that happens. It sends nothing over a network and does not
//! wait in real time.
//!
//! # What is simulated
//!
//! Calls arrive at each server at random with a given rate. The server selects a backend by its
//! [`RoutingPolicy`](crate::backend_simulation::RoutingPolicy), which also determines retries and
//! hedges. A backend works on a limited number of calls at a time. The servers gossip about the
//! backends.
//!
//! # Faults
//!
//! A backend has a [`BackendFault`](crate::backend_simulation::BackendFault). A zone or a server
//! may be cut off from backends, and servers may be partitioned from each other. A server may send
//! false reports, or restart without any knowledge of the backends.

mod backends;
mod calls;
mod faults;
mod gossip;
mod ids;
mod routing;
mod rows;
mod servers;
mod setup;

pub use faults::{BackendFault, GossipPartition, ZoneCut};
pub use gossip::LogEntry;
pub use ids::{SimulatedBackendId, SimulatedServerId};
pub use rows::Row;
pub use setup::{BackendFleetSetup, RoutingPolicy};

use self::backends::SimulatedBackend;
use self::calls::{Attempt, Call};
use self::rows::ROW_DURATION;
use self::servers::SimulatedServer;
use self::setup::server_name;
use crate::event_queue::EventQueue;
use madderbay::time::{Duration, Timestamp};
use madderbay_upstream::AttemptOutcome;
use oorandom::Rand64;
use std::collections::HashMap;

/// Simulated time at the start.
const START: Timestamp = Timestamp::from_micros(10_000_000);
/// Delay of a message between a server and a backend, in each direction.
const BACKEND_DELAY: Duration = Duration::from_millis(1);
/// Delay of a datagram between two servers.
const GOSSIP_DELAY: Duration = Duration::from_millis(2);
/// Interval between timeouts of a server's upstream manager.
const TIMER_INTERVAL: Duration = Duration::from_millis(20);

/// An event at a point in simulated time.
enum Event {
    CallArrives {
        server: SimulatedServerId,
    },
    AttemptArrives {
        attempt: u64,
    },
    WorkEnds {
        attempt: u64,
        backend: SimulatedBackendId,
    },
    AttemptEnds {
        attempt: u64,
        outcome: AttemptOutcome,
    },
    CallTimesOut {
        call: u64,
    },
    HedgeDue {
        call: u64,
    },
    Timer {
        server: SimulatedServerId,
    },
    Gossip {
        from: SimulatedServerId,
        to: SimulatedServerId,
        /// Incarnation of the sender.
        incarnation: u64,
        bytes: Vec<u8>,
    },
}

/// Simulated servers that call simulated backends, with faults.
pub struct BackendSimulation {
    /// Setup of the simulation; the rate of calls may change while it runs.
    setup: BackendFleetSetup,
    now: Timestamp,
    random: Rand64,
    servers: Vec<SimulatedServer>,
    backends: Vec<SimulatedBackend>,
    /// Attempts in flight, by id.
    attempts: HashMap<u64, Attempt>,
    /// Calls in flight, by id.
    calls: HashMap<u64, Call>,
    /// Last id that was given to a call or an attempt.
    last_id: u64,
    events: EventQueue<Timestamp, Event>,
    zone_cuts: Vec<ZoneCut>,
    gossip_partition: GossipPartition,
    /// Observations, one row for each [`ROW_DURATION`] of time.
    rows: Vec<Row>,
    /// Latencies of successful calls since the list was last cleared, in milliseconds.
    latencies_ms: Vec<f64>,
    ejections: u64,
    log: Vec<LogEntry>,
}

impl BackendSimulation {
    /// Creates a simulation whose servers know each other and receive calls from the start.
    pub fn new(setup: BackendFleetSetup, seed: u64) -> BackendSimulation {
        let mut random = Rand64::new(u128::from(seed) + 1);
        let servers = SimulatedServerId::first(setup.servers)
            .map(|server| SimulatedServer::new(server, &setup, random.rand_u64()))
            .collect();
        let mut simulation = BackendSimulation {
            now: START,
            servers,
            backends: (0..setup.backends)
                .map(|_| SimulatedBackend::new())
                .collect(),
            attempts: HashMap::new(),
            calls: HashMap::new(),
            last_id: 0,
            events: EventQueue::new(),
            zone_cuts: vec![],
            gossip_partition: GossipPartition::None,
            rows: vec![],
            latencies_ms: vec![],
            ejections: 0,
            log: vec![],
            random,
            setup,
        };
        for server in SimulatedServerId::first(simulation.setup.servers) {
            simulation.start_server(server);
        }
        simulation.begin_row();
        simulation
    }

    /// Introduces a server to the others, and schedules its first call and its first timer.
    fn start_server(&mut self, server: SimulatedServerId) {
        self.introduce(server);
        let first_call = self.draw_time_to_next_call();
        self.push(START + first_call, Event::CallArrives { server });
        let first_timer = TIMER_INTERVAL.mul_f64(self.random.rand_float());
        self.push(START + first_timer, Event::Timer { server });
    }

    /// Draws a value from the exponential distribution with this mean.
    fn draw_exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.random.rand_float()).ln() * mean
    }

    /// Draws the time until the next call arrives at a server.
    fn draw_time_to_next_call(&mut self) -> Duration {
        let mean_seconds = 1.0 / self.setup.calls_per_second;
        Duration::from_secs_f64(self.draw_exponential(mean_seconds))
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.events.push(at, event);
    }

    /// Returns a new id for a call or an attempt, larger than all earlier ones.
    fn new_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Advances simulated time by `duration` and handles all events that are due.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some((at, event)) = self.events.pop_until(end) {
            self.now = at;
            while self.now >= START + ROW_DURATION.mul_f64(self.rows.len() as f64) {
                self.begin_row();
            }
            self.handle(event);
        }
        self.now = end;
    }

    /// Returns the simulated time since the start.
    pub fn elapsed(&self) -> Duration {
        self.now - START
    }

    /// Returns the ids of all backends.
    pub fn backends(&self) -> impl Iterator<Item = SimulatedBackendId> + use<> {
        SimulatedBackendId::first(self.setup.backends)
    }

    /// Returns the number of ejections of backends so far, summed over all servers.
    pub fn ejections(&self) -> u64 {
        self.ejections
    }

    /// Returns the first 10,000 events of the servers' upstream managers.
    pub fn log(&self) -> &[LogEntry] {
        &self.log
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::CallArrives { server } => {
                let next = self.now + self.draw_time_to_next_call();
                self.push(next, Event::CallArrives { server });
                self.call_arrives(server);
            }
            Event::AttemptArrives { attempt } => self.attempt_arrives(attempt),
            Event::WorkEnds { attempt, backend } => self.work_ends(attempt, backend),
            Event::AttemptEnds { attempt, outcome } => self.attempt_ends(attempt, outcome),
            Event::CallTimesOut { call } => self.call_times_out(call),
            Event::HedgeDue { call } => self.hedge_due(call),
            Event::Timer { server } => {
                self.push(self.now + TIMER_INTERVAL, Event::Timer { server });
                self.timer_fired(server);
            }
            Event::Gossip {
                from,
                to,
                incarnation,
                bytes,
            } => {
                // Datagrams from an earlier incarnation of the sender are lost.
                if self.servers[from.index()].incarnation == incarnation {
                    let upstream = &mut self.servers[to.index()].upstream;
                    upstream.handle_datagram(self.now, &server_name(from), &bytes);
                }
            }
        }
    }
}
