//! Snapshots of this server's counts, which are sent to other servers.

use super::local::{KeySum, LocalCounts, heaviest_first};
use super::resolution::RETAINED_SLOTS;
use super::snapshot_source::SnapshotSource;
use super::time_slot::{SLOT_SKETCH_CELLS, TimeSlot, sketch_cell};
use crate::message::{CounterSnapshot, KeyCounts};
use madderbay::time::Timestamp;
use std::collections::HashMap;

/// Maximum number of keys that a snapshot lists individually: those with the largest counts.
pub(super) const MAX_SNAPSHOT_KEYS: usize = 12;
/// Number of cells of a snapshot's sketch, which holds the counts of the other keys.
pub(super) const SNAPSHOT_SKETCH_CELLS: usize = 64;

/// Counts of the light keys: those that a snapshot does not list.
struct LightKeys {
    /// Upper bound on the count of any light key.
    max_count: u32,
    sketch: Vec<u32>,
}

impl LocalCounts {
    /// Returns the snapshot as of the latest complete time slot; `None` while there is no such
    /// slot.
    pub(super) fn snapshot(
        &mut self,
        now: Timestamp,
        counter_hash: u32,
        own: SnapshotSource,
    ) -> Option<CounterSnapshot> {
        let latest = self.slot_number(now).checked_sub(1)?;
        let age_ms = self.age_ms(now, latest);
        let is_current =
            |s: &CounterSnapshot| s.time_slot == latest && s.incarnation == own.incarnation;
        let snapshot = match self.latest_snapshot.take().filter(is_current) {
            Some(cached) => CounterSnapshot {
                min_age_ms: age_ms,
                max_age_ms: age_ms + 1,
                ..cached
            },
            None => self.build_snapshot(latest, age_ms, counter_hash, own),
        };
        self.latest_snapshot = Some(snapshot.clone());
        Some(snapshot)
    }

    /// Returns the whole milliseconds since the end of a time slot.
    fn age_ms(&self, now: Timestamp, slot_number: u64) -> u32 {
        let end_micros = (slot_number + 1) * self.slot_length.as_micros();
        let end = self.began_at + madderbay::time::Duration::from_micros(end_micros);
        (now - end).as_millis() as u32
    }

    fn build_snapshot(
        &self,
        latest: u64,
        age_ms: u32,
        counter_hash: u32,
        own: SnapshotSource,
    ) -> CounterSnapshot {
        let numbers = (0..RETAINED_SLOTS).filter_map(|back| latest.checked_sub(back));
        let slots: Vec<Option<&TimeSlot>> = numbers.map(|number| self.slot(number)).collect();
        let sums = heaviest_first(slots.iter().flatten().copied());
        let unlisted = sum_sketches(&slots);
        let (heavy, light_sums) = sums.split_at(sums.len().min(MAX_SNAPSHOT_KEYS));
        let light = sum_light_keys(light_sums, &unlisted);
        CounterSnapshot {
            counter_hash,
            server: own.server.clone(),
            incarnation: own.incarnation,
            time_slot: latest,
            min_age_ms: age_ms,
            max_age_ms: age_ms + 1,
            heavy_keys: heavy
                .iter()
                .map(|sum| key_counts(sum.key, &slots))
                .collect(),
            max_unlisted: max_cell(&unlisted),
            max_light_key: light.max_count,
            sketch: light.sketch,
        }
    }
}

/// Returns the sums of the time slots' sketches by cell.
fn sum_sketches(slots: &[Option<&TimeSlot>]) -> HashMap<u16, u32> {
    let mut sums: HashMap<u16, u32> = HashMap::new();
    for slot in slots.iter().flatten() {
        for (cell, n) in &slot.sketch {
            *sums.entry(*cell).or_default() += n;
        }
    }
    sums
}

fn max_cell(sketch: &HashMap<u16, u32>) -> u32 {
    sketch.values().copied().max().unwrap_or(0)
}

/// Returns the counts of a key by time slot, the latest first, without trailing zeros.
fn key_counts(key: u32, slots: &[Option<&TimeSlot>]) -> KeyCounts {
    let count = |slot: &Option<&TimeSlot>| {
        slot.and_then(|slot| slot.listed.get(&key))
            .copied()
            .unwrap_or(0)
    };
    let mut counts: Vec<u32> = slots.iter().map(count).collect();
    let used = counts
        .iter()
        .rposition(|n| *n > 0)
        .map_or(0, |last| last + 1);
    counts.truncate(used);
    KeyCounts { key, counts }
}

/// Returns the sketch of the keys that the snapshot does not list; empty if there are none.
/// `light_sums` are the counts of these keys as far as the time slots list them, and `unlisted` are
/// the sums of the time slots' own sketches.
fn sum_light_keys(light_sums: &[KeySum], unlisted: &HashMap<u16, u32>) -> LightKeys {
    let mut sketch = vec![0u32; SNAPSHOT_SKETCH_CELLS];
    let mut max_count = max_cell(unlisted);
    for KeySum { count, key } in light_sums {
        sketch[sketch_cell(*key, SNAPSHOT_SKETCH_CELLS)] += count;
        let cell = sketch_cell(*key, SLOT_SKETCH_CELLS) as u16;
        let unlisted_count = unlisted.get(&cell).copied().unwrap_or(0);
        max_count = max_count.max(count + unlisted_count);
    }
    if light_sums.is_empty() {
        sketch.clear();
    }
    LightKeys { max_count, sketch }
}
