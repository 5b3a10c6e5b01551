//! Defects that may be planted into the ledgers, to show that the model finds them.

use crate::ledger::*;

/// A defect, or none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Defect {
    None,
    /// A lease counts from the receipt of its grant.
    LeaseFromReceipt,
    /// A return subtracts the returned units each time that it arrives.
    ReturnSubtracts,
    /// A restarted server uses its base quota at once.
    NoStartupWait,
}

/// Plants [`Defect::LeaseFromReceipt`].
pub(super) fn restart_pending_request(ledger: &mut Ledger, now: Timestamp, lessor: IncarnationId) {
    let lease = ledger.leases.get_mut(&lessor);
    if let Some(request) = lease.and_then(|lease| lease.pending_request.as_mut()) {
        request.requested_at = now;
    }
}

/// Plants [`Defect::ReturnSubtracts`].
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
