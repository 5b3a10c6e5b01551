//! Durations that lessors and lessees agree on.

use crate::clock_drift::MAX_CLOCK_DRIFT;
use madderbay::time::Duration;

/// Terms of all leases of a budget. They must be the same on all servers of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// How long a lease lasts, counted from the lessee's request.
    pub lease: Duration,
    /// Upper bound on the time that a call, including any work that it leaves running, is in
    /// flight upstream.
    pub max_call: Duration,
    /// Margin at the end of a lease in which no call is started on it, because a started call
    /// takes time to reach the upstream.
    pub guard: Duration,
}

impl LeaseTerms {
    /// Returns how long a lessor holds back granted units after its answer, unless they are
    /// returned earlier. Covers the lease, the longest call and the clock drift.
    pub fn lessor_hold(&self) -> Duration {
        (self.lease + self.max_call).mul_f64(1.0 + MAX_CLOCK_DRIFT)
    }

    /// Returns how long a lessee may start calls on a grant, counted from its request.
    pub(super) fn lessee_use(&self) -> Duration {
        self.lease.saturating_sub(self.guard)
    }
}
