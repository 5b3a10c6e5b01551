//! Known defects that can be planted in the ledgers, to verify that the model finds them.

use crate::ledger::*;

/// A known defect, or none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Defect {
    None,
    /// A lease lasts from the receipt of its grant instead of from its request.
    LeaseFromReceipt,
    /// A return subtracts the returned units each time it arrives, so that a duplicate subtracts
    /// them again.
    ReturnSubtracts,
    /// A restarted server uses its base quota at once, without the startup wait.
    NoStartupWait,
}

/// Implements [`Defect::LeaseFromReceipt`]: sets the time of the pending request to `now`.
pub(super) fn restart_pending_request(ledger: &mut Ledger, now: Timestamp, lessor: IncarnationId) {
    let lease = ledger.leases.get_mut(&lessor);
    if let Some(request) = lease.and_then(|lease| lease.pending_request.as_mut()) {
        request.requested_at = now;
    }
}

/// Implements [`Defect::ReturnSubtracts`]: subtracts `units` from the returned grants.
pub(super) fn subtract_return(
    ledger: &mut Ledger,
    lessee: IncarnationId,
    request_id: u32,
    units: u32,
) {
    if let Some(grants) = ledger.grants.get_mut(&lessee) {
        let returned = grants
            .pending
            .iter_mut()
            .filter(|g| g.request_id <= request_id);
        returned.for_each(|g| g.units = g.units.saturating_sub(units));
    }
}
