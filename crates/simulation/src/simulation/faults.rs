//! Injects the faults of a history.

use super::Simulation;
use crate::clock;
use crate::event_queue::Event;
use crate::fault::{BackendFault, Fault};
use crate::ids::{BackendId, ServerId};
use crate::network::UPSTREAM_DELAY;

/// The smallest slowdown factor of an engine. A smaller factor in a history is raised to it.
const MIN_SLOWDOWN: f64 = 0.1;

impl Simulation {
    /// Injects a fault at the current time. A fault that does not apply in the state of its server, such as the kill of
    /// a server that is down, has no effect on the fleet.
    pub(super) fn inject(&mut self, fault: Fault) {
        self.convergence.record_fault(self.now);
        match fault {
            Fault::Kill(server) => self.kill(server),
            Fault::Start(server) => self.start(server),
            Fault::Stop(server) => self.node_mut(server).stop(),
            Fault::Continue(server) => self.continue_process(server),
            Fault::SlowEngine { server, factor } => self.slow_engine(server, factor),
            Fault::Backend { backend, fault } => self.set_backend_fault(backend, fault),
            Fault::Load { server, factor } => self.node_mut(server).set_load(factor),
            Fault::PartitionHalves
            | Fault::Isolate(_)
            | Fault::BlockOutgoing(_)
            | Fault::Heal
            | Fault::Datagrams(_)
            | Fault::ClearDatagramFaults => self.network.inject(fault),
        }
    }

    fn kill(&mut self, server: ServerId) {
        if !self.node(server).is_up() {
            return;
        }
        self.count_attempts(server);
        let incarnation = self.node(server).incarnation();
        self.node_mut(server).kill();
        self.backends.abandon_caller(incarnation);
    }

    fn start(&mut self, server: ServerId) {
        if self.node(server).is_up() {
            return;
        }
        let seed = self.random.rand_u64();
        self.nodes[server.0].restart(self.now, seed, &self.history, &self.settings);
        self.begin_service(server);
    }

    fn continue_process(&mut self, server: ServerId) {
        if !self.node(server).is_stopped() {
            return;
        }
        for event in self.node_mut(server).resume() {
            self.dispatch(event);
        }
        self.run_turn(server);
    }

    fn slow_engine(&mut self, server: ServerId, factor: f64) {
        let node = self.node_mut(server);
        let engine = node.process_mut().engine_mut();
        engine.set_slowdown(factor.max(MIN_SLOWDOWN));
        let is_running = node.is_up() && !node.is_stopped();
        if is_running && self.now > clock::start() {
            self.run_turn(server);
        }
    }

    /// Sets or clears the fault of a backend. Callers whose calls are lost are notified that their connections broke.
    fn set_backend_fault(&mut self, backend: BackendId, fault: Option<BackendFault>) {
        for call in self.backends.set_fault(backend, fault) {
            let lost = Event::ConnectionLost {
                target: call.caller,
                connection: call.connection,
            };
            self.queue.push(self.now + UPSTREAM_DELAY, lost);
        }
    }

    /// Adds the upstream attempts of a server's current incarnation to the totals of the fleet.
    pub(super) fn count_attempts(&mut self, server: ServerId) {
        if let Some(totals) = self.node(server).process().attempt_totals() {
            self.checker
                .count_attempts(totals.first_attempts, totals.retries);
        }
    }
}
