//! The latest snapshot of one incarnation of another server, and the estimates based on it.

use super::estimate::CountEstimate;
use super::resolution::{LAG_SLOTS, RETAINED_SLOTS, Resolution, WINDOW_SLOTS};
use super::snapshot::SNAPSHOT_SKETCH_CELLS;
use super::time_slot::sketch_cell;
use crate::clock_drift::MAX_CLOCK_DRIFT;
use crate::message::CounterSnapshot;
use madderbay::time::{Duration, Timestamp};

/// Time, in windows, after which the last known rate of a stale server has a weight of 1/e in its
/// estimate; its fair rate has the remaining weight.
const STALE_RATE_DECAY_WINDOWS: f64 = 1.0;

/// Bounds on the time since a snapshot's latest time slot ended.
#[derive(Clone, Copy)]
pub(super) struct AgeBounds {
    min: Duration,
    pub(super) max: Duration,
}

impl AgeBounds {
    fn uncertainty(&self) -> Duration {
        self.max.saturating_sub(self.min)
    }
}

/// The latest snapshot of one incarnation of a server.
pub(super) struct RemoteSnapshot {
    pub(super) snapshot: CounterSnapshot,
    received_at: Timestamp,
    age_at_receipt: AgeBounds,
    /// When the incarnation was found to have ended, because the server left or a later incarnation
    /// is known.
    pub(super) closed_at: Option<Timestamp>,
}

impl RemoteSnapshot {
    pub(super) fn new(
        now: Timestamp,
        since_poll: Duration,
        snapshot: CounterSnapshot,
    ) -> RemoteSnapshot {
        let min = Duration::from_millis(u64::from(snapshot.min_age_ms));
        let max = Duration::from_millis(u64::from(snapshot.max_age_ms));
        let age_at_receipt = AgeBounds {
            min: min.mul_f64(1.0 - MAX_CLOCK_DRIFT),
            max: max + since_poll.mul_f64(1.0 + MAX_CLOCK_DRIFT),
        };
        RemoteSnapshot {
            snapshot,
            received_at: now,
            age_at_receipt,
            closed_at: None,
        }
    }

    pub(super) fn close(&mut self, now: Timestamp) {
        self.closed_at = self.closed_at.or(Some(now));
    }

    /// Returns the bounds on the time since the latest time slot ended.
    pub(super) fn age(&self, now: Timestamp) -> AgeBounds {
        let elapsed = now - self.received_at;
        AgeBounds {
            min: self.age_at_receipt.min + elapsed.mul_f64(1.0 - MAX_CLOCK_DRIFT),
            max: self.age_at_receipt.max + elapsed.mul_f64(1.0 + MAX_CLOCK_DRIFT),
        }
    }

    /// Reports whether this snapshot is of a later time slot than `known`, or of the same one with
    /// a more precise age. `known` must not be of a later time slot.
    pub(super) fn improves_on(&self, known: &RemoteSnapshot, now: Timestamp) -> bool {
        known.snapshot.time_slot != self.snapshot.time_slot
            || known.age(now).uncertainty() > self.age(now).uncertainty()
    }

    /// Returns the snapshot with its age as of `now`.
    pub(super) fn as_of(&self, now: Timestamp) -> CounterSnapshot {
        let age = self.age(now);
        let max_ms = u64::from(u32::MAX) - 1;
        let ms = |age: Duration| age.as_millis().min(max_ms) as u32;
        CounterSnapshot {
            min_age_ms: ms(age.min),
            max_age_ms: ms(age.max) + 1,
            ..self.snapshot.clone()
        }
    }

