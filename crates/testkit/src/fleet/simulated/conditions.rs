//! Checks script conditions against the state of the simulated servers.

use super::{SimulatedFleet, name};
use crate::fleet::script::ConditionChecks;
use madderbay_membership::{Connectivity, MemberState, Membership, Phase};
use madderbay_quota::budget::Budget;
use std::collections::HashMap;

impl ConditionChecks for SimulatedFleet {
    fn unsettled(&self) -> Option<String> {
        let present = self.present_servers();
        let mut sizes: HashMap<usize, usize> = HashMap::new();
        for server in &present {
            *sizes.entry(self.network.partition(*server)).or_default() += 1;
        }
        // For each partition group, the first server and the digest of its view.
        let mut digests: HashMap<usize, (usize, u64)> = HashMap::new();
        for server in present {
            let members = self.members(server)?;
            let partition = self.network.partition(server);
            let others = sizes[&partition] - 1;
            let active = members.active_count();
            if active != others {
                return Some(format!(
                    "{} has {active} other members, expected {others}",
                    name(server)
                ));
            }
            let digest = members.digest();
            let (first, first_digest) = *digests.entry(partition).or_insert((server, digest));
            if first_digest != digest {
                return Some(format!(
                    "the views of {} and {} differ",
                    name(first),
                    name(server)
                ));
            }
            if members.local_identity().phase == Phase::Joining {
                return Some(format!("{} is still joining", name(server)));
            }
        }
        // Within a partition group all digests are equal and all views have as many members as
        // servers run. The views are therefore equal, and it is enough to check one of them.
        digests
            .values()
            .find_map(|(server, _)| self.find_suspect(*server))
    }

    fn wrong_state(
        &self,
        observers: &[usize],
        member: usize,
        expected: Option<MemberState>,
    ) -> Option<String> {
        observers.iter().find_map(|observer| {
            let members = self.nodes[*observer].active_members()?;
            let state = members.member_state(&name(member));
            (state != expected)
                .then(|| format!("{} reports {} as {state:?}", name(*observer), name(member)))
        })
    }

    fn wrong_connectivity(&self, servers: &[usize], expected: Connectivity) -> Option<String> {
        servers.iter().find_map(|server| {
            let connectivity = self.nodes[*server].active_members()?.connectivity();
            (connectivity != expected)
                .then(|| format!("{} reports connectivity {connectivity:?}", name(*server)))
        })
    }

    fn quota_outside(&self, servers: &[usize], least: u32, most: u32) -> Option<String> {
        servers.iter().find_map(|server| {
            let now = self.nodes[*server].clock(self.now);
            let usable = self.shared(*server)?.budgets().first()?.usable(now);
            (usable < least || usable > most).then(|| {
                format!(
                    "{} may use {usable} calls, outside the expected range from {least}",
                    name(*server)
                )
            })
        })
    }

    fn in_flight(&self, servers: &[usize]) -> u32 {
        let budgets = servers
            .iter()
            .filter_map(|server| self.shared(*server)?.budgets().first());
        budgets.map(Budget::in_use).sum()
    }
}

impl SimulatedFleet {
    /// Returns the servers that run and are not stopped, except those whose name another server has
    /// taken over.
    fn present_servers(&self) -> Vec<usize> {
        let has_own_name = |members: &Membership| {
            members.member_state(&members.local_identity().name) != Some(MemberState::Down)
        };
        (0..self.nodes.len())
            .filter(|server| {
                self.nodes[*server]
                    .active_members()
                    .is_some_and(has_own_name)
            })
            .collect()
    }

    /// Describes a member that a server suspects; `None` if it suspects none.
    fn find_suspect(&self, server: usize) -> Option<String> {
        let view = self.members(server)?.view();
        let suspect = view
            .members
            .iter()
            .find(|member| member.state == MemberState::Suspect)?;
        Some(format!("{} is suspected", suspect.name))
    }
}
