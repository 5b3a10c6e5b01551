//! The protocols between the servers of a fleet: membership, and on top of it quotas and upstream backends. The server
//! and the simulations run the same code.
//!
//! [`FleetStack`] determines the order in which the parts run. It is given datagrams and the time, and returns
//! datagrams to send and the time of its next timeout. It does no I/O.

use crate::manager::UpstreamManager;
use compact_str::CompactString;
use madderbay::time::Timestamp;
use madderbay_membership::{MemberState, Membership, Subsystem};
use madderbay_quota::{FleetQuotas, Peer};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Membership and the subsystems that build on it.
pub struct FleetStack {
    membership: Membership,
    /// Quotas and replicated counters, if the operator configured any.
    quotas: Option<FleetQuotas>,
    /// The upstream backends, if the operator configured any. Shared with the server, whose calls use it at any time.
    upstream: Option<Rc<RefCell<UpstreamManager>>>,
}

impl FleetStack {
    /// Creates a stack without upstream backends.
    pub fn new(membership: Membership, quotas: Option<FleetQuotas>) -> FleetStack {
        FleetStack {
            membership,
            quotas,
            upstream: None,
        }
    }

    /// Sets the upstream backends whose observations are exchanged with the fleet. With `None` nothing is exchanged.
    pub fn set_upstream(&mut self, upstream: Option<Rc<RefCell<UpstreamManager>>>) {
        self.upstream = upstream;
    }

    /// Returns the view of the fleet.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the view of the fleet, to leave the fleet or to take its events.
    pub fn membership_mut(&mut self) -> &mut Membership {
        &mut self.membership
    }

    /// Returns the quotas and counters of the fleet, if the operator configured any.
    pub fn quotas(&self) -> Option<&FleetQuotas> {
        self.quotas.as_ref()
    }

    /// Returns the quotas and counters of the fleet for changes, if the operator configured any.
    pub fn quotas_mut(&mut self) -> Option<&mut FleetQuotas> {
        self.quotas.as_mut()
    }

    /// Processes a received datagram.
    pub fn handle_datagram(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) {
        self.membership.handle_datagram(now, from, bytes);
        self.drive_subsystems(now);
    }

    /// Does all work that is due at `now`.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        self.membership.handle_timeout(now);
        self.drive_subsystems(now);
    }

    /// Returns when [`handle_timeout`](Self::handle_timeout) is due next.
    pub fn next_timeout(&self) -> Timestamp {
        let quota = self.quotas.as_ref().map(FleetQuotas::next_timeout);
        let upstream = self
            .upstream
            .as_ref()
            .map(|upstream| upstream.borrow().next_timeout());
        let membership = self.membership.next_timeout();
        [quota, upstream]
            .into_iter()
            .flatten()
            .fold(membership, Timestamp::min)
    }

    /// Takes the datagrams to send, each with its destination.
    pub fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        self.membership.take_outgoing()
    }

    /// Passes membership changes and received payloads to the subsystems, and the payloads that they send to the
    /// membership.
    fn drive_subsystems(&mut self, now: Timestamp) {
        if let Some(quota) = &mut self.quotas {
            quota.set_incarnation(now, self.membership.local_identity().incarnation);
        }
        // Only the members that changed: reading the whole view for each of many changes would take too long.
        for name in self.membership.take_changed_members() {
            self.update_peer(now, name);
        }
        self.deliver_payloads(now);
        self.drive_quota(now);
        self.drive_upstream(now);
    }

    fn update_peer(&mut self, now: Timestamp, name: CompactString) {
        let member = self.membership.member(&name);
        match member.filter(|(_, state)| *state != MemberState::Left) {
            Some((identity, state)) => {
                let (incarnation, active) = (identity.incarnation, state != MemberState::Down);
                if let Some(upstream) = &self.upstream {
                    let zone = &identity.zone;
                    upstream
                        .borrow_mut()
                        .update_peer(&name, incarnation, zone, active);
                }
                if let Some(quota) = &mut self.quotas {
                    quota.update_peer(
                        now,
                        Peer {
                            name,
                            incarnation,
                            active,
                        },
                    );
                }
            }
            None => {
                if let Some(upstream) = &self.upstream {
                    upstream.borrow_mut().remove_peer(&name);
                }
                if let Some(quota) = &mut self.quotas {
                    quota.remove_peer(now, &name);
                }
            }
        }
    }

    fn deliver_payloads(&mut self, now: Timestamp) {
        for message in self.membership.take_subsystem_messages() {
            let (from, payload) = (&message.from, &message.payload);
            match (message.subsystem, &mut self.quotas, &self.upstream) {
                (Subsystem::Quota, Some(quota), _) => quota.handle_datagram(now, from, payload),
                (Subsystem::Upstream, _, Some(upstream)) => {
                    upstream.borrow_mut().handle_datagram(now, from, payload);
                }
                // The subsystem is disabled on this server.
                _ => {}
            }
        }
    }

    fn drive_quota(&mut self, now: Timestamp) {
        if let Some(quota) = &mut self.quotas {
            quota.handle_timeout(now);
            for (to, payload) in quota.take_datagrams() {
                self.membership
                    .send_subsystem_message(&to, Subsystem::Quota, &payload);
            }
        }
    }

    fn drive_upstream(&mut self, now: Timestamp) {
        if let Some(upstream) = &self.upstream {
            let mut upstream = upstream.borrow_mut();
            upstream.set_stalled(self.membership.is_degraded());
            upstream.handle_timeout(now);
            for (to, payload) in upstream.take_datagrams() {
                self.membership
                    .send_subsystem_message(&to, Subsystem::Upstream, &payload);
            }
        }
    }
}
