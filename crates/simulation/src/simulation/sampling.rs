//! At the end of each second, counts and checks the servers' views of the fleet and of the backends.

use super::{ROW_INTERVAL, Simulation};
use crate::event_queue::Event;
use crate::ids::ServerId;
use crate::node::Process;
use madderbay_membership::MemberState;
use madderbay_upstream::BackendState;
use std::collections::BTreeMap;

/// The views of the fleet that the running servers hold at one time.
#[derive(Default)]
struct ViewSample {
    /// The number of servers that hold each view, by the digest of the view.
    servers_by_digest: BTreeMap<u64, u32>,
    suspected_members: usize,
}

impl ViewSample {
    /// Returns the number of servers whose view is not the most frequent one.
    fn divergent_views(&self) -> u32 {
        let counts = self.servers_by_digest.values();
        let most = counts.clone().max().copied().unwrap_or(0);
        counts.sum::<u32>() - most
    }

    fn has_converged(&self) -> bool {
        self.servers_by_digest.len() <= 1 && self.suspected_members == 0
    }
}

impl Simulation {
    /// Completes the row of the second that ends, and schedules the end of the next second.
    pub(super) fn end_second(&mut self) {
        let mut views = ViewSample::default();
        for index in 0..self.nodes.len() {
            if self.nodes[index].is_up() {
                self.row.running_servers += 1;
                self.sample_view(ServerId(index), &mut views);
                self.row.ejected_backends += ejected_backends(self.nodes[index].process());
            }
        }
        self.row.divergent_views = views.divergent_views();
        self.convergence.observe(self.now, views.has_converged());
        self.row.second = self.rows.len() as u64 + 1;
        let row = std::mem::take(&mut self.row);
        self.rows.push(row);
        self.queue.push(self.now + ROW_INTERVAL, Event::SecondEnd);
    }

    fn sample_view(&mut self, server: ServerId, views: &mut ViewSample) {
        let Some(fleet) = self.nodes[server.0].process().fleet() else {
            return;
        };
        let fleet = fleet.borrow();
        let digest = fleet.membership().digest();
        *views.servers_by_digest.entry(digest).or_default() += 1;
        let members = fleet.membership().view().members;
        views.suspected_members += members
            .iter()
            .filter(|member| matches!(member.state, MemberState::Suspect))
            .count();
        self.checker
            .check_member_table(self.now, server, members.len(), self.history.servers);
    }
}

fn ejected_backends(process: &Process) -> u32 {
    let Some(backends) = process.backends() else {
        return 0;
    };
    let manager = backends.manager().borrow();
    let is_ejected =
        |state: &BackendState| matches!(state, BackendState::Ejected | BackendState::Probing);
    manager.backend_states().filter(is_ejected).count() as u32
}
