//! Settings of a budget.

use crate::ledger::LeaseTerms;
use compact_str::CompactString;

/// Settings of a budget, with the slot and the weight of this server.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Name of the budget, the same on all servers.
    pub name: CompactString,
    /// Calls that the whole fleet may have in flight.
    pub capacity: u32,
    /// Upper bound on the number of servers in the fleet.
    pub max_servers: u32,
    /// Slot of this server, from 1 to `max_servers`, if one is configured. If the capacity does not
    /// divide evenly, each of the first slots gets one more unit.
    pub slot: Option<u32>,
    /// Weight of this server when the demand of the servers exceeds the available units.
    pub weight: f64,
    /// Terms of the leases, the same on all servers.
    pub terms: LeaseTerms,
}

impl BudgetSettings {
    /// Returns this server's part of the capacity: the units that it may use while it has granted
    /// none.
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
