//! Rate limit on notices. After a long partition, each server considers half of the fleet down; the
//! limit spreads the notices to these members over time.

use madderbay::time::{Duration, Timestamp};

/// Largest number of notices in one window.
const MAX_NOTICES: u32 = 10;
/// Length of a window.
const NOTICE_WINDOW: Duration = Duration::from_millis(100);

/// Counts the notices of the current window.
pub(crate) struct NoticeLimit {
    window_start: Timestamp,
    count: u32,
}

impl NoticeLimit {
    pub(crate) fn new(now: Timestamp) -> NoticeLimit {
        NoticeLimit {
            window_start: now,
            count: 0,
        }
    }

    /// Returns whether one more notice may be sent now, and counts it.
    pub(crate) fn try_acquire(&mut self, now: Timestamp) -> bool {
        if now - self.window_start >= NOTICE_WINDOW {
            self.window_start = now;
            self.count = 0;
        }
        self.count += 1;
        self.count <= MAX_NOTICES
    }
}

#[cfg(test)]
mod tests;
