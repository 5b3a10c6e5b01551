//! A fleet in simulated time: the server's state machines on a simulated network.
//!
//! [`SimulatedFleet`](crate::fleet::simulated::SimulatedFleet) owns the servers' state machines,
//! their clocks and the queue of future events. The setup, the seed and the sequence of method
//! calls determine the whole simulation. It sends nothing over a real network and never sleeps.
//!
//! # What is simulated
//!
//! The simulation covers membership, and quotas and counters if the setup has them. Each server has
//! a monotonic clock with its own offset and drift. Calls under a quota have random durations.
//! Counted requests arrive at a given rate.

mod actions;
mod calls;
mod conditions;
mod counts;
mod driver;
mod node;
mod scripts;
mod start;

pub use scripts::run_all_scripts;

use self::calls::CallMeter;
use self::counts::TrueCounts;
use self::node::Node;
use super::network::SimulatedNetwork;
use super::script::{Action, ActionError, Condition, ConditionChecks, Fleet, FleetSetup, name};
use crate::event_queue::EventQueue;
use madderbay::time::{Duration, Timestamp};
use madderbay_membership::Membership;
use madderbay_quota::FleetQuotas;
use oorandom::Rand64;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Interval between two checks of a condition, in simulated time.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Simulated time at which a fleet is created.
const START: Timestamp = Timestamp::from_micros(1_000_000);
/// Minimum and maximum delay of a datagram without faults.
const BASE_DELAY: (Duration, Duration) = (Duration::from_micros(200), Duration::from_micros(2_000));
/// Number of servers whose addresses share the third octet.
const SERVERS_PER_SUBNET: usize = 250;
/// The port of every server.
const PORT: u16 = 7_946;

/// An event at a point in simulated time.
enum Event {
    /// The timer of an incarnation fires.
    Timer { server: usize, incarnation: u32 },
    Datagram {
        to: usize,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    /// A call that an incarnation has made ends.
    CallEnded { server: usize, incarnation: u32 },
    /// Counted requests arrive at all servers.
    Requests,
}

/// A simulated fleet under faults.
pub struct SimulatedFleet {
    setup: FleetSetup,
    now: Timestamp,
    random: Rand64,
    nodes: Vec<Node>,
    server_by_address: HashMap<SocketAddr, usize>,
    events: EventQueue<Timestamp, Event>,
    network: SimulatedNetwork,
    /// Number of times that a server was declared down although it ran and was connected to the
    /// observer.
    pub wrongly_down: usize,
    /// Log of the servers' events, one line per event. Nothing is logged while it is `None`.
    pub log: Option<Vec<String>>,
    /// For each server, the last time when it was started or continued, or when a partition of the
    /// fleet changed. For a while after that it may rightly be declared down.
    last_disruption: Vec<Timestamp>,
    /// Maximum number of calls in flight of all servers together since this was last set.
    pub peak: u32,
    calls: CallMeter,
    /// The true counts of all incarnations, in the order of their starts.
    true_counts: Vec<TrueCounts>,
    /// Number of estimates that violated their bounds, and number of all checked estimates.
    pub out_of_bounds: (u64, u64),
}

impl SimulatedFleet {
    /// Creates a fleet whose servers are not started yet.
    pub fn new(setup: FleetSetup, seed: u64) -> SimulatedFleet {
        let mut random = Rand64::new(u128::from(seed) + 1);
        let nodes = (0..setup.servers).map(|index| Node::new(index, &mut random));
        let nodes: Vec<Node> = nodes.collect();
        SimulatedFleet {
            now: START,
            server_by_address: (0..setup.servers)
                .map(|server| (address(server), server))
                .collect(),
            network: SimulatedNetwork::new(setup.servers, seed + 2, BASE_DELAY),
            last_disruption: vec![Timestamp::default(); setup.servers],
            setup,
            random,
            nodes,
            events: EventQueue::new(),
            wrongly_down: 0,
            log: None,
            peak: 0,
            calls: CallMeter::new(START),
            true_counts: vec![],
            out_of_bounds: (0, 0),
        }
    }

    /// Returns the membership of a server; `None` while the server does not run.
    pub fn members(&self, server: usize) -> Option<&Membership> {
        self.nodes[server].members()
    }

    /// Returns the quotas and counters of a server; `None` while the server does not run, or if the
    /// setup has neither.
    pub fn shared(&self, server: usize) -> Option<&FleetQuotas> {
        self.nodes[server].stack.as_ref()?.quotas()
    }

    /// Iterates over all running servers, including stopped ones, with their membership.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Membership)> {
        self.nodes
            .iter()
            .enumerate()
            .filter_map(|(server, node)| Some((server, node.members()?)))
    }

    fn push(&mut self, at: Timestamp, event: Event) {
        self.events.push(at, event);
    }

    /// Adds a line with the simulated time and the server's name to the log, if there is one.
    fn log_line(&mut self, server: usize, text: std::fmt::Arguments) {
        let secs = self.secs();
        if let Some(log) = &mut self.log {
            log.push(format!("{secs:9.3} {}{text}", name(server)));
        }
    }

    fn secs(&self) -> f64 {
        (self.now - Timestamp::default()).as_secs_f64()
    }
}

impl Fleet for SimulatedFleet {
    fn act(&mut self, action: &Action) -> Result<(), ActionError> {
        self.perform(action)
    }

    fn unmet(&mut self, condition: &Condition) -> Option<String> {
        self.unmet_condition(condition)
    }

    fn pass(&mut self) {
        self.run(CHECK_INTERVAL);
    }

    fn at(&self) -> Duration {
        self.now - Timestamp::default()
    }
}

/// Returns the simulated address of a server.
fn address(server: usize) -> SocketAddr {
    let subnet = (server / SERVERS_PER_SUBNET) as u8;
    let host = (server % SERVERS_PER_SUBNET) as u8 + 1;
    ([127, 1, subnet, host], PORT).into()
}
