//! Counts of one server in one time slot.

use std::collections::HashMap;

/// Maximum number of keys that a time slot counts individually. Beyond it, the rarest keys are
/// moved to a sketch.
const MAX_LISTED_KEYS: usize = 256;
/// Number of cells of a time slot's sketch.
pub(super) const SLOT_SKETCH_CELLS: usize = 1_024;

/// Returns the cell of a key in a sketch with `cells` cells.
pub(super) fn sketch_cell(key: u32, cells: usize) -> usize {
    (key.wrapping_mul(0x9e37_79b1) >> 16) as usize % cells
}

/// Bounds on the count of one key.
pub(super) struct CountBounds {
    pub(super) min: u32,
    pub(super) max: u32,
}

/// Counts of one time slot. Memory use is bounded whatever the number of different keys.
#[derive(Clone, Default)]
pub(super) struct TimeSlot {
    /// Counts of the listed keys.
    pub(super) listed: HashMap<u32, u32>,
    /// Sums of the other keys, by sketch cell.
    pub(super) sketch: HashMap<u16, u32>,
}

impl TimeSlot {
    pub(super) fn add(&mut self, key: u32, n: u32) {
        if let Some(count) = self.listed.get_mut(&key) {
            *count = count.saturating_add(n);
            return;
        }
        if self.listed.len() >= MAX_LISTED_KEYS && !self.evict_for(key, n) {
            return;
        }
        self.listed.insert(key, n);
    }

    /// Makes room for a new key by moving the rarest listed key to the sketch. If that key has a
    /// larger count than the new key, the new key is added to the sketch instead. Reports whether
    /// the new key is to be listed.
    fn evict_for(&mut self, key: u32, n: u32) -> bool {
        let rarest = self
            .listed
            .iter()
            .min_by_key(|(key, count)| (**count, **key));
        let Some((rarest, count)) = rarest.map(|(key, count)| (*key, *count)) else {
            return false;
        };
        let lists_new_key = count <= n;
        let (evicted, count) = if lists_new_key {
            (rarest, count)
        } else {
            (key, n)
        };
        let cell = self
            .sketch
            .entry(sketch_cell(evicted, SLOT_SKETCH_CELLS) as u16)
            .or_default();
        *cell = cell.saturating_add(count);
        self.listed.remove(&evicted);
        lists_new_key
    }

    pub(super) fn count(&self, key: u32) -> CountBounds {
        let min = self.listed.get(&key).copied().unwrap_or(0);
        let cell = sketch_cell(key, SLOT_SKETCH_CELLS) as u16;
        let unlisted = self.sketch.get(&cell).copied().unwrap_or(0);
        CountBounds {
            min,
            max: min.saturating_add(unlisted),
        }
    }
}