    /// Estimates the count of a key by this incarnation in the window.
    pub(super) fn estimate(
        &self,
        now: Timestamp,
        key: u32,
        fair_rate: f64,
        resolution: &Resolution,
    ) -> CountEstimate {
        let age = self.age(now);
        let heavy = self
            .snapshot
            .heavy_keys
            .iter()
            .find(|heavy| heavy.key == key);
        let listed = heavy.map(|heavy| heavy.counts.as_slice());
        let mut high = 0.0;
        let mut low = 0.0;
        for (back, n) in (0u64..).zip(listed.into_iter().flatten()) {
            let n = f64::from(*n);
            let overlap = slot_overlap(&age, back, resolution);
            low += if overlap == Overlap::Certain { n } else { 0.0 };
            high += if overlap == Overlap::None { 0.0 } else { n };
        }
        if age.min < window_start(resolution) {
            high += f64::from(self.max_unlisted_count(key, listed.is_some()));
        }
        let mut value = (low + high) / 2.0;
        let missing_slots = self.missing_slots(now, &age, resolution);
        if missing_slots > 0.0 {
            let slot = resolution.slot_length.as_secs_f64();
            let rate = self.expected_rate(listed, &age, fair_rate, resolution);
            value += missing_slots * slot * rate;
            high += missing_slots * slot * resolution.max_per_second;
        }
        let stale_servers = usize::from(missing_slots > 0.0);
        CountEstimate {
            value: value.clamp(low, high),
            low,
            high,
            stale_servers,
        }
    }

    /// Returns an upper bound on the count of a key in addition to its listed counts.
    fn max_unlisted_count(&self, key: u32, is_listed: bool) -> u32 {
        let snapshot = &self.snapshot;
        if is_listed {
            return snapshot.max_unlisted;
        }
        let cell = snapshot.sketch.get(sketch_cell(key, SNAPSHOT_SKETCH_CELLS));
        let light = cell.copied().unwrap_or(0);
        light
            .saturating_add(snapshot.max_unlisted)
            .min(snapshot.max_light_key)
    }

    /// Returns the number of time slots after the snapshot's latest one that may lie in the window.
    fn missing_slots(&self, now: Timestamp, age: &AgeBounds, resolution: &Resolution) -> f64 {
        let slot_length = resolution.slot_length;
        let slots = |duration: Duration| duration.as_micros() / slot_length.as_micros();
        let since_close = self.closed_at.map_or(Duration::ZERO, |at| {
            (now - at)
                .mul_f64(1.0 - MAX_CLOCK_DRIFT)
                .saturating_sub(slot_length)
        });
        let latest_end = window_end(resolution).max(since_close);
        let ended = slots(age.max.saturating_sub(latest_end));
        // Slots that ended before the window began are not part of it.
        let before_window = slots(age.min.saturating_sub(window_start(resolution)));
        ended.saturating_sub(before_window).min(WINDOW_SLOTS) as f64
    }

    /// Returns the expected rate per second since the snapshot. It starts at the last known rate
    /// and decays to `fair_rate`.
    fn expected_rate(
        &self,
        listed: Option<&[u32]>,
        age: &AgeBounds,
        fair_rate: f64,
        resolution: &Resolution,
    ) -> f64 {
        let slot = resolution.slot_length.as_secs_f64();
        let count: f64 = listed.map_or(0.0, |counts| counts.iter().map(|n| f64::from(*n)).sum());
        let last_rate = count / (RETAINED_SLOTS as f64 * slot);
        let windows = age.min.as_secs_f64() / resolution.window.as_secs_f64();
        let weight = (-windows / STALE_RATE_DECAY_WINDOWS).exp();
        last_rate * weight + fair_rate * (1.0 - weight)
    }
}

/// Certainty that a time slot lies in the window.
#[derive(Clone, Copy, PartialEq)]
enum Overlap {
    None,
    Possible,
    Certain,
}

/// Returns the time since the end of the window.
fn window_end(resolution: &Resolution) -> Duration {
    resolution.slot_length.mul_f64(LAG_SLOTS as f64)
}

/// Returns the time since the start of the window.
fn window_start(resolution: &Resolution) -> Duration {
    resolution.slot_length.mul_f64(RETAINED_SLOTS as f64)
}

/// Determines whether the time slot that is `back` slots before a snapshot's latest one lies in the
/// window.
fn slot_overlap(age: &AgeBounds, back: u64, resolution: &Resolution) -> Overlap {
    let end = window_end(resolution);
    let start = window_start(resolution);
    let before_latest = resolution.slot_length.mul_f64(back as f64);
    let min = age.min + before_latest;
    let max = age.max + before_latest;
    if min >= end && max < start {
        Overlap::Certain
    } else if max >= end && min < start {
        Overlap::Possible
    } else {
        Overlap::None
    }
}
