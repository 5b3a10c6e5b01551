//! How often something came over the whole fleet, by key: each server counts for itself in slots of time and
//! tells what it counted; what was heard of others is kept by server and life, in any order, and ages out.
//! Each answer says how far it may be off.
//!
//! An answer is about a window that ended a little while ago (`LAG` slots), so that what all have counted for
//! it is mostly known: what was said of a slot that is over never changes. Slots are each server's own; how
//! long ago one was over is known within bounds, by own clocks alone, since every answer brings the stamp of
//! its question back.

use crate::clock_drift::MAX_CLOCK_DRIFT;
use crate::wire::{Cell, name_hash};
use compact_str::CompactString;
use madderbay::time::{Duration, Timestamp};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Slots of a window, and those that pass before it is told of: time for words to reach all.
const SLOTS: u64 = 10;
const LAG: u64 = 3;
/// Slots kept, and told of.
const KEPT: u64 = SLOTS + LAG;
/// Keys that a slot counts one by one; what is more goes into a sketch, the rarest first.
const KEYS_MOST: usize = 256;
const OWN_PLACES: usize = 1_024;
/// Keys told one by one, the heaviest; the rest goes into so many places of a sketch.
const TOLD: usize = 12;
const PLACES: usize = 64;
/// Lives of others kept at the most.
const LIVES_MOST: usize = 4_096;
/// How long ago an unheard server's last word counts half, in windows.
const FADES: f64 = 1.0;

#[derive(Clone, Debug, PartialEq)]
pub struct CounterSettings {
    pub name: CompactString,
    pub window: Duration,
    /// A server is taken to count no more of one key a second: what bounds the unheard.
    pub max_per_second: f64,
}

/// What this server counted in one slot.
#[derive(Clone, Default)]
struct Slot {
    heavy: HashMap<u32, u32>,
    /// By place: of keys that did not fit, or did not stay.
    rest: HashMap<u16, u32>,
}

fn place(key: u32, places: usize) -> usize {
    (key.wrapping_mul(0x9e37_79b1) >> 16) as usize % places
}

impl Slot {
    fn add(&mut self, key: u32, n: u32) {
        if let Some(count) = self.heavy.get_mut(&key) {
            *count = count.saturating_add(n);
            return;
        }
        if self.heavy.len() >= KEYS_MOST {
            let least = self
                .heavy
                .iter()
                .min_by_key(|h| (h.1, h.0))
                .map(|h| (*h.0, *h.1));
            let Some((rarest, count)) = least else { return };
            // A key that comes for the first time gives way to those that came more often.
            let (out, count) = if count <= n {
                (rarest, count)
            } else {
                (key, n)
            };
            let sum = self.rest.entry(place(out, OWN_PLACES) as u16).or_default();
            *sum = sum.saturating_add(count);
            if out == key {
                return;
            }
            self.heavy.remove(&out);
        }
        self.heavy.insert(key, n);
    }

    /// At least, and at most.
    fn count(&self, key: u32) -> (u32, u32) {
        let sure = self.heavy.get(&key).copied().unwrap_or(0);
        let more = self
            .rest
            .get(&(place(key, OWN_PLACES) as u16))
            .copied()
            .unwrap_or(0);
        (sure, sure.saturating_add(more))
    }
}

/// A server's life as it was heard last.
struct Heard {
    cell: Cell,
    /// When that was, and how long the slot had been over then: at least, at most.
    at: Timestamp,
    over: (Duration, Duration),
    /// It counts no more since: it left, or a later life of it was heard.
    closed: Option<Timestamp>,
}

impl Heard {
    /// How long ago its latest slot was over by now: at least, at most.
    fn age(&self, now: Timestamp) -> (Duration, Duration) {
        let passed = now - self.at;
        (
            self.over.0 + passed.mul_f64(1.0 - MAX_CLOCK_DRIFT),
            self.over.1 + passed.mul_f64(1.0 + MAX_CLOCK_DRIFT),
        )
    }
}

/// How often a key came in the window, over the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CountEstimate {
    pub value: f64,
    /// The truth lies between these.
    pub low: f64,
    pub high: f64,
    /// Servers of which the end of the window was not heard.
    pub stale_servers: usize,
}

impl CountEstimate {
    /// How far the value may be off.
    pub fn bound(&self) -> f64 {
        (self.high - self.value).max(self.value - self.low)
    }
}

