//! What a lessor has granted to one lessee.

use madderbay::time::Timestamp;

/// Upper bound on the grants to one lessee that are remembered apart. Beyond it the two oldest
/// are merged.
const MAX_PENDING_GRANTS: usize = 16;

/// One grant that its lessee may still use, or have calls in flight on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingGrant {
    pub(super) request_id: u32,
    pub(super) units: u32,
    held_until: Timestamp,
}

/// All grants to one lessee that are not over, and the answer to its latest request.
///
/// A grant replaces an earlier one, but calls may still be in flight on the earlier one. So the
/// largest grant that is not over counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct GrantHistory {
    pub(super) pending: Vec<PendingGrant>,
    answered_request_id: u32,
    answered_units: u32,
}

impl GrantHistory {
    /// Units held back for the lessee.
    pub(super) fn units(&self, now: Timestamp) -> u32 {
        let pending = self.pending.iter().filter(|g| now < g.held_until);
        pending.map(|g| g.units).max().unwrap_or(0)
    }

    /// Answers a request with `units`: the same again for the request answered last, nothing for
    /// an older one.
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
        // An earlier grant that is no larger than this one ends sooner and binds nothing more.
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

    /// Merges the two oldest grants into one with the units of the larger and the end of the
    /// later, so that no unit is free too early.
    fn merge_oldest(&mut self) {
        let oldest = self.pending.remove(0);
        self.pending[0].units = self.pending[0].units.max(oldest.units);
    }

    /// Reduces the grant that answered `request_id`, and all before it, to `kept_units`.
    pub(super) fn reduce(&mut self, request_id: u32, kept_units: u32) {
        let returned = self
            .pending
            .iter_mut()
            .filter(|g| g.request_id <= request_id);
        returned.for_each(|g| g.units = g.units.min(kept_units));
        self.pending.retain(|g| g.units > 0);
    }
}
