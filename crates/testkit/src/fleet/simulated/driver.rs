//! Advances simulated time: passes events to the servers' state machines, and performs the effects
//! that these request, such as datagrams and timers.

use super::{Event, SimulatedFleet, address};
use madderbay::time::{Duration, Timestamp};
use madderbay_membership::{MemberState, MembershipEvent};
use madderbay_quota::FleetQuotas;
use madderbay_upstream::FleetStack;
use std::net::SocketAddr;

/// Added to twice the suspicion timeout. Until this long after a disruption, a server that is
/// declared down is not counted as wrongly declared.
const DISRUPTION_MARGIN: Duration = Duration::from_millis(2_000);

impl SimulatedFleet {
    /// Advances simulated time by this duration and handles the events that are due.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some((at, event)) = self.events.pop_until(until) {
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Timer {
                server,
                incarnation,
            } => self.timer_fired(server, incarnation),
            Event::CallEnded {
                server,
                incarnation,
            } => self.call_ended(server, incarnation),
            Event::Requests => self.requests_arrive(),
            Event::Datagram { to, from, bytes } => {
                let node = &mut self.nodes[to];
                if node.stopped {
                    node.buffer(from, bytes);
                } else {
                    self.drive(to, |stack, now| stack.handle_datagram(now, from, &bytes));
                }
            }
        }
    }

    /// Handles a timer. Timers of former incarnations and timers that were rescheduled are ignored.
    fn timer_fired(&mut self, server: usize, incarnation: u32) {
        let node = &mut self.nodes[server];
        let due = node.timer.is_some_and(|timer| timer <= self.now);
        if node.incarnation == incarnation && due {
            node.timer = None;
            self.drive(server, FleetStack::handle_timeout);
        }
    }

    /// Runs an action on a server's state machines, then sends their datagrams, sets their timer
    /// and handles their events. Does nothing if the server does not run or is stopped.
    pub(super) fn drive(&mut self, server: usize, action: impl FnOnce(&mut FleetStack, Timestamp)) {
        let node = &mut self.nodes[server];
        let clock = node.clock(self.now);
        let Some(stack) = node.active_stack() else {
            return;
        };
        action(stack, clock);
        let datagrams = stack.take_datagrams();
        let changes = stack.membership_mut().take_events();
        let timeout = stack.next_timeout().max(clock);
        let quotas = stack.quotas_mut();
        let quota_events = quotas.map_or(vec![], FleetQuotas::take_events);
        self.set_timer(server, timeout);
        for event in quota_events {
            self.log_line(server, format_args!(": {event}"));
        }
        self.start_calls(server);
        for (to, bytes) in datagrams {
            self.send(server, to, &bytes);
        }
        for change in changes {
            self.membership_changed(server, &change);
        }
    }

    /// Sets a server's timer to a time on the server's clock. A timer that is already set is kept
    /// if it is due no later and has not passed.
    fn set_timer(&mut self, server: usize, timeout: Timestamp) {
        let node = &mut self.nodes[server];
        let at = node.simulated_time(timeout).max(self.now);
        if node
            .timer
            .is_none_or(|timer| at < timer || timer < self.now)
        {
            node.timer = Some(at);
            let incarnation = node.incarnation;
            let timer = Event::Timer {
                server,
                incarnation,
            };
            self.push(at, timer);
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: &[u8]) {
        let Some(to) = self.server_by_address.get(&to).copied() else {
            return;
        };
        for (delay, bytes) in self.network.carry(from, to, bytes) {
            let from = address(from);
            self.push(self.now + delay, Event::Datagram { to, from, bytes });
        }
    }

    /// Logs a change in a server's view. Counts it if the observer wrongly declared another server
    /// down.
    fn membership_changed(&mut self, observer: usize, change: &MembershipEvent) {
        self.log_line(observer, format_args!(": {change}"));
        let MembershipEvent::StateChanged {
            address,
            to: MemberState::Down,
            ..
        } = change
        else {
            return;
        };
        let Some(of) = self.server_by_address.get(address).copied() else {
            return;
        };
        let node = &self.nodes[of];
        let runs = node.stack.is_some() && !node.stopped;
        let recently_disrupted =
            self.was_recently_disrupted(of) || self.was_recently_disrupted(observer);
        if runs && !recently_disrupted && self.network.connects_both_ways(observer, of) {
            self.wrongly_down += 1;
        }
    }

    /// Reports whether a server was disrupted so recently that it may rightly be declared down.
    fn was_recently_disrupted(&self, server: usize) -> bool {
        let grace_period = self.setup.suspicion.mul_f64(2.0) + DISRUPTION_MARGIN;
        self.now - self.last_disruption[server] < grace_period
    }
}