pub struct ReplicatedCounter {
    pub settings: CounterSettings,
    pub mark: u32,
    slot: Duration,
    began: Timestamp,
    /// By number, the latest last.
    own: VecDeque<(u64, Slot)>,
    heard: BTreeMap<(CompactString, u64), Heard>,
    /// Servers in the view of which nothing was heard yet, and since when they are there.
    unmet: BTreeMap<CompactString, Timestamp>,
    made: Option<Cell>,
    pub rejected: u64,
}

impl ReplicatedCounter {
    pub fn new(now: Timestamp, set: CounterSettings) -> ReplicatedCounter {
        ReplicatedCounter {
            mark: name_hash(&set.name),
            slot: set
                .window
                .mul_f64(1.0 / SLOTS as f64)
                .max(Duration::from_millis(10)),
            began: now,
            own: VecDeque::new(),
            heard: BTreeMap::new(),
            unmet: BTreeMap::new(),
            made: None,
            rejected: 0,
            settings: set,
        }
    }

    fn number(&self, now: Timestamp) -> u64 {
        (now - self.began).as_micros() / self.slot.as_micros()
    }

    /// When the slot that is filling is over.
    pub fn next(&self, now: Timestamp) -> Timestamp {
        self.began + Duration::from_micros((self.number(now) + 1) * self.slot.as_micros())
    }

    pub fn add(&mut self, now: Timestamp, key: u32, n: u32) {
        let number = self.number(now);
        if self.own.back().is_none_or(|s| s.0 < number) {
            self.own.push_back((number, Slot::default()));
        }
        while self.own.front().is_some_and(|s| s.0 + KEPT + 1 < number) {
            self.own.pop_front();
        }
        // A clock that stepped back counts into the latest slot there is.
        if let Some((_, slot)) = self.own.back_mut() {
            slot.add(key, n);
        }
    }

    fn own_slot(&self, number: u64) -> Option<&Slot> {
        self.own.iter().rev().find(|s| s.0 == number).map(|s| &s.1)
    }

    /// What this server counted itself in the window.
    pub fn own(&self, now: Timestamp, key: u32) -> CountEstimate {
        let newest = self.number(now);
        let (mut low, mut high) = (0u32, 0u32);
        // The slot before the filling one is over; the window begins LAG slots before the end of that.
        for back in LAG + 1..=LAG + SLOTS {
            let Some(slot) = newest.checked_sub(back).and_then(|n| self.own_slot(n)) else {
                continue;
            };
            let (sure, most) = slot.count(key);
            (low, high) = (low.saturating_add(sure), high.saturating_add(most));
        }
        let (low, high) = (f64::from(low), f64::from(high));
        CountEstimate {
            value: (low + high) / 2.0,
            low,
            high,
            stale_servers: 0,
        }
    }

    /// Keys that came here of late, the heaviest first.
    pub fn heaviest_keys(&self, most: usize) -> Vec<u32> {
        let mut sums: HashMap<u32, u32> = HashMap::new();
        for (_, slot) in &self.own {
            slot.heavy
                .iter()
                .for_each(|(key, n)| *sums.entry(*key).or_default() += n);
        }
        let mut sums: Vec<(u32, u32)> = sums.into_iter().map(|(key, n)| (n, key)).collect();
        sums.sort_unstable_by(|a, b| b.cmp(a));
        sums.truncate(most);
        sums.into_iter().map(|s| s.1).collect()
    }

