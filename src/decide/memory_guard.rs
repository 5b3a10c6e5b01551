//! Bounds on the memory of queued requests, runs and idempotency keys, in kB.
//!
//! [`MemoryGuard`] keeps the capacity only. The tables of requests and keys keep the memory in use, which the caller
//! passes in.

/// Fraction of the memory up to which runs are started.
const START_FRACTION: f64 = 0.90;
/// Fraction of the memory up to which requests are queued and keys stored.
const QUEUE_FRACTION: f64 = 0.96;

/// Compares the memory in use with the capacity of the machine.
pub(super) struct MemoryGuard {
    capacity_kb: f64,
}

impl MemoryGuard {
    /// Creates a guard for the memory that is available to requests, runs and idempotency keys.
    pub(super) fn new(capacity_kb: f64) -> MemoryGuard {
        MemoryGuard { capacity_kb }
    }

    /// Reports whether a run may start that takes `growth_kb` more than its queued request.
    pub(super) fn may_start(&self, used_kb: f64, growth_kb: f64) -> bool {
        used_kb + growth_kb <= self.capacity_kb * START_FRACTION
    }

    /// Reports whether an idempotency key that takes `entry_kb` may be stored.
    pub(super) fn may_store_key(&self, used_kb: f64, entry_kb: f64) -> bool {
        used_kb + entry_kb <= self.capacity_kb * QUEUE_FRACTION
    }

    /// Reports whether the queue may keep its present length. If not, queued requests must be removed before the
    /// machine needs more memory than it has.
    pub(super) fn may_keep_queue(&self, used_kb: f64) -> bool {
        used_kb <= self.capacity_kb * QUEUE_FRACTION
    }
}
