//! The runs that wait at an upstream call for capacity.
//!
//! Owns their order, that of the begin of their waits. They are attempted in the reverse order: a call that has waited
//! longest is the most likely to come too late, and would only take the capacity from one that is still in time. Makes no
//! call.

use crate::slots::RequestSlot;

/// Runs whose call waits for capacity.
#[derive(Default)]
pub(super) struct WaitingCalls(Vec<RequestSlot>);

impl WaitingCalls {
    /// Whether no call waits.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds the run that began to wait last.
    pub(super) fn push(&mut self, slot: RequestSlot) {
        self.0.push(slot);
    }

    /// Removes a run, if its call waits.
    pub(super) fn remove(&mut self, slot: RequestSlot) {
        self.0.retain(|waiting| *waiting != slot);
    }

    /// Takes all, to attempt each call, the one that began to wait last first. Those that still wait are pushed again in
    /// that order, and put right by [`WaitingCalls::restore_order`].
    pub(super) fn take_latest_first(&mut self) -> Vec<RequestSlot> {
        let mut taken = std::mem::take(&mut self.0);
        taken.reverse();
        taken
    }

    /// Puts those that were pushed latest first back into the order of their waits.
    pub(super) fn restore_order(&mut self) {
        self.0.reverse();
    }
}
