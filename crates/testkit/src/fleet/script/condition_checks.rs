//! Checks conditions by what a fleet can tell of its servers. It owns no state, and says what is
//! missing of a condition in one line.

use super::Condition;
use madderbay_membership::{Connectivity, MemberState};

/// What a fleet can tell of its servers. Each check gives what is wrong at the first server where
/// something is, and `None` if nothing is. Servers that can't answer because they are stopped or
/// don't run are left out.
pub(in crate::fleet) trait ConditionChecks {
    /// What is missing until all servers that run and are connected hold exactly each other alive.
    fn unsettled(&self) -> Option<String>;

    /// An observer in whose view a member has another state; `None` stands for no such member.
    fn wrong_state(
        &self,
        observers: &[usize],
        member: usize,
        expected: Option<MemberState>,
    ) -> Option<String>;

    /// A server that judges its connectivity otherwise.
    fn wrong_connectivity(&self, servers: &[usize], expected: Connectivity) -> Option<String>;

    /// A server that may use fewer calls of the quota than `least`, or more than `most`.
    fn quota_outside(&self, servers: &[usize], least: u32, most: u32) -> Option<String>;

    /// The calls of the quota that servers have in flight together.
    fn in_flight(&self, servers: &[usize]) -> u32;

    /// What is missing of a condition, in one line; `None` while it holds.
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
                    .then(|| format!("{in_flight} calls are in flight, not {least}"))
            }
        }
    }
}

/// The observers whose views are looked at: among several the member itself is left out.
fn observers_except(observers: &[usize], member: usize) -> Vec<usize> {
    let is_single = observers.len() == 1;
    observers
        .iter()
        .copied()
        .filter(|observer| is_single || *observer != member)
        .collect()
}
