//! Counts of this server.

use super::estimate::CountEstimate;
use super::resolution::{LAG_SLOTS, RETAINED_SLOTS, WINDOW_SLOTS};
use super::time_slot::{CountBounds, TimeSlot};
use crate::message::CounterSnapshot;
use madderbay::time::{Duration, Timestamp};
use std::collections::{HashMap, VecDeque};

struct NumberedSlot {
    number: u64,
    slot: TimeSlot,
}

/// Counts of this server in its time slots.
pub(super) struct LocalCounts {
    pub(super) began_at: Timestamp,
    pub(super) slot_length: Duration,
    /// Time slots that have counts, the latest last.
    slots: VecDeque<NumberedSlot>,
    /// The latest snapshot that was returned for a reply.
    pub(super) latest_snapshot: Option<CounterSnapshot>,
}

impl LocalCounts {
    pub(super) fn new(now: Timestamp, slot_length: Duration) -> LocalCounts {
        LocalCounts {
            began_at: now,
            slot_length,
            slots: VecDeque::new(),
            latest_snapshot: None,
        }
    }

    /// Returns the number of the time slot that contains `now`.
    pub(super) fn slot_number(&self, now: Timestamp) -> u64 {
        (now - self.began_at).as_micros() / self.slot_length.as_micros()
    }

    pub(super) fn add(&mut self, now: Timestamp, key: u32, n: u32) {
        let number = self.slot_number(now);
        if self.slots.back().is_none_or(|s| s.number < number) {
            self.slots.push_back(NumberedSlot {
                number,
                slot: TimeSlot::default(),
            });
        }
        while self
            .slots
            .front()
            .is_some_and(|s| s.number + RETAINED_SLOTS + 1 < number)
        {
            self.slots.pop_front();
        }
        // If the clock stepped back, the count is added to the latest slot.
        if let Some(latest) = self.slots.back_mut() {
            latest.slot.add(key, n);
        }
    }

    pub(super) fn slot(&self, number: u64) -> Option<&TimeSlot> {
        self.slots
            .iter()
            .rev()
            .find(|s| s.number == number)
            .map(|s| &s.slot)
    }

    pub(super) fn estimate(&self, now: Timestamp, key: u32) -> CountEstimate {
        let current = self.slot_number(now);
        let mut low: u32 = 0;
        let mut high: u32 = 0;
        // The slot before the current one is complete; the window ended LAG_SLOTS before the end of
        // that slot.
        for back in LAG_SLOTS + 1..=LAG_SLOTS + WINDOW_SLOTS {
            let number = current.checked_sub(back);
            let Some(slot) = number.and_then(|number| self.slot(number)) else {
                continue;
            };
            let CountBounds { min, max } = slot.count(key);
            low = low.saturating_add(min);
            high = high.saturating_add(max);
        }
        let low = f64::from(low);
        let high = f64::from(high);
        CountEstimate {
            value: (low + high) / 2.0,
            low,
            high,
            stale_servers: 0,
        }
    }

    pub(super) fn heaviest_keys(&self, max_keys: usize) -> Vec<u32> {
        let slots = self.slots.iter().map(|s| &s.slot);
        let mut keys = heaviest_first(slots);
        keys.truncate(max_keys);
        keys.into_iter().map(|sum| sum.key).collect()
    }
}

/// Sum of a key's counts over several time slots.
pub(super) struct KeySum {
    pub(super) count: u32,
    pub(super) key: u32,
}

/// Returns the sums of the listed keys over the time slots, the largest sum first; for equal sums,
/// the larger key first.
pub(super) fn heaviest_first<'a>(slots: impl Iterator<Item = &'a TimeSlot>) -> Vec<KeySum> {
    let mut sums: HashMap<u32, u32> = HashMap::new();
    for slot in slots {
        for (key, n) in &slot.listed {
            *sums.entry(*key).or_default() += n;
        }
    }
    let mut sums: Vec<KeySum> = sums
        .into_iter()
        .map(|(key, count)| KeySum { count, key })
        .collect();
    sums.sort_unstable_by_key(|sum| std::cmp::Reverse((sum.count, sum.key)));
    sums
}
