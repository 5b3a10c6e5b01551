//! The safety-critical part of a budget: accounts for the units that this server may use,
//! including granted and leased units, so that no two servers ever use the same unit.
//!
//! The ledger stores all outstanding grants (as a lessor) and leases (as a lessee) of one budget,
//! and the number of calls in flight. Its inputs are the time and the decisions of
//! [`crate::budget`]: how many units are requested, granted and returned. Whatever these decisions
//! are, the sum of calls in flight over the fleet never exceeds the sum of all base quotas. The
//! ledger does not depend on names, randomness or demand. `docs/notes/quotas.md` states the
//! invariant and its proof.

mod grants;
mod incarnation_id;
mod leases;
mod terms;

use grants::GrantHistory;
pub use incarnation_id::IncarnationId;
use leases::LeaseRecord;
pub use leases::{LeaseReturn, OpenLease, RejectedGrant};
use madderbay::time::Timestamp;
use std::collections::BTreeMap;
pub use terms::LeaseTerms;

/// Grants, leases and calls in flight of one budget on one server.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    terms: LeaseTerms,
    base_quota: u32,
    /// Time from which the base quota may be used. Until then a former incarnation of this server
    /// may still have grants outstanding or calls in flight.
    usable_from: Timestamp,
    in_use: u32,
    /// Identifier of the latest request to any lessor. It is never reset, not even when a lessor is
    /// removed.
    last_request_id: u32,
    grants: BTreeMap<IncarnationId, GrantHistory>,
    leases: BTreeMap<IncarnationId, LeaseRecord>,
}

impl Ledger {
    /// Creates a ledger whose base quota of `base_quota` units may be used and granted from
    /// `usable_from` on.
    pub fn new(terms: LeaseTerms, base_quota: u32, usable_from: Timestamp) -> Ledger {
        Ledger {
            terms,
            base_quota,
            usable_from,
            in_use: 0,
            last_request_id: 0,
            grants: BTreeMap::new(),
            leases: BTreeMap::new(),
        }
    }

    /// Returns the base quota in units as of `now`; 0 until it is usable.
    pub fn base_quota(&self, now: Timestamp) -> u32 {
        if now >= self.usable_from {
            self.base_quota
        } else {
            0
        }
    }

    /// Returns the base quota in units, even if it is not usable yet.
    pub fn eventual_base_quota(&self) -> u32 {
        self.base_quota
    }

    /// Replaces the base quota and, if `usable_from` is given, the time from which it is usable.
    pub fn set_base_quota(&mut self, units: u32, usable_from: Option<Timestamp>) {
        self.base_quota = units;
        self.usable_from = usable_from.unwrap_or(self.usable_from);
    }

    /// Returns the time from which the base quota may be used.
    pub fn usable_from(&self) -> Timestamp {
        self.usable_from
    }

    /// Returns the number of calls in flight below which a further call may be started.
    pub fn usable(&self, now: Timestamp) -> u32 {
        self.base_quota(now).saturating_sub(self.granted(now)) + self.leased(now)
    }

    /// Returns the calls in flight, including those that outlast the lease they were started on.
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Reports whether one more call may be started.
    pub fn may_start(&self, now: Timestamp) -> bool {
        self.in_use < self.usable(now)
    }

    /// Counts a started call, even one that [`Ledger::may_start`] did not allow.
    pub fn call_started(&mut self) {
        self.in_use += 1;
    }

    /// Counts the end of a call.
    pub fn call_ended(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Removes the records of the servers for which `is_gone` returns true, except those with
    /// outstanding grants or open leases.
    pub fn forget(&mut self, now: Timestamp, is_gone: impl Fn(IncarnationId) -> bool) {
        self.grants
            .retain(|id, grants| !is_gone(*id) || grants.units(now) > 0);
        self.leases
            .retain(|id, lease| !is_gone(*id) || lease.is_open(now));
    }

    /// Reports whether there is a record of grants to, or leases from, an incarnation of a server.
    pub fn remembers(&self, id: IncarnationId) -> bool {
        self.grants.contains_key(&id) || self.leases.contains_key(&id)
    }

    /// Reports whether there are no records of any server.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty() && self.leases.is_empty()
    }
}

/// Operations of the lessor role.
impl Ledger {
    /// Returns the units granted to other servers that may still be in use there.
    pub fn granted(&self, now: Timestamp) -> u32 {
        self.grants.values().map(|grants| grants.units(now)).sum()
    }

    /// Returns the units granted to one lessee that may still be in use there.
    pub fn granted_to(&self, now: Timestamp, lessee: IncarnationId) -> u32 {
        self.grants
            .get(&lessee)
            .map_or(0, |grants| grants.units(now))
    }