    /// What this server says of itself.
    fn cell(&mut self, now: Timestamp, name: &CompactString, life: u64) -> Option<Cell> {
        let latest = self.number(now).checked_sub(1)?;
        let over = now - (self.began + Duration::from_micros((latest + 1) * self.slot.as_micros()));
        let ms = (over.as_micros() / 1_000) as u32;
        if let Some(made) = self
            .made
            .as_mut()
            .filter(|m| m.slot == latest && m.life == life)
        {
            (made.least_ms, made.most_ms) = (ms, ms + 1);
            return Some(made.clone());
        }
        let numbers: Vec<u64> = (0..KEPT)
            .filter_map(|back| latest.checked_sub(back))
            .collect();
        let slots: Vec<Option<&Slot>> = numbers.iter().map(|n| self.own_slot(*n)).collect();
        let mut sums: HashMap<u32, u32> = HashMap::new();
        let mut own_rest: HashMap<u16, u32> = HashMap::new();
        for slot in slots.iter().flatten() {
            slot.heavy
                .iter()
                .for_each(|(key, n)| *sums.entry(*key).or_default() += n);
            slot.rest
                .iter()
                .for_each(|(at, n)| *own_rest.entry(*at).or_default() += n);
        }
        let mut sums: Vec<(u32, u32)> = sums.into_iter().map(|(key, n)| (n, key)).collect();
        sums.sort_unstable_by(|a, b| b.cmp(a));
        let by_slot = |key: u32| {
            let counts = slots
                .iter()
                .map(|s| s.and_then(|s| s.heavy.get(&key)).copied().unwrap_or(0));
            let mut counts: Vec<u32> = counts.collect();
            while counts.last() == Some(&0) {
                counts.pop();
            }
            counts
        };
        let heavy = sums
            .iter()
            .take(TOLD)
            .map(|(_, key)| (*key, by_slot(*key)))
            .collect();
        let mut rest = vec![0u32; PLACES];
        let mut rest_most = own_rest.values().copied().max().unwrap_or(0);
        for (n, key) in sums.iter().skip(TOLD) {
            rest[place(*key, PLACES)] += n;
            let more = own_rest
                .get(&(place(*key, OWN_PLACES) as u16))
                .copied()
                .unwrap_or(0);
            rest_most = rest_most.max(n + more);
        }
        let hidden = own_rest.values().copied().max().unwrap_or(0);
        if sums.len() <= TOLD {
            rest.clear();
        }
        let cell = Cell {
            count: self.mark,
            name: name.clone(),
            life,
            slot: latest,
            least_ms: ms,
            most_ms: ms + 1,
            heavy,
            hidden,
            rest_most,
            rest,
        };
        self.made = Some(cell.clone());
        Some(cell)
    }

    /// What is known, its own first, then so many others from a drawn one on.
    pub fn cells(
        &mut self,
        now: Timestamp,
        name: &CompactString,
        life: u64,
        draw: f64,
        most: usize,
    ) -> Vec<Cell> {
        let mut cells: Vec<Cell> = self.cell(now, name, life).into_iter().collect();
        let open: Vec<&Heard> = self
            .heard
            .values()
            .filter(|h| h.cell.name != *name)
            .collect();
        let first = (draw * open.len() as f64) as usize;
        for step in 0..open.len().min(most) {
            let heard = open[(first + step) % open.len()];
            let (least, most) = heard.age(now);
            let ms = |s: Duration| (s.as_micros() / 1_000).min(u64::from(u32::MAX) - 1) as u32;
            cells.push(Cell {
                least_ms: ms(least),
                most_ms: ms(most) + 1,
                ..heard.cell.clone()
            });
        }
        cells
    }

    /// What another said, in answer to a question of `asked` ago: of itself or of others.
    pub fn hear(
        &mut self,
        now: Timestamp,
        asked: Duration,
        cell: Cell,
        own: (&CompactString, u64),
    ) {
        let sound = cell.heavy.len() <= TOLD
            && cell.heavy.iter().all(|h| h.1.len() <= KEPT as usize)
            && (cell.rest.is_empty() || cell.rest.len() == PLACES)
            && madderbay_membership::MAX_NAME_BYTES >= cell.name.len();
        if !sound || cell.least_ms > cell.most_ms || (cell.name == *own.0 && cell.life == own.1) {
            self.rejected += u64::from(!sound);
            return;
        }
        let key = (cell.name.clone(), cell.life);
        let known = self.heard.get(&key);
        if known.is_some_and(|h| h.cell.slot > cell.slot) {
            return;
        }
        if known.is_none() && self.heard.len() >= LIVES_MOST {
            self.rejected += 1;
            return;
        }
        let over = (
            Duration::from_millis(u64::from(cell.least_ms)).mul_f64(1.0 - MAX_CLOCK_DRIFT),
            Duration::from_millis(u64::from(cell.most_ms)) + asked.mul_f64(1.0 + MAX_CLOCK_DRIFT),
        );
        let fresh = Heard {
            cell,
            at: now,
            over,
            closed: None,
        };
        // The same slot again: whichever tells its age more closely.
        let narrow = |h: &Heard| {
            let (least, most) = h.age(now);
            most.saturating_sub(least)
        };
        if known.is_some_and(|h| h.cell.slot == fresh.cell.slot && narrow(h) <= narrow(&fresh)) {
            return;
        }
        if fresh.age(now).1 > self.slot.mul_f64((2 * KEPT) as f64) && known.is_none() {
            return;
        }
        let (name, life) = key.clone();
        self.unmet.remove(&name);
        let later = self
            .heard
            .range((name.clone(), life + 1)..)
            .next()
            .is_some_and(|h| h.0.0 == name);
        let closed = later.then_some(now);
        self.heard.insert(key, Heard { closed, ..fresh });
        for (_, former) in self.heard.range_mut((name.clone(), 0)..(name, life)) {
            former.closed = former.closed.or(Some(now));
        }
    }

