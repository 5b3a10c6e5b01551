//! Checks script conditions through the queries that a fleet implements. A condition that does not
//! hold is described in one line.

use super::Condition;
use madderbay_membership::{Connectivity, MemberState};

/// The checks that a fleet implements on its servers. Each check returns a description of the first
/// server that fails it, or `None` if all pass. Servers that cannot answer because they are stopped
/// or do not run are skipped.
pub(in crate::fleet) trait ConditionChecks {
    /// Describes why the views have not settled: a running server has other members than the
    /// servers that it is connected to, a member is joining or suspect, or the views of connected
    /// servers differ.
    fn unsettled(&self) -> Option<String>;

    /// Describes an observer in whose view the member has another state than expected. The state
    /// `None` means that the view does not contain the member.
    fn wrong_state(
        &self,
        observers: &[usize],
        member: usize,
        expected: Option<MemberState>,
    ) -> Option<String>;

    /// Describes a server that reports another connectivity than expected.
    fn wrong_connectivity(&self, servers: &[usize], expected: Connectivity) -> Option<String>;

    /// Describes a server that may use fewer calls of the quota than `least`, or more than `most`.
    fn quota_outside(&self, servers: &[usize], least: u32, most: u32) -> Option<String>;

    /// Returns the number of quota calls that the servers together have in flight.
    fn in_flight(&self, servers: &[usize]) -> u32;

    /// Describes in one line why a condition does not hold; `None` if it holds.
    fn unmet_condition(&self, condition: &Condition) -> Option<String> {
        match condition {
            Condition::Settled => self.unsettled(),
            Condition::View {
                observers,
                member,
                state,
            } => self.wrong_state(&observers_except(observers, *member), *member, *state),
            Condition::Connectivity {
                servers,
                connectivity,
            } => self.wrong_connectivity(servers, *connectivity),
            Condition::QuotaBetween { who, least, most } => self.quota_outside(who, *least, *most),
            Condition::InFlightAtLeast { who, least } => {
                let in_flight = self.in_flight(who);
                (in_flight < *least)
                    .then(|| format!("{in_flight} calls are in flight, expected at least {least}"))
            }
        }
    }
}

/// Returns the observers whose views are checked: all but the member itself, which is kept only if
/// it is the single observer.
fn observers_except(observers: &[usize], member: usize) -> Vec<usize> {
    let is_single = observers.len() == 1;
    observers
        .iter()
        .copied()
        .filter(|observer| is_single || *observer != member)
        .collect()
}
