//! Many servers before many backends in simulated time.
//!
//! [`BackendSimulation`](crate::backend_simulation::BackendSimulation) owns the servers' upstream
//! managers, the backends, the calls and the events to come. It is given a setup and a seed, which
//! together with the calls of its methods determine everything. Nothing is sent and nothing waits.
//!
//! # What is simulated
//!
//! Calls arrive at each server at random with a given rate. The server picks a backend by its
//! [`RoutingPolicy`](crate::backend_simulation::RoutingPolicy), and retries and hedges as that
//! says. A backend works on a limited number of calls at a time. The servers gossip about the
//! backends.
//!
//! # Faults
//!
//! A backend has a [`BackendFault`](crate::backend_simulation::BackendFault); a zone or a server
//! may be cut off from backends; servers may be partitioned from each other; a server may send
//! false reports, or restart without any knowledge.

mod backends;
mod calls;
mod gossip;
mod rows;
mod setup;

pub use rows::{ROW, Row};
pub use setup::{BackendFault, BackendFleetSetup, RoutingPolicy};

use self::backends::Backend;
use self::calls::{Attempt, Call};
use self::setup::{backend_settings, server_name, zone_name};
use crate::event_queue::EventQueue;
use madderbay::time::{Duration, Timestamp};
use madderbay_upstream::{AttemptOutcome, UpstreamManager};
use oorandom::Rand64;
use std::collections::HashMap;

/// The simulated time at the start.
const START: Timestamp = Timestamp::from_micros(10_000_000);
/// What a message between a server and a backend takes each way.
const BACKEND_DELAY: Duration = Duration::from_millis(1);
/// What a datagram between two servers takes.
const GOSSIP_DELAY: Duration = Duration::from_millis(2);
/// The time between two timeouts of a server's upstream manager.
const TIMER_INTERVAL: Duration = Duration::from_millis(20);

/// One server.
struct Node {
    zone: usize,
    upstream: UpstreamManager,
    /// Attempts in flight to each backend.
    in_flight: Vec<u32>,
    /// The backend that round robin has used last.
    last_used: usize,
    /// Nothing that it sends reaches any backend.
    cut_off: bool,
    /// Backends of which it reports that all calls fail.
    lies: Vec<usize>,
    incarnation: u64,
}

/// What happens at a point in simulated time.
enum Event {
    CallArrives {
        server: usize,
    },
    AttemptArrives {
        attempt: u64,
    },
    AttemptWorked {
        attempt: u64,
        backend: usize,
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
        server: usize,
    },
    Gossip {
        from: usize,
        to: usize,
        /// The sender's.
        incarnation: u64,
        bytes: Vec<u8>,
    },
}

/// Simulated servers before simulated backends, with faults.
pub struct BackendSimulation {
    /// How it is set up; the rate may change while it runs.
    pub setup: BackendFleetSetup,
    now: Timestamp,
    random: Rand64,
    nodes: Vec<Node>,
    backends: Vec<Backend>,
    attempts: HashMap<u64, Attempt>,
    calls: HashMap<u64, Call>,
    /// The last number that a call or an attempt got.
    last_id: u64,
    events: EventQueue<Timestamp, Event>,
    /// Fault: pairs of a zone and a backend that it does not reach.
    pub cuts: Vec<(usize, usize)>,
    /// Fault: the servers of the first half and the others receive nothing from each other.
    pub split: bool,
    /// Fault: servers receive nothing from each other.
    pub deaf: bool,
    /// What was seen, a row for each [`ROW`] of time.
    pub rows: Vec<Row>,
    /// The response times of successful calls since this was last cleared, in milliseconds.
    pub times: Vec<f64>,
    /// Ejections of backends, of all servers together.
    pub ejections: u64,
    /// What the servers did, a line each; the first 10,000.
    pub log: Vec<String>,
}

impl BackendSimulation {
    /// A simulation whose servers know each other and to which calls arrive from the start.
    pub fn new(setup: BackendFleetSetup, seed: u64) -> BackendSimulation {
        let mut random = Rand64::new(u128::from(seed) + 1);
        let nodes = (0..setup.servers).map(|server| Node::new(server, &setup, random.rand_u64()));
        let nodes: Vec<Node> = nodes.collect();
        let mut simulation = BackendSimulation {
            now: START,
            nodes,
            backends: (0..setup.backends).map(|_| Backend::new()).collect(),
            attempts: HashMap::new(),
            calls: HashMap::new(),
            last_id: 0,
            events: EventQueue::new(),
            cuts: vec![],
            split: false,
            deaf: false,
            rows: vec![],
            times: vec![],
            ejections: 0,
            log: vec![],
            random,
            setup,
        };
        for server in 0..simulation.setup.servers {
            simulation.introduce(server);
            let first = simulation.draw(1.0 / simulation.setup.rate);
            let first = START + Duration::from_secs_f64(first);
            simulation.push(first, Event::CallArrives { server });
            let timer = START + TIMER_INTERVAL.mul_f64(simulation.random.rand_float());
            simulation.push(timer, Event::Timer { server });
        }
        simulation.begin_row();
        simulation
    }

