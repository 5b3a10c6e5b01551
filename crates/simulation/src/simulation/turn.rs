//! One turn of a server: its input is delivered, its event loop processes the input, and its output is transmitted.

use super::Simulation;
use crate::event_queue::Event;
use crate::ids::{ServerId, ServerIncarnation};
use crate::network::{self, LOCAL_DELAY};
use crate::report::BackendTransition;
use madderbay_upstream::{BackendEvent, BackendState};
use std::net::SocketAddr;

impl Simulation {
    /// Runs a turn of a server if the wake-up that fires is the one that was scheduled last.
    pub(super) fn wake_up(&mut self, target: ServerIncarnation) {
        let now = self.now;
        if self.node_mut(target.server).take_wake_up(target, now) {
            self.run_turn(target.server);
        }
    }

    /// Delivers a notice from the engine to its server.
    pub(super) fn receive_notice(&mut self, target: ServerIncarnation, line: &str) {
        let now = self.now;
        let process = self.node_mut(target.server).process_mut();
        process.receive_notice(now, line);
        self.run_turn(target.server);
    }

    /// Delivers a datagram to a server.
    pub(super) fn receive_datagram(&mut self, server: ServerId, sender: SocketAddr, bytes: &[u8]) {
        let now = self.now;
        self.node_mut(server).receive_datagram(now, sender, bytes);
        self.run_turn(server);
    }

    /// Runs one turn of a server, transmits its output, and schedules its next wake-up.
    pub(super) fn run_turn(&mut self, server: ServerId) {
        let now = self.now;
        let target = self.node(server).incarnation();
        for line in self.node_mut(server).run_turn(now) {
            self.send_notice(target, line);
        }
        self.transmit_output(server);
        if let Some(due) = self.node_mut(server).schedule_wake_up(now) {
            self.queue.push(due, Event::WakeUp(target));
        }
    }

    /// Schedules the delivery of a notice from the engine to its server.
    pub(super) fn send_notice(&mut self, target: ServerIncarnation, line: String) {
        let due = self.now + LOCAL_DELAY;
        self.queue.push(due, Event::EngineNotice { target, line });
    }

    fn transmit_output(&mut self, server: ServerId) {
        let process = self.node_mut(server).process_mut();
        process.open_wanted_connections();
        self.receive_answers(server);
        self.execute_engine_commands(server);
        for connection in self.node(server).process().connections() {
            self.transmit_calls(server, connection);
        }
        self.transmit_datagrams(server);
        self.record_transitions(server);
    }

    fn transmit_datagrams(&mut self, server: ServerId) {
        let sender = network::server_address(server);
        let datagrams = self.node_mut(server).process_mut().take_datagrams();
        for (address, datagram) in datagrams {
            self.row.datagram_bytes += datagram.len() as u64;
            let Some(receiver) = self.network.server_at(address) else {
                continue;
            };
            for (delay, bytes) in self.network.transmit(server, receiver, &datagram) {
                let arrival = Event::Datagram {
                    server: receiver,
                    sender,
                    bytes,
                };
                self.queue.push(self.now + delay, arrival);
            }
        }
    }

    fn record_transitions(&mut self, server: ServerId) {
        let events = self.node_mut(server).process_mut().take_backend_events();
        for transition in events.iter().filter_map(transition_of) {
            let times = self.transitions.entry(transition).or_default();
            times.push(self.now);
        }
    }
}

fn transition_of(event: &BackendEvent) -> Option<BackendTransition> {
    match event {
        BackendEvent::Ejected { .. } => Some(BackendTransition::Ejected),
        BackendEvent::StateChanged {
            to: BackendState::SlowStart,
            ..
        } => Some(BackendTransition::Readmitted),
        _ => None,
    }
}
