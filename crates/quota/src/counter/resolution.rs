//! Time resolution of a counter: the slots of its window, and the slots for which it keeps counts.

use super::settings::CounterSettings;
use madderbay::time::Duration;

/// Number of time slots in a window.
pub(super) const WINDOW_SLOTS: u64 = 10;
/// Number of time slots between the end of a window and its estimate, so that snapshots have time
/// to arrive.
pub(super) const LAG_SLOTS: u64 = 3;
/// Number of time slots for which counts are kept and sent.
pub(super) const RETAINED_SLOTS: u64 = WINDOW_SLOTS + LAG_SLOTS;
/// Minimum length of a time slot.
const MIN_SLOT_LENGTH: Duration = Duration::from_millis(10);

/// Window and slot length of a counter, and the maximum rate per key and server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Resolution {
    pub(super) window: Duration,
    pub(super) slot_length: Duration,
    pub(super) max_per_second: f64,
}

impl Resolution {
    pub(super) fn new(settings: &CounterSettings) -> Resolution {
        let slot_length = settings.window.mul_f64(1.0 / WINDOW_SLOTS as f64);
        Resolution {
            window: settings.window,
            slot_length: slot_length.max(MIN_SLOT_LENGTH),
            max_per_second: settings.max_per_second,
        }
    }

    /// Returns the age from which a snapshot's counts are no longer part of any window.
    pub(super) fn max_snapshot_age(&self) -> Duration {
        self.slot_length.mul_f64((2 * RETAINED_SLOTS) as f64)
    }
}
