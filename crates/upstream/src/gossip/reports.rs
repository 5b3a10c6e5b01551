//! What others say of a backend, weighed. Each tells what it saw itself, never what it heard, so that no rumour
//! feeds itself; a witness that finds most of all backends bad speaks of itself; all those of one zone are
//! little more than one, since they may stand behind one cut; and words fade.

use compact_str::CompactString;
use madderbay::time::{Duration, Timestamp};
use std::collections::{BTreeMap, HashMap};

/// A word is worth nothing after this, and less and less before.
pub const WORD_FOR: Duration = Duration::from_millis(5_000);
/// Witnesses kept of one backend: the latest.
const WITNESSES_MOST: usize = 64;
/// A zone's word, in bad calls: that of one witness, and of any number of them.
const ZONE_MOST: f64 = 2.0;
/// All zones together.
const UNITS_MOST: f64 = 4.0;
/// A zone speaks against a backend where that part of its witnesses does, by so much.
const ZONE_PART: f64 = 0.5;
const ZONE_COUNTS: f64 = 0.9;
/// What is taken for granted beside what a witness says that it saw.
const GRANTED: f64 = 0.5;
/// What may be heard against a backend that is said to do well.
const WELL_UNITS: f64 = 0.4;
/// One that speaks of good calls alone, and of so many at the least, has seen the backend do well.
const WELL: f64 = 0.9;

/// What one witness said.
#[derive(Clone, Debug)]
struct Word {
    zone: CompactString,
    life: u64,
    good: f64,
    bad: f64,
    /// When it was so, as far as is known.
    at: Timestamp,
    credible: bool,
}

impl Word {
    fn fresh(&self, now: Timestamp) -> f64 {
        1.0 - ((now - self.at).as_secs_f64() / WORD_FOR.as_secs_f64()).min(1.0)
    }
}

/// All that is heard of one backend, in short.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// As so many bad calls of one's own.
    pub units: f64,
    /// Zones that speak against it.
    pub zones: usize,
    pub witnesses: usize,
    /// When somebody last saw it do well, and nothing else.
    pub well: Option<Timestamp>,
}

impl Summary {
    /// What it leaves of a backend's weight.
    pub fn weight(&self) -> f64 {
        1.0 / (1.0 + 2.0 * self.units * self.units)
    }
}

/// What the witnesses say, by backend.
#[derive(Default)]
pub struct Heard {
    words: HashMap<u32, BTreeMap<CompactString, Word>>,
}

/// One line of a witness: what it saw of a backend, and how long ago it was so.
#[derive(Clone, Copy, Debug)]
pub struct Said {
    pub mark: u32,
    pub good: f64,
    pub bad: f64,
    pub age: Duration,
}

impl Heard {
    pub fn hear(
        &mut self,
        now: Timestamp,
        from: &CompactString,
        zone: &CompactString,
        life: u64,
        credible: bool,
        said: Said,
    ) {
        let words = self.words.entry(said.mark).or_default();
        let at = now.saturating_sub(said.age);
        if words.len() >= WITNESSES_MOST && !words.contains_key(from) {
            let oldest = words
                .iter()
                .min_by_key(|w| w.1.at)
                .map(|w| (w.0.clone(), w.1.at));
            match oldest {
                Some((name, old)) if old < at => words.remove(&name),
                _ => return,
            };
        }
        let word = Word {
            zone: zone.clone(),
            life,
            good: said.good,
            bad: said.bad,
            at,
            credible,
        };
        // An older word that comes late says nothing more.
        let known = words
            .get(from)
            .is_some_and(|w| w.life > life || w.life == life && w.at > at);
        if !known {
            words.insert(from.clone(), word);
        }
    }

    /// A life is over, and its word with it; `life` is the one that goes on, if any does.
    pub fn gone(&mut self, from: &CompactString, life: Option<u64>) {
        for words in self.words.values_mut() {
            if words.get(from).is_some_and(|w| Some(w.life) != life) {
                words.remove(from);
            }
        }
    }

    /// Lets go of what is too old, and of backends that are not known.
    pub fn tidy(&mut self, now: Timestamp, known: impl Fn(u32) -> bool) {
        self.words.retain(|mark, words| {
            words.retain(|_, w| now - w.at < WORD_FOR);
            !words.is_empty() && known(*mark)
        });
    }

    pub fn summary(&self, now: Timestamp, mark: u32) -> Summary {
        let Some(words) = self.words.get(&mark) else {
            return Summary::default();
        };
        let mut zones: BTreeMap<&CompactString, (f64, f64)> = BTreeMap::new();
        let mut found = Summary::default();
        for word in words
            .values()
            .filter(|w| w.credible && now - w.at < WORD_FOR)
        {
            let worth = word.fresh(now);
            let against = word.bad / (word.good + word.bad + GRANTED);
            let zone = zones.entry(&word.zone).or_default();
            zone.0 += worth * against;
            zone.1 += worth * (word.good / (word.good + word.bad + GRANTED));
            found.witnesses += 1;
            if word.good >= WELL && word.bad < 0.3 {
                found.well = found.well.max(Some(word.at));
            }
        }
        for (against, good) in zones.into_values() {
            let part = against / (against + good).max(1e-9);
            let units = ZONE_MOST * (1.0 - 0.5f64.powf(against)) * part;
            found.units += units;
            found.zones += usize::from(part >= ZONE_PART && units >= ZONE_COUNTS * 0.5);
        }
        found.units = found.units.min(UNITS_MOST);
        // While others still speak against it one that saw it do well may be the lucky one.
        found.well = found.well.filter(|_| found.units < WELL_UNITS);
        found
    }

    /// Words kept, of all backends.
    pub fn len(&self) -> usize {
        self.words.values().map(BTreeMap::len).sum()
    }
}

#[cfg(test)]
mod tests;
