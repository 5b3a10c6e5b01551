//! How a counter divides time: the slots of its window, and the slots for which its counts are remembered.

use super::settings::CounterSettings;
use madderbay::time::Duration;

/// Time slots of a window.
pub(super) const WINDOW_SLOTS: u64 = 10;
/// Time slots between the end of a window and its estimate: time for snapshots to arrive.
pub(super) const LAG_SLOTS: u64 = 3;
/// Time slots that are remembered and sent.
pub(super) const RETAINED_SLOTS: u64 = WINDOW_SLOTS + LAG_SLOTS;
/// Shortest time slot.
const MIN_SLOT_LENGTH: Duration = Duration::from_millis(10);

/// Windows and slots of a counter, and the bound on a server's counts.
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

    /// Age from which on no window holds a snapshot's counts any more.
    pub(super) fn max_snapshot_age(&self) -> Duration {
        self.slot_length.mul_f64((2 * RETAINED_SLOTS) as f64)
    }
}
