//! Bounds on the memory of queued requests, runs and idempotency keys, in kB. The tables own what is used.

use super::*;

pub(super) const START_FRACTION: f64 = 0.90; // Of the memory, up to which runs start (ours).
pub(super) const QUEUE_FRACTION: f64 = 0.96; // Of the memory, past which queued requests are rejected (ours).

impl Decider {
    /// Whether that many kB more stay within a fraction of the machine's memory.
    pub(super) fn memory_allows(&self, more_kb: f64, fraction: f64) -> bool {
        self.requests.memory_kb() + self.keys.memory_kb() + more_kb <= self.memory_kb * fraction
    }

    /// Rejects queued requests, the least weight first, before the machine needs more memory than it has.
    pub(super) fn free_memory(&mut self, now: Timestamp, out: &mut dyn Actions) {
        while !self.memory_allows(0.0, QUEUE_FRACTION) {
            let weight = |r: &RequestSlot| self.requests[*r].weight;
            let lightest = self
                .queue
                .in_order()
                .into_iter()
                .min_by(|a, b| weight(a).total_cmp(&weight(b)));
            let Some(r) = lightest else { return };
            self.reject(now, r, out);
        }
    }
}
