//! Checks script conditions against the reports of real servers.

use super::{MembershipReport, ProcessFleet, name};
use crate::fleet::script::ConditionChecks;
use madderbay_membership::{Connectivity, MemberState};

/// A server's membership report, with the index of the server.
struct MemberView {
    server: usize,
    report: MembershipReport,
}

impl ConditionChecks for ProcessFleet {
    fn unsettled(&self) -> Option<String> {
        let views = match self.views() {
            Ok(views) => views,
            Err(server) => return Some(no_answer(server)),
        };
        views.iter().find_map(|view| self.view_error(view, &views))
    }

    fn wrong_state(
        &self,
        observers: &[usize],
        member: usize,
        expected: Option<MemberState>,
    ) -> Option<String> {
        self.find_wrong_report(observers, |observer, report| {
            let reported = report.states.get(&name(member)).copied();
            (reported != expected).then(|| {
                format!(
                    "{} reports {} as {reported:?}",
                    name(observer),
                    name(member)
                )
            })
        })
    }

    fn wrong_connectivity(&self, servers: &[usize], expected: Connectivity) -> Option<String> {
        self.find_wrong_report(servers, |server, report| {
            let reported = report.connectivity;
            (reported != Some(expected))
                .then(|| format!("{} reports connectivity {reported:?}", name(server)))
        })
    }

    fn quota_outside(&self, servers: &[usize], least: u32, most: u32) -> Option<String> {
        let mut answering = servers
            .iter()
            .copied()
            .filter(|server| self.nodes[*server].is_responsive());
        answering.find_map(|server| {
            let Some(report) = self.quota(server) else {
                return Some(no_answer(server));
            };
            let usable = report.usable;
            (usable < least || usable > most).then(|| {
                format!(
                    "{} may use {usable} calls; all servers: {}",
                    name(server),
                    self.all_quotas()
                )
            })
        })
    }

    fn in_flight(&self, servers: &[usize]) -> u32 {
        let reports = servers.iter().filter_map(|server| self.quota(*server));
        reports.map(|report| report.in_use).sum()
    }
}

impl ProcessFleet {
    /// Describes the first of these servers that does not answer or whose report `check` finds
    /// wrong. Servers that are stopped or do not run are skipped.
    fn find_wrong_report(
        &self,
        servers: &[usize],
        check: impl Fn(usize, &MembershipReport) -> Option<String>,
    ) -> Option<String> {
        let mut answering = servers
            .iter()
            .copied()
            .filter(|server| self.nodes[*server].is_responsive());
        answering.find_map(|server| match self.membership(server) {
            Some(report) => check(server, &report),
            None => Some(no_answer(server)),
        })
    }

    /// Returns the views of all running servers, except those whose name another server has taken
    /// over. The error is the index of a server that does not answer.
    fn views(&self) -> Result<Vec<MemberView>, usize> {
        let mut views = vec![];
        for (server, node) in self.nodes.iter().enumerate() {
            if !node.is_responsive() {
                continue;
            }
            let report = self.membership(server).ok_or(server)?;
            let own_state = report.states.get(&name(node.name));
            if own_state != Some(&MemberState::Down) {
                views.push(MemberView { server, report });
            }
        }
        Ok(views)
    }

    /// Describes the first fault in a view: other members than the connected servers, a member that
    /// is suspect or joining, or a digest that differs from that of a connected server.
    fn view_error(&self, view: &MemberView, all: &[MemberView]) -> Option<String> {
        let MemberView { server, report } = view;
        let connected = || {
            all.iter()
                .filter(|other| self.partition[other.server] == self.partition[*server])
        };
        let mut present: Vec<String> = connected()
            .map(|other| name(self.nodes[other.server].name))
            .collect();
        present.sort();
        let mut in_view: Vec<String> = report
            .states
            .iter()
            .filter(|(_, state)| !matches!(state, MemberState::Down | MemberState::Left))
            .map(|(member, _)| member.clone())
            .collect();
        in_view.sort();
        if in_view != present {
            return Some(format!(
                "{} has the members {in_view:?} in its view, expected {present:?}",
                name(*server)
            ));
        }
        let unsettled = report
            .states
            .iter()
            .find(|(_, state)| matches!(state, MemberState::Suspect | MemberState::Joining));
        if let Some((member, state)) = unsettled {
            return Some(format!("{} reports {member} as {state}", name(*server)));
        }
        let mut others = connected();
        let different = others.find(|other| other.report.digest != report.digest)?;
        Some(format!(
            "the views of {} and {} differ",
            name(*server),
            name(different.server)
        ))
    }
}

fn no_answer(server: usize) -> String {
    format!("{} does not answer", name(server))
}