    /// All others hold a server to be active, in its present incarnation.
    fn introduce(&mut self, server: usize) {
        let (incarnation, zone) = (
            self.nodes[server].incarnation,
            zone_name(self.nodes[server].zone),
        );
        let others = self.nodes.iter_mut().enumerate();
        for (_, node) in others.filter(|(other, _)| *other != server) {
            node.upstream
                .update_peer(&server_name(server), incarnation, &zone, true);
        }
    }

    /// Draws from the exponential distribution with this mean.
    fn draw(&mut self, mean: f64) -> f64 {
        -(1.0 - self.random.rand_float()).ln() * mean
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.events.push(at, event);
    }

    /// A number for a call or an attempt, larger than all before.
    fn new_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Fault: what a backend does from here on. Calls in flight at one that is down or fails are
    /// disconnected.
    pub fn mode(&mut self, backend: usize, mode: BackendFault) {
        self.backends[backend].fault = mode;
        if matches!(mode, BackendFault::Down | BackendFault::Fails) {
            self.disconnect(backend);
        }
    }

    /// Fault: whether nothing that a server sends reaches any backend.
    pub fn cut_off(&mut self, server: usize, cut: bool) {
        self.nodes[server].cut_off = cut;
    }

    /// Fault: backends of which a server reports to the others that all calls fail.
    pub fn lies(&mut self, server: usize, of: Vec<usize>) {
        self.nodes[server].lies = of;
    }

    /// A server begins another incarnation without any knowledge of the backends.
    pub fn restart(&mut self, who: usize) {
        let seed = self.random.rand_u64();
        let zone = self.nodes[who].zone;
        let mut upstream = UpstreamManager::new(
            self.now,
            seed,
            self.setup.settings_in(zone),
            self.setup.all_backends(),
        );
        for (other, node) in self.nodes.iter().enumerate() {
            if other != who {
                let zone = zone_name(node.zone);
                upstream.update_peer(&server_name(other), node.incarnation, &zone, true);
            }
        }
        self.nodes[who].upstream = upstream;
        self.nodes[who].incarnation += 1;
        self.introduce(who);
    }

    /// All servers reload with these backends.
    pub fn reload(&mut self, which: &[usize]) {
        for node in &mut self.nodes {
            let backends = which
                .iter()
                .map(|backend| backend_settings(*backend, self.setup.zones))
                .collect();
            let settings = self.setup.settings_in(node.zone);
            node.upstream.reload(self.now, settings, backends);
        }
    }

    /// From here on this many calls a second arrive at each server.
    pub fn rate(&mut self, rate: f64) {
        self.setup.rate = rate;
    }

    /// Lets simulated time pass.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some((at, event)) = self.events.pop_until(end) {
            self.now = at;
            while self.now >= START + ROW.mul_f64(self.rows.len() as f64) {
                self.begin_row();
            }
            self.handle(event);
        }
        self.now = end;
    }

    /// The simulated time since the start.
    pub fn at(&self) -> Duration {
        self.now - START
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::CallArrives { server } => {
                let next = self.draw(1.0 / self.setup.rate);
                let next = self.now + Duration::from_secs_f64(next);
                self.push(next, Event::CallArrives { server });
                self.call_arrives(server);
            }
            Event::AttemptArrives { attempt } => self.attempt_arrives(attempt),
            Event::AttemptWorked { attempt, backend } => self.attempt_worked(attempt, backend),
            Event::AttemptEnds { attempt, outcome } => self.attempt_ends(attempt, outcome),
            Event::CallTimesOut { call } => self.call_times_out(call),
            Event::HedgeDue { call } => self.hedge(call),
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
                if self.nodes[from].incarnation == incarnation {
                    let upstream = &mut self.nodes[to].upstream;
                    upstream.handle_datagram(self.now, &server_name(from), &bytes);
                }
            }
        }
    }
}

impl Node {
    fn new(server: usize, setup: &BackendFleetSetup, seed: u64) -> Node {
        let zone = server % setup.zones;
        let settings = setup.settings_in(zone);
        Node {
            zone,
            upstream: UpstreamManager::new(START, seed, settings, setup.all_backends()),
            in_flight: vec![0; setup.backends],
            last_used: server,
            cut_off: false,
            lies: vec![],
            incarnation: 1,
        }
    }
}
