//! Durations that bind lessor and lessee.

use crate::clock_drift::MAX_CLOCK_DRIFT;
use madderbay::time::Duration;

/// Terms of all leases of a budget. They must be the same on all servers of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// How long a lessee may start calls on a grant, from the moment of its request.
    pub lease: Duration,
    /// Upper bound on the time that a call, and any work that it leaves behind, is in flight
    /// upstream.
    pub max_call: Duration,
    /// Margin before the end of a lease in which no call is started on it, because a started
    /// call takes time to reach the upstream.
    pub guard: Duration,
}

impl LeaseTerms {
    /// How long a lessor holds granted units back from the moment of its answer, unless they are
    /// returned earlier. It covers the lease, the longest call and the drift of the clocks.
    pub fn lessor_hold(&self) -> Duration {
        (self.lease + self.max_call).mul_f64(1.0 + MAX_CLOCK_DRIFT)
    }

    /// How long a lessee starts calls on a grant, from the moment of its request.
    pub(super) fn lessee_use(&self) -> Duration {
        self.lease.saturating_sub(self.guard)
    }
}
