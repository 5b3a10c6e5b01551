//! Performs the actions of a script on simulated servers.

use super::{Event, SimulatedFleet, address};
use crate::fleet::script::{Action, ActionError};
use madderbay::time::Duration;
use madderbay_upstream::FleetStack;

/// Time from the start of a drain until the server leaves the fleet.
const DRAIN_TIME: Duration = Duration::from_millis(1_000);

impl SimulatedFleet {
    pub(super) fn perform(&mut self, action: &Action) -> Result<(), ActionError> {
        match action {
            Action::Start {
                who,
                name,
                clock,
                back,
            } => self.start(*who, *name, *clock, *back),
            Action::Kill(server) => self.nodes[*server].stack = None,
            Action::Stop(server) => self.nodes[*server].stopped = true,
            Action::Continue(server) => self.resume(*server),
            Action::Drain(server) => self.drain(*server),
            Action::Demand(server, demand) => {
                self.nodes[*server].work.demand = *demand;
                self.start_calls(*server);
            }
            Action::SetCapacity { server, capacity } => self.set_capacity(*server, *capacity),
            Action::CheckPeak(most) => self.check_peak(*most)?,
            Action::Cut(_) | Action::Heal => {
                self.network.act(action);
                self.last_disruption = vec![self.now; self.setup.servers];
            }
            Action::OneWay(..) | Action::Network { .. } => self.network.act(action),
            Action::Replay(server) => self.replay(*server),
            Action::Advance(time) => self.run(*time),
            Action::CheckWronglyDown(most) => self.check_wrongly_down(*most)?,
        }
        Ok(())
    }

    /// Continues a stopped server. Its timer and its socket are ready at the same time, so the
    /// order in which it handles them is drawn at random.
    fn resume(&mut self, server: usize) {
        self.last_disruption[server] = self.now;
        let node = &mut self.nodes[server];
        node.stopped = false;
        let ended = std::mem::take(&mut node.work.calls_ended_while_stopped);
        let now = node.clock(self.now);
        let quotas = node.stack.as_mut().and_then(|stack| stack.quotas_mut());
        if let Some(budget) = quotas.and_then(|quotas| quotas.budgets_mut().first_mut()) {
            (0..ended).for_each(|_| budget.call_ended(now));
        }
        if self.random.rand_float() < 0.5 {
            self.drive(server, FleetStack::handle_timeout);
        }
        for (from, bytes) in std::mem::take(&mut self.nodes[server].buffered) {
            self.drive(server, |stack, now| {
                stack.handle_datagram(now, from, &bytes);
            });
        }
        self.drive(server, FleetStack::handle_timeout);
    }

    /// Has a server drain for [`DRAIN_TIME`] of simulated time, leave the fleet and end.
    fn drain(&mut self, server: usize) {
        self.drive(server, |stack, now| stack.membership_mut().drain(now));
        self.run(DRAIN_TIME);
        self.drive(server, |stack, now| stack.membership_mut().leave(now));
        self.nodes[server].stack = None;
    }

    fn set_capacity(&mut self, server: usize, capacity: u32) {
        self.nodes[server].work.capacity = Some(capacity);
        let name_index = self.nodes[server].name;
        let settings = self.quota_settings(server, name_index);
        let budgets = settings.map_or(vec![], |settings| settings.budgets);
        self.drive(server, |stack, now| {
            if let Some(quotas) = stack.quotas_mut() {
                quotas.reload(now, &budgets);
            }
        });
    }

    /// Fails if more calls than `most` were in flight at any time since the last check, and starts
    /// a new measurement.
    fn check_peak(&mut self, most: u32) -> Result<(), ActionError> {
        let peak = std::mem::replace(&mut self.peak, self.calls.in_flight());
        if peak > most {
            let peak = u64::from(peak);
            return Err(ActionError::TooManyCalls { peak, most });
        }
        Ok(())
    }

    /// Fails if servers were wrongly declared down more often than `most` times.
    fn check_wrongly_down(&self, most: usize) -> Result<(), ActionError> {
        let count = self.wrongly_down;
        if count > most {
            return Err(ActionError::WronglyDown { count });
        }
        Ok(())
    }

    /// Delivers the retained datagrams of a server again, without delay.
    fn replay(&mut self, to: usize) {
        for (from, bytes) in self.network.retained(to) {
            let from = address(from);
            self.push(self.now, Event::Datagram { to, from, bytes });
        }
    }
}
