//! Simulates a fleet: each server runs the program's own core, membership, quotas and backend selection over simulated
//! connections in simulated time.
//!
//! [`Simulation`] owns the nodes, the network, the backends and the event queue. All random choices derive from one
//! seed, and events due at the same time are handled in a fixed order, so the same history and seed give the same
//! report.

mod engine_commands;
mod faults;
mod requests;
mod sampling;
mod settling;
mod turn;
mod upstream_calls;

use crate::clock::{self, NodeClock};
use crate::event_queue::{Event, EventQueue};
use crate::history::History;
use crate::ids::ServerId;
use crate::invariants::InvariantChecker;
use crate::network::FleetNetwork;
use crate::node::Node;
use crate::report::{BackendTransition, SecondRow, SimulationReport};
use crate::upstream::BackendSet;
use crate::workload;
use madderbay::time::{Duration, Timestamp};
use madderbay_settings::Settings;
use oorandom::Rand64;
use settling::ConvergenceTracker;
use std::collections::BTreeMap;

/// The time that one row of the report covers.
const ROW_INTERVAL: Duration = Duration::from_millis(1_000);
/// Transitions of one kind within this time count as simultaneous.
const SIMULTANEITY_WINDOW: Duration = Duration::from_millis(100);

/// The state of a fleet while a history is simulated.
pub(crate) struct Simulation {
    history: History,
    settings: Settings,
    now: Timestamp,
    random: Rand64,
    queue: EventQueue,
    nodes: Vec<Node>,
    network: FleetNetwork,
    backends: BackendSet,
    /// The row of the current second.
    row: SecondRow,
    rows: Vec<SecondRow>,
    checker: InvariantChecker,
    convergence: ConvergenceTracker,
    transitions: BTreeMap<BackendTransition, Vec<Timestamp>>,
}

impl Simulation {
    /// Starts all servers of a history and schedules its faults.
    pub(crate) fn new(history: History, seed: u64) -> Simulation {
        let mut random = Rand64::new(u128::from(seed) + 1);
        let clocks: Vec<NodeClock> = (0..history.servers)
            .map(|_| NodeClock::draw(&mut random))
            .collect();
        let now = clock::start();
        let mut simulation = Simulation {
            settings: workload::settings(history.servers),
            now,
            random,
            queue: EventQueue::default(),
            nodes: vec![],
            network: FleetNetwork::new(history.servers, seed + 2),
            backends: BackendSet::new(history.backends),
            row: SecondRow::default(),
            rows: vec![],
            checker: InvariantChecker::default(),
            convergence: ConvergenceTracker::new(now),
            transitions: BTreeMap::new(),
            history,
        };
        for clock in clocks {
            simulation.add_node(clock);
        }
        simulation.schedule_faults();
        simulation.queue.push(now + ROW_INTERVAL, Event::SecondEnd);
        simulation
    }

    fn add_node(&mut self, clock: NodeClock) {
        let server = ServerId(self.nodes.len());
        let seed = self.random.rand_u64();
        let node = Node::new(server, clock, self.now, seed, &self.history, &self.settings);
        self.nodes.push(node);
        self.begin_service(server);
    }

    fn schedule_faults(&mut self) {
        for (index, scheduled) in self.history.faults.iter().enumerate() {
            let due = clock::instant_at_ms(scheduled.at_ms);
            self.queue.push(due, Event::FaultDue(index));
        }
    }

    /// Schedules the first client request to a server that has started, and runs the server's first turn.
    fn begin_service(&mut self, server: ServerId) {
        self.schedule_request(server);
        self.run_turn(server);
    }

    /// Simulates the history to its end and returns the report.
    pub(crate) fn run(mut self) -> SimulationReport {
        let end = clock::instant_at_ms(self.history.seconds * 1_000);
        while let Some((due, event)) = self.queue.pop_until(end) {
            self.now = self.now.max(due);
            self.dispatch(event);
        }
        self.finish(end)
    }

    fn node(&self, server: ServerId) -> &Node {
        &self.nodes[server.0]
    }

    fn node_mut(&mut self, server: ServerId) -> &mut Node {
        &mut self.nodes[server.0]
    }

    fn dispatch(&mut self, event: Event) {
        let Some(event) = self.deliver_or_hold(event) else {
            return;
        };
        match event {
            Event::RequestDue(target) => self.send_request(target),
            Event::WakeUp(target) => self.wake_up(target),
            Event::EngineNotice { target, line } => self.receive_notice(target, &line),
            Event::Datagram {
                server,
                sender,
                bytes,
            } => self.receive_datagram(server, sender, &bytes),
            Event::CallArrival { backend, call } => self.handle_call_arrival(backend, call),
            Event::CallCompletion { backend, call_id } => {
                self.handle_call_completion(backend, call_id);
            }
            Event::Reply {
                target,
                connection,
                text,
            } => self.receive_reply(target, connection, &text),
            Event::ConnectionLost { target, connection } => {
                self.connection_lost(target, connection);
            }
            Event::AnswerDeadline { target, request_id } => {
                self.handle_answer_deadline(target, request_id);
            }
            Event::FaultDue(index) => self.inject(self.history.faults[index].fault),
            Event::SecondEnd => self.end_second(),
        }
    }

    /// Returns the event if it can be dispatched now. Holds an event for a paused process until the process continues,
    /// and drops an event for an incarnation that no longer runs.
    fn deliver_or_hold(&mut self, event: Event) -> Option<Event> {
        let target = match &event {
            Event::EngineNotice { target, .. }
            | Event::Reply { target, .. }
            | Event::ConnectionLost { target, .. } => *target,
            // A datagram is addressed to a server, so its current incarnation receives it.
            Event::Datagram { server, .. } => self.node(*server).incarnation(),
            _ => return Some(event),
        };
        self.node_mut(target.server).deliver_or_hold(target, event)
    }

    /// Runs the invariant checks that need the whole simulation, and builds the report.
    fn finish(mut self, end: Timestamp) -> SimulationReport {
        if self.history.features.membership && !self.convergence.has_converged() {
            let since_last_fault = self.convergence.time_since_last_fault(end);
            self.checker.check_divergence(self.now, since_last_fault);
        }
        let keyed_calls = self.backends.keyed_completions();
        self.checker.check_keyed_calls(self.now, &keyed_calls);
        for index in 0..self.nodes.len() {
            if self.nodes[index].is_up() {
                self.count_attempts(ServerId(index));
            }
        }
        let calls_per_first_attempt = self.checker.check_retries(self.now);
        SimulationReport {
            convergence_s: self.convergence.convergence_s(),
            simultaneous_transitions: max_simultaneous_by_kind(&self.transitions),
            calls_per_first_attempt,
            rows: self.rows,
            violations: self.checker.into_violations(),
        }
    }
}

/// Returns, for each kind of transition, the largest number of them within one [`SIMULTANEITY_WINDOW`].
fn max_simultaneous_by_kind(
    transitions: &BTreeMap<BackendTransition, Vec<Timestamp>>,
) -> BTreeMap<BackendTransition, u32> {
    transitions
        .iter()
        .map(|(transition, times)| (*transition, max_simultaneous(times)))
        .collect()
}

/// Returns the largest number of `times` within one [`SIMULTANEITY_WINDOW`]. `times` must be in ascending order.
fn max_simultaneous(times: &[Timestamp]) -> u32 {
    let within_window_of = |first: usize| {
        times[first..]
            .iter()
            .take_while(|time| **time - times[first] <= SIMULTANEITY_WINDOW)
            .count()
    };
    let most = (0..times.len()).map(within_window_of).max();
    most.unwrap_or(0) as u32
}
