//! Decides which servers have base quotas.
//!
//! A server with a configured slot has that slot's base quota, unless an earlier server has the
//! same slot. A server without a slot has a base quota unless there are `max_servers` earlier
//! servers in the view. Lost servers are included until all their grants and calls have ended.

use super::{FleetQuotas, MIN_URGENT_INTERVAL};
use crate::budget::{Budget, BudgetSettings};
use compact_str::CompactString;
use madderbay::time::{Duration, Timestamp};

/// Time until the view of a new server is complete. Before, a server without a slot may not know
/// all other servers.
const VIEW_SETTLING_TIME: Duration = Duration::from_millis(2_000);

/// Returns how long a server waits for a complete view before it uses its base quota.
pub(super) fn settling_time(budget: &BudgetSettings) -> Duration {
    if budget.slot.is_some() {
        Duration::ZERO
    } else {
        VIEW_SETTLING_TIME
    }
}

impl FleetQuotas {
    /// Whether a server that the view holds or held has no base quota because the fleet has more
    /// servers than it is configured for, or because an earlier server has its slot.
    pub fn is_surplus(&self) -> bool {
        self.is_surplus
    }

    /// Returns the configured slot of this server.
    pub(super) fn own_slot(&self) -> Option<u32> {
        self.settings.budgets.iter().find_map(|b| b.slot)
    }

    /// Schedules an early assignment of base quotas. Changes of the view that arrive at about the
    /// same time are handled together.
    pub(super) fn schedule_assignment(&mut self) {
        self.view_changed = true;
        self.next_tick = self.next_tick.min(self.ticked_at + MIN_URGENT_INTERVAL);
    }

    /// Deletes peers that were lost so long ago that none of their calls is still in flight.
    pub(super) fn forget_lost_peers(&mut self, now: Timestamp) {
        let holds = self
            .budgets
            .iter()
            .map(|b| b.settings().terms.lessor_hold());
        let max_age = holds.max().unwrap_or_default() + VIEW_SETTLING_TIME;
        self.peers.forget_lost(now, max_age);
    }

    /// Assigns this server's base quotas.
    pub(super) fn assign_base_quotas(&mut self, now: Timestamp) {
        let known = self.peers.known_servers();
        let earlier_servers = known
            .filter(|(name, inc)| self.is_earlier(name, *inc))
            .count();
        let slot_taken = self.is_own_slot_taken();
        let is_surplus = |budget: &Budget| match budget.settings().slot {
            Some(_) => slot_taken,
            None => earlier_servers >= budget.settings().max_servers as usize,
        };
        self.is_surplus = self.budgets.iter().any(is_surplus);
        for budget in &mut self.budgets {
            let units = if is_surplus(budget) {
                0
            } else {
                budget.settings().base_quota()
            };
            assign_base_quota(budget, now, units);
        }
    }

    /// Reports whether a server started before this one, according to the incarnations in the view.
    fn is_earlier(&self, name: &CompactString, incarnation: u64) -> bool {
        (incarnation, name) < (self.own.incarnation, &self.own.server)
    }

    fn is_own_slot_taken(&self) -> bool {
        let own_slot = self.own_slot();
        self.peers.iter().any(|peer| {
            let slot = self.incarnations.slot_of(&peer.name);
            let has_same_slot = slot.is_some() && slot == own_slot;
            peer.active && has_same_slot && self.is_earlier(&peer.name, peer.incarnation)
        })
    }
}

fn assign_base_quota(budget: &mut Budget, now: Timestamp, units: u32) {
    let before = budget.ledger().eventual_base_quota();
    if units > before && before == 0 {
        // The server that had this base quota before may still have granted units of it or have
        // calls in flight on them.
        let hold = now + budget.settings().terms.lessor_hold();
        let usable_from = hold.max(budget.ledger().usable_from());
        budget.set_base_quota(units, Some(usable_from));
    } else if units != before {
        budget.set_base_quota(units, None);
    }
}
