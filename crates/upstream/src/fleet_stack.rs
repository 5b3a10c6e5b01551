//! The view and what rests on it, driven as one: datagrams, time and chance in; datagrams, due times and
//! changes out. The program and the simulations drive the very same.

use crate::manager::UpstreamManager;
use madderbay::time::Timestamp;
use madderbay_membership::{MemberState, Membership, Subsystem};
use madderbay_quota::{FleetQuotas, Peer};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

pub struct FleetStack {
    pub members: Membership,
    pub shared: Option<FleetQuotas>,
    /// The calls' side asks it too, at any moment.
    pub routes: Option<Rc<RefCell<UpstreamManager>>>,
}

impl FleetStack {
    pub fn new(members: Membership, shared: Option<FleetQuotas>) -> FleetStack {
        FleetStack {
            members,
            shared,
            routes: None,
        }
    }

    pub fn handle_datagram(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) {
        self.members.received(now, from, bytes);
        self.meet(now);
    }

    /// The time has come for what was due, of any part.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        self.members.handle_timeout(now);
        self.meet(now);
    }

    fn meet(&mut self, now: Timestamp) {
        if let Some(shared) = &mut self.shared {
            shared.set_incarnation(now, self.members.local_identity().incarnation);
        }
        // Only what has changed: in a storm of news the whole view would be read anew for each.
        for name in self.members.take_changed_members() {
            let found = self
                .members
                .member(&name)
                .filter(|f| f.1 != MemberState::Left);
            if let Some(routes) = &self.routes {
                let mut routes = routes.borrow_mut();
                match found {
                    Some((id, state)) => routes.update_peer(
                        &name,
                        id.incarnation,
                        &id.zone,
                        state != MemberState::Down,
                    ),
                    None => routes.remove_peer(&name),
                }
            }
            let Some(shared) = &mut self.shared else {
                continue;
            };
            match found {
                Some((id, state)) => {
                    shared.update_peer(
                        now,
                        Peer {
                            name,
                            incarnation: id.incarnation,
                            active: state != MemberState::Down,
                        },
                    );
                }
                None => shared.remove_peer(now, &name),
            }
        }
        for (from, part, words) in self.members.take_subsystem_messages() {
            match (part, &mut self.shared, &self.routes) {
                (Subsystem::Quota, Some(shared), _) => shared.handle_datagram(now, &from, &words),
                (Subsystem::Upstream, _, Some(routes)) => {
                    routes.borrow_mut().handle_datagram(now, &from, &words)
                }
                _ => {}
            }
        }
        if let Some(shared) = &mut self.shared {
            shared.handle_timeout(now);
            for (to, words) in shared.take_datagrams() {
                self.members
                    .send_subsystem_message(&to, Subsystem::Quota, &words);
            }
        }
        if let Some(routes) = &self.routes {
            let mut routes = routes.borrow_mut();
            routes.set_stalled(self.members.is_degraded());
            routes.handle_timeout(now);
            for (to, words) in routes.take_datagrams() {
                self.members
                    .send_subsystem_message(&to, Subsystem::Upstream, &words);
            }
        }
    }

    /// When it has to be told the time next.
    pub fn next_timeout(&self) -> Timestamp {
        let shared = self.shared.as_ref().map(FleetQuotas::next_timeout);
        let routes = self.routes.as_ref().map(|r| r.borrow().next_timeout());
        [shared, routes]
            .into_iter()
            .flatten()
            .fold(self.members.next_timeout(), Timestamp::min)
    }

    pub fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        self.members.take_outgoing()
    }
}