    /// The view holds this server: it may count on, unheard, also while it is lost and remembered.
    pub fn there(&mut self, now: Timestamp, name: &CompactString) {
        let first = (name.clone(), 0);
        if self
            .heard
            .range(first..)
            .next()
            .is_none_or(|h| h.0.0 != *name)
        {
            self.unmet.entry(name.clone()).or_insert(now);
        }
    }

    /// Who has left, or was forgotten, counts no more.
    pub fn gone(&mut self, now: Timestamp, name: &CompactString) {
        let first = (name.clone(), 0);
        for (_, heard) in self.heard.range_mut(first..).take_while(|h| h.0.0 == *name) {
            heard.closed = heard.closed.or(Some(now));
        }
        self.unmet.remove(name);
    }

    /// Lets go of what no window holds any more.
    pub fn tidy(&mut self, now: Timestamp) {
        let keep = self.slot.mul_f64((2 * KEPT) as f64);
        self.heard
            .retain(|_, h| h.closed.is_none_or(|at| now - at < keep));
    }

    /// How often a key came over the fleet in the window that ended `LAG` slots ago. `fair` is what a server
    /// that is not heard is taken to count of it a second, in the long run.
    pub fn estimate(&self, now: Timestamp, key: u32, fair: f64) -> CountEstimate {
        let mut told = self.own(now, key);
        let (slot, from) = (self.slot.as_secs_f64(), self.slot.mul_f64(LAG as f64));
        let to = self.slot.mul_f64(KEPT as f64);
        for heard in self.heard.values() {
            let (least, most) = heard.age(now);
            let listed = heard.cell.heavy.iter().find(|h| h.0 == key).map(|h| &h.1);
            let (mut low, mut high) = (0.0, 0.0);
            for (back, n) in (0u64..).zip(listed.into_iter().flatten()) {
                let past = self.slot.mul_f64(back as f64);
                let n = f64::from(*n);
                if least + past >= from && most + past < to {
                    low += n;
                }
                if most + past >= from && least + past < to {
                    high += n;
                }
            }
            if least < to {
                let cell = &heard.cell;
                let rest = cell.rest.get(place(key, PLACES)).copied().unwrap_or(0);
                let rest = rest.saturating_add(cell.hidden).min(cell.rest_most);
                high += f64::from(if listed.is_some() { cell.hidden } else { rest });
            }
            // Slots since that may lie in the window, and were not told of.
            let end = heard.closed.map_or(Duration::ZERO, |at| {
                (now - at)
                    .mul_f64(1.0 - MAX_CLOCK_DRIFT)
                    .saturating_sub(self.slot)
            });
            let slots = |s: Duration| s.as_micros() / self.slot.as_micros();
            // Those that are over for longer than the window reaches back are none of it.
            let unknown = slots(most.saturating_sub(from.max(end)))
                .saturating_sub(slots(least.saturating_sub(to)))
                .min(SLOTS) as f64;
            let mut value = (low + high) / 2.0;
            if unknown > 0.0 {
                let rate = listed.map_or(0.0, |l| l.iter().map(|n| f64::from(*n)).sum())
                    / (KEPT as f64 * slot);
                let keeps =
                    (-(least.as_secs_f64() / self.settings.window.as_secs_f64()) / FADES).exp();
                value += unknown * slot * (rate * keeps + fair * (1.0 - keeps));
                high += unknown * slot * self.settings.max_per_second;
                told.stale_servers += 1;
            }
            told.low += low;
            told.high += high;
            told.value += value.clamp(low, high);
        }
        for _ in self.unmet.values() {
            told.high += self.settings.window.as_secs_f64() * self.settings.max_per_second;
            told.value +=
                self.settings.window.as_secs_f64() * fair.min(self.settings.max_per_second);
            told.stale_servers += 1;
        }
        told
    }

    /// Lives of others of which anything is kept.
    pub fn tracked_incarnations(&self) -> usize {
        self.heard.len()
    }

    pub fn is_empty(&self) -> bool {
        self.heard.is_empty()
    }
}
