//! Grants from this server, as a lessor, to one lessee.

use madderbay::time::Timestamp;

/// Maximum number of grants to one lessee that are stored separately. Beyond it the two oldest
/// grants are merged.
const MAX_PENDING_GRANTS: usize = 16;

/// A grant that its lessee may still use or still have calls in flight on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingGrant {
    pub(super) request_id: u32,
    pub(super) units: u32,
    held_until: Timestamp,
}

/// All unexpired grants to one lessee, and the answer to its latest request.
///
/// A grant replaces the earlier ones, but calls may still be in flight on an earlier one. So the
/// units held back for the lessee are those of its largest unexpired grant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct GrantHistory {
    pub(super) pending: Vec<PendingGrant>,
    answered_request_id: u32,
    answered_units: u32,
}

impl GrantHistory {
    /// Returns the units held back for the lessee.
    pub(super) fn units(&self, now: Timestamp) -> u32 {
        let pending = self.pending.iter().filter(|g| now < g.held_until);
        pending.map(|g| g.units).max().unwrap_or(0)
    }

    /// Answers a request with `units`. A repetition of the latest answered request gets the same
    /// answer again; an older request gets none.
    pub(super) fn answer(
        &mut self,
        now: Timestamp,
        request_id: u32,
        units: u32,
        held_until: Timestamp,
    ) -> Option<u32> {
        if request_id <= self.answered_request_id {
            return (request_id == self.answered_request_id).then_some(self.answered_units);
        }
        // An earlier grant that is no larger than this one also expires sooner, so it no longer
        // holds back any units.
        self.pending
            .retain(|g| now < g.held_until && g.units > units);
        if self.pending.len() >= MAX_PENDING_GRANTS {
            self.merge_oldest();
        }
        self.answered_request_id = request_id;
        self.answered_units = units;
        if units > 0 {
            self.pending.push(PendingGrant {
                request_id,
                units,
                held_until,
            });
        }
        Some(units)
    }

    /// Merges the two oldest grants into one, with the units of the larger and the expiry of the
    /// later, so that no unit is freed too early.
    fn merge_oldest(&mut self) {
        let oldest = self.pending.remove(0);
        self.pending[0].units = self.pending[0].units.max(oldest.units);
    }

    /// Reduces the grant that answered `request_id`, and all earlier grants, to `kept_units`.
    pub(super) fn reduce(&mut self, request_id: u32, kept_units: u32) {
        let returned = self
            .pending
            .iter_mut()
            .filter(|g| g.request_id <= request_id);
        returned.for_each(|g| g.units = g.units.min(kept_units));
        self.pending.retain(|g| g.units > 0);
    }
}