    /// Returns the largest total that may be granted to a lessee, including the units already
    /// granted to it.
    pub fn max_grant(&self, now: Timestamp, lessee: IncarnationId) -> u32 {
        let base = self.base_quota(now);
        let granted = self.granted(now);
        let already_granted = self.granted_to(now, lessee);
        match base.checked_sub(granted) {
            // Beyond the units that the lessee already has, only idle units may be granted.
            Some(own_units) => already_granted + own_units.saturating_sub(self.in_use),
            None => already_granted.saturating_sub(granted - base),
        }
    }

    /// Answers a lessee's request with at most `units` in total and returns the units granted.
    ///
    /// A repeated request gets the same answer again. Returns `None` for a request that is older
    /// than the latest answered one, which needs no answer.
    pub fn answer_request(
        &mut self,
        now: Timestamp,
        lessee: IncarnationId,
        request_id: u32,
        units: u32,
    ) -> Option<u32> {
        let max_units = self.max_grant(now, lessee);
        let held_until = now + self.terms.lessor_hold();
        let grants = self.grants.entry(lessee).or_default();
        grants.answer(now, request_id, units.min(max_units), held_until)
    }

    /// Handles a return: reduces the grant that answered `request_id`, and all earlier grants to
    /// the lessee, to `kept_units`.
    pub fn handle_return(&mut self, lessee: IncarnationId, request_id: u32, kept_units: u32) {
        if let Some(grants) = self.grants.get_mut(&lessee) {
            grants.reduce(request_id, kept_units);
        }
    }
}

/// Operations of the lessee role.
impl Ledger {
    /// Returns the units leased from other servers on which calls may be started.
    pub fn leased(&self, now: Timestamp) -> u32 {
        self.leases.values().map(|lease| lease.units(now)).sum()
    }

    /// Returns the units leased from one lessor on which calls may be started.
    pub fn leased_from(&self, now: Timestamp, lessor: IncarnationId) -> u32 {
        self.leases.get(&lessor).map_or(0, |lease| lease.units(now))
    }

    /// Returns the leases on which calls may be started, in the order of the lessors' identifiers.
    pub fn open_leases(&self, now: Timestamp) -> impl Iterator<Item = OpenLease> {
        self.leases
            .iter()
            .filter_map(move |(lessor, lease)| lease.as_open(now, *lessor))
    }

    /// Records a request to a lessor and returns its identifier.
    pub fn new_request(&mut self, now: Timestamp, lessor: IncarnationId) -> u32 {
        self.last_request_id += 1;
        self.leases
            .entry(lessor)
            .or_default()
            .set_request(self.last_request_id, now);
        self.last_request_id
    }

    /// Returns when the pending request to a lessor was made, if there is one.
    pub fn pending_request_at(&self, lessor: IncarnationId) -> Option<Timestamp> {
        self.leases.get(&lessor)?.requested_at()
    }

    /// Accepts a lessor's answer to a request. The grant replaces earlier grants of that lessor.
    ///
    /// # Errors
    ///
    /// Rejects the answer if no such request is pending or if the lease has already expired. In
    /// the latter case the request is no longer pending; nothing else changes.
    pub fn accept_grant(
        &mut self,
        now: Timestamp,
        lessor: IncarnationId,
        request_id: u32,
        units: u32,
    ) -> Result<(), RejectedGrant> {
        let lease = self
            .leases
            .get_mut(&lessor)
            .ok_or(RejectedGrant::UnknownRequest)?;
        lease.accept(now, self.terms.lessee_use(), request_id, units)
    }

    /// Lets no further call start on more than `kept_units` of a lessor's units. The released units
    /// are returned once no call in flight needs them.
    pub fn release(&mut self, lessor: IncarnationId, kept_units: u32) {
        if let Some(lease) = self.leases.get_mut(&lessor) {
            lease.release(kept_units);
        }
    }

    /// Reports whether a return is due whose units are no longer needed by any call in flight.
    pub fn has_returns(&self, now: Timestamp) -> bool {
        self.in_use <= self.usable(now) && self.leases.values().any(LeaseRecord::has_return)
    }

    /// Takes the returns to send, of units that no call in flight needs.
    pub fn take_returns(&mut self, now: Timestamp) -> Vec<LeaseReturn> {
        if self.in_use > self.usable(now) {
            return vec![];
        }
        let leases = self.leases.iter_mut();
        leases
            .filter_map(|(lessor, lease)| lease.take_return(now, *lessor))
            .collect()
    }
}

#[cfg(test)]
mod tests;
