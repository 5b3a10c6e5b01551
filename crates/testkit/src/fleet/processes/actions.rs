//! Performs the actions of a script on real server processes.

use super::operator_file::{self, QUOTA_SECTION, millis};
use super::{Node, ProcessFleet};
use crate::fleet::script::{Action, ActionError};
use std::path::Path;

impl ProcessFleet {
    pub(super) fn perform(&mut self, action: &Action) -> Result<(), ActionError> {
        match action {
            Action::Start {
                who,
                name,
                clock,
                back,
            } => {
                let sign = if *back { "-" } else { "" };
                self.start(*who, *name, &format!("{sign}{}", millis(*clock)));
            }
            Action::Kill(server) => {
                self.interrupt_load(*server);
                self.nodes[*server].server = None;
            }
            Action::Stop(server) => self.stop(*server)?,
            Action::Continue(server) => self.resume(*server)?,
            Action::Drain(server) => self.drain(*server)?,
            Action::Demand(server, demand) => {
                self.nodes[*server].demand = *demand;
                self.restart_load(*server);
            }
            Action::SetCapacity { server, capacity } => self.set_capacity(*server, *capacity)?,
            Action::CheckPeak(most) => self.check_peak(*most)?,
            Action::Cut(groups) => {
                for (number, group) in (1..).zip(groups) {
                    group
                        .iter()
                        .for_each(|server| self.partition[*server] = number);
                }
                self.relays.act(action);
            }
            Action::Heal => {
                self.partition.fill(0);
                self.relays.act(action);
            }
            Action::OneWay(..) | Action::Network { .. } | Action::Replay(_) => {
                self.relays.act(action);
            }
            Action::Advance(_) | Action::CheckWronglyDown(_) => {
                return Err(ActionError::SimulatedOnly);
            }
        }
        Ok(())
    }

    fn stop(&mut self, server: usize) -> Result<(), ActionError> {
        self.interrupt_load(server);
        let node = &mut self.nodes[server];
        node.running()?.signal("-STOP");
        node.stopped = true;
        Ok(())
    }

    fn resume(&mut self, server: usize) -> Result<(), ActionError> {
        self.interrupt_load(server);
        let node = &mut self.nodes[server];
        node.running()?.signal("-CONT");
        node.stopped = false;
        self.restart_load(server);
        Ok(())
    }

    /// Sends SIGTERM to a server, so that it drains, and waits until it has exited.
    fn drain(&mut self, server: usize) -> Result<(), ActionError> {
        self.interrupt_load(server);
        let process = self.nodes[server].server.take();
        let process = process.ok_or(ActionError::NotRunning)?;
        process.signal("-TERM");
        process.over();
        Ok(())
    }

    fn set_capacity(&mut self, server: usize, capacity: u32) -> Result<(), ActionError> {
        let node = &mut self.nodes[server];
        node.capacity = capacity;
        let path = operator_path(node)?;
        let text = std::fs::read_to_string(path)?;
        let sections_before = text.split(QUOTA_SECTION).next().unwrap_or_default();
        let quota = operator_file::quota(&self.setup, node.name, capacity);
        std::fs::write(path, format!("{sections_before}{quota}"))?;
        node.running()?.signal("-HUP");
        Ok(())
    }

    fn check_peak(&self, most: u32) -> Result<(), ActionError> {
        let peak = self.nodes[0].catalogue.peak() as u64;
        if peak > u64::from(most) {
            return Err(ActionError::TooManyCalls { peak, most });
        }
        Ok(())
    }

    /// Edits the operator file of a server and sends SIGHUP, so that the server reloads it.
    ///
    /// # Panics
    ///
    /// If the server does not run, or if its operator file cannot be read or written.
    pub fn rewrite(&self, server: usize, edit: impl Fn(&str) -> String) {
        let server = self.server(server).expect("the server runs");
        let path = server
            .operator
            .as_ref()
            .expect("the server has an operator file");
        let text = std::fs::read_to_string(path).expect("a readable operator file");
        std::fs::write(path, edit(&text)).expect("a writable operator file");
        server.signal("-HUP");
    }
}

fn operator_path(node: &Node) -> Result<&Path, ActionError> {
    let path = node.running()?.operator.as_deref();
    path.ok_or(ActionError::NoOperatorFile)
}
