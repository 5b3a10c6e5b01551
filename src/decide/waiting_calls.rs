//! The runs that wait for capacity to make their upstream call.
//!
//! [`WaitingCalls`] keeps them in the order in which their waits began. They are attempted in the reverse order: the
//! call that has waited longest is the most likely to come too late, and would only take the capacity from one that is
//! still in time. Making the calls is left to the caller.

use crate::slots::RequestSlot;

/// Runs whose call waits for capacity.
#[derive(Default)]
pub(super) struct WaitingCalls(Vec<RequestSlot>);

impl WaitingCalls {
    /// Reports whether no call waits.
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

    /// Removes and returns all runs, the one that began to wait last first, so that their calls can be attempted in
    /// that order. Runs that still wait are pushed again in that order, and [`WaitingCalls::restore_order`] corrects
    /// it.
    pub(super) fn take_latest_first(&mut self) -> Vec<RequestSlot> {
        let mut taken = std::mem::take(&mut self.0);
        taken.reverse();
        taken
    }

    /// Restores the order of waits after runs were pushed with the latest first.
    pub(super) fn restore_order(&mut self) {
        self.0.reverse();
    }
}
