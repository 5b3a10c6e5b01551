//! Settings of a budget.

use crate::ledger::LeaseTerms;
use compact_str::CompactString;

/// A budget as the operator configures it, and what follows for this server.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Name of the budget, the same on all servers.
    pub name: CompactString,
    /// Calls that the whole fleet may have in flight.
    pub capacity: u32,
    /// Upper bound on the number of servers in the fleet.
    pub max_servers: u32,
    /// Slot of this server, from 1 to `max_servers`, where it is configured. Units that do not
    /// divide evenly belong to the first slots.
    pub slot: Option<u32>,
    /// Weight of this server among those that want more than there is.
    pub weight: f64,
    /// Terms of the leases, the same on all servers.
    pub terms: LeaseTerms,
}

impl BudgetSettings {
    /// Units that belong to this server while it has granted none: its part of the capacity.
    pub fn base_quota(&self) -> u32 {
        let each = self.capacity / self.max_servers.max(1);
        let remainder = self.capacity % self.max_servers.max(1);
        match self.slot {
            None => each,
            Some(slot) if slot > self.max_servers => 0,
            Some(slot) => each + u32::from(slot <= remainder),
        }
    }
}
