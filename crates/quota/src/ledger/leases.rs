//! The lease that this server, as a lessee, has from one lessor.

use super::incarnation_id::IncarnationId;
use madderbay::time::{Duration, Timestamp};

/// Number of times that each return is sent, because a datagram may be lost. Receiving a return
/// twice has no further effect.
const RETURN_TRANSMISSIONS: u8 = 2;

/// Reason for not accepting a lessor's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectedGrant {
    /// The request was already answered, was replaced by a later one, or was never made.
    #[error("no pending request has this identifier")]
    UnknownRequest,
    /// The lease that the answer grants has already expired.
    #[error("the lease has already expired")]
    LeaseOver,
}

/// A lease on which calls may be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenLease {
    /// The lessor.
    pub lessor: IncarnationId,
    /// Units leased.
    pub units: u32,
    /// Time left in which calls may be started on them.
    pub remaining: Duration,
}

/// A return of leased units to their lessor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseReturn {
    /// The lessor.
    pub lessor: IncarnationId,
    /// Identifier of the request that the returned grant answered.
    pub request_id: u32,
    /// Units that the lessee keeps.
    pub kept_units: u32,
}

/// A request to a lessor that has not been answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingRequest {
    request_id: u32,
    pub(super) requested_at: Timestamp,
}

/// The latest accepted grant of one lessor, and the pending request to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct LeaseRecord {
    request_id: u32,
    units: u32,
    usable_until: Timestamp,
    pub(super) pending_request: Option<PendingRequest>,
    pending_return_transmissions: u8,
}

impl LeaseRecord {
    pub(super) fn is_open(&self, now: Timestamp) -> bool {
        now < self.usable_until
    }

    /// Returns the units on which calls may be started.
    pub(super) fn units(&self, now: Timestamp) -> u32 {
        if self.is_open(now) { self.units } else { 0 }
    }

    pub(super) fn as_open(&self, now: Timestamp, lessor: IncarnationId) -> Option<OpenLease> {
        let remaining = self.usable_until - now;
        let is_usable = self.is_open(now) && self.units > 0;
        is_usable.then_some(OpenLease {
            lessor,
            units: self.units,
            remaining,
        })
    }

    pub(super) fn set_request(&mut self, request_id: u32, now: Timestamp) {
        self.pending_request = Some(PendingRequest {
            request_id,
            requested_at: now,
        });
    }

    pub(super) fn requested_at(&self) -> Option<Timestamp> {
        self.pending_request.map(|request| request.requested_at)
    }

    /// Accepts an answer. The lease lasts for `usable` from the time of the request.
    pub(super) fn accept(
        &mut self,
        now: Timestamp,
        usable: Duration,
        request_id: u32,
        units: u32,
    ) -> Result<(), RejectedGrant> {
        let request = self
            .pending_request
            .take_if(|request| request.request_id == request_id);
        let request = request.ok_or(RejectedGrant::UnknownRequest)?;
        let usable_until = request.requested_at + usable;
        if now >= usable_until {
            return Err(RejectedGrant::LeaseOver);
        }
        self.request_id = request_id;
        self.units = units;
        self.usable_until = usable_until;
        self.pending_return_transmissions = 0;
        Ok(())
    }

    /// Reduces the lease to at most `kept_units` and schedules the return of the others.
    pub(super) fn release(&mut self, kept_units: u32) {
        if self.units > kept_units {
            self.units = kept_units;
            self.pending_return_transmissions = RETURN_TRANSMISSIONS;
        }
    }

    pub(super) fn has_return(&self) -> bool {
        self.pending_return_transmissions > 0
    }

    pub(super) fn take_return(
        &mut self,
        now: Timestamp,
        lessor: IncarnationId,
    ) -> Option<LeaseReturn> {
        self.pending_return_transmissions = self.pending_return_transmissions.checked_sub(1)?;
        Some(LeaseReturn {
            lessor,
            request_id: self.request_id,
            kept_units: self.units(now),
        })
    }
}
