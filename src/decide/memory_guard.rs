//! Bounds on the memory of queued requests, runs and idempotency keys, in kB.
//!
//! Owns the capacity. The tables own what is used; whoever asks passes it in.

/// Fraction of the memory up to which runs start.
const START_FRACTION: f64 = 0.90;
/// Fraction of the memory up to which requests are queued and keys stored.
const QUEUE_FRACTION: f64 = 0.96;

/// The memory of the machine.
pub(super) struct MemoryGuard {
    capacity_kb: f64,
}

impl MemoryGuard {
    /// The memory for requests, runs and idempotency keys.
    pub(super) fn new(capacity_kb: f64) -> MemoryGuard {
        MemoryGuard { capacity_kb }
    }

    /// Whether a run that takes `growth_kb` more than its queued request may start.
    pub(super) fn may_start(&self, used_kb: f64, growth_kb: f64) -> bool {
        used_kb + growth_kb <= self.capacity_kb * START_FRACTION
    }

    /// Whether an idempotency key of that size may be stored.
    pub(super) fn may_store_key(&self, used_kb: f64, entry_kb: f64) -> bool {
        used_kb + entry_kb <= self.capacity_kb * QUEUE_FRACTION
    }

    /// Whether the queue may stay as long as it is. Past that, queued requests have to go before the machine needs
    /// more memory than it has.
    pub(super) fn may_keep_queue(&self, used_kb: f64) -> bool {
        used_kb <= self.capacity_kb * QUEUE_FRACTION
    }
}
