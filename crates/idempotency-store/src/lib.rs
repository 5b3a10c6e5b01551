//! Kept results of keyed reqs over a restart. A promise lasts before its run is sent, and a result before
//! its answer leaves; what was promised by a former life and has no result may have run, and is never run
//! again.
//!
//! [`Kept`] decides: what may be promised, what a repeat hears, what waits for which write. It does no I/O:
//! it gives batches of records to be written and is told what came of them. [`log`] writes and recovers them
//! on a [`storage`], which is the file system or, in tests, a memory that crashes.

pub mod log;
pub mod record;
pub mod storage;

use crate::log::{Lasting, Recovery, State};
use crate::record::{Key, Name, Record};
use madderbay::time::{Duration, Timestamp};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Numbers what was handed out to be written, in order.
pub type Seq = u64;

/// The part of the disk past which results are no more kept, only that their runs are over: intents go
/// before.
const RESULTS_PART: f64 = 0.75;
/// Bytes of a promise, which needs room for its end as well.
const PROMISE: u64 = (record::INTENT + record::BARE) as u64;
/// Entries of a former life last this much past their window, for tries that are read late.
const READ_LATE: Duration = Duration::from_millis(10_000);

/// What a try of a keyed req is to hear.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is known of it from a former life.
    Unknown,
    Done(Box<[u8]>),
    /// It ran without a result that could be given, or may have run.
    Errored,
    /// The same key came with another handler or body.
    Unlike,
}

/// Why nothing may be promised now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The disk's bound is reached by what may not be forgotten yet.
    Full,
    /// Nothing can be written.
    Broken,
}

struct Former {
    print: u64,
    until: Timestamp,
    name: Name,
    state: State,
}

/// The decisions and books of one life.
pub struct Kept {
    former: HashMap<Key, Former>,
    names: HashMap<Name, Key>,
    lapses: BTreeSet<(Timestamp, Key)>,
    /// Results that came from the engine after the restart, which last once so much is written.
    back: VecDeque<(Seq, Key, Box<[u8]>)>,
    out: Vec<Lasting>,
    handed: Seq,
    /// Bytes on the disk as last told, those on their way, and the most.
    disk: u64,
    coming: u64,
    disk_most: u64,
    /// Bytes of results of a former life that are held, and may be.
    memory: usize,
    memory_most: usize,
    broken: bool,
    /// Repeats answered from a former life, promises and refusals, failures to write.
    pub answered: u64,
    pub errored: u64,
    pub promised: u64,
    pub refused: u64,
    pub failures: u64,
}

impl Kept {
    /// `memory_most`, `disk_most`: bytes of results of former lives, and of all files.
    pub fn new(memory_most: usize, disk_most: u64) -> Kept {
        Kept {
            former: HashMap::new(),
            names: HashMap::new(),
            lapses: BTreeSet::new(),
            back: VecDeque::new(),
            out: vec![],
            handed: 0,
            disk: 0,
            coming: 0,
            disk_most,
            memory: 0,
            memory_most,
            broken: false,
            answered: 0,
            errored: 0,
            promised: 0,
            refused: 0,
            failures: 0,
        }
    }

    /// Takes over what a former life left. Results past the memory are given up, those that lapse first
    /// before the others: their repeats are errored, and never run.
    pub fn recovered(&mut self, recovery: Recovery) {
        self.disk = recovery.bytes;
        let mut found: Vec<_> = recovery.found.into_iter().collect();
        found.sort_by_key(|(key, f)| (std::cmp::Reverse(f.until), *key));
        for (key, f) in found {
            let until = Timestamp::from_micros(f.until) + READ_LATE;
            let state = match f.state {
                State::Done(result) if self.memory + result.len() <= self.memory_most => {
                    self.memory += result.len();
                    State::Done(result)
                }
                State::Done(_) => State::Errored,
                other => other,
            };
            if state == State::MayHaveRun {
                self.names.insert(f.name, key);
            }
            self.lapses.insert((until, key));
            self.former.insert(
                key,
                Former {
                    print: f.print,
                    until,
                    name: f.name,
                    state,
                },
            );
        }
    }

    /// Keyed reqs known from a former life, and bytes on the disk with those on their way.
    pub fn standing(&self) -> (usize, u64) {
        (self.former.len(), self.disk + self.coming)
    }

    /// What a try hears, from what former lives left.
    pub fn judge(&mut self, key: Key, print: u64) -> Verdict {
        let Some(former) = self.former.get(&key) else {
            return Verdict::Unknown;
        };
        if former.print != print {
            return Verdict::Unlike;
        }
        match &former.state {
            State::Done(result) => {
                self.answered += 1;
                Verdict::Done(result.clone())
            }
            State::MayHaveRun | State::Errored => {
                self.errored += 1;
                Verdict::Errored
            }
        }
    }

    /// Whether one more promise may be made; else why not.
    pub fn may_promise(&mut self) -> Result<(), Refusal> {
        let refusal = match (
            self.broken,
            self.disk + self.coming + PROMISE > self.disk_most,
        ) {
            (true, _) => Refusal::Broken,
            (false, true) => Refusal::Full,
            (false, false) => return Ok(()),
        };
        self.refused += 1;
        Err(refusal)
    }

    fn hand(&mut self, record: Record, until: Timestamp) -> Seq {
        self.coming += record.size() as u64;
        self.out.push((record, until_micros(until)));
        self.handed += 1;
        self.handed
    }

    /// Its run is to be sent once this is written.
    pub fn promise(&mut self, key: Key, print: u64, name: Name, until: Timestamp) -> Seq {
        self.promised += 1;
        self.hand(
            Record::Intent {
                key,
                print,
                until: until_micros(until),
                name,
            },
            until,
        )
    }

    /// Its run is over; its answer may leave once this is written.
    pub fn settle(&mut self, key: Key, result: Option<&[u8]>, until: Timestamp) -> Seq {
        let room = (self.disk_most as f64 * RESULTS_PART) as u64;
        let kept = result.filter(|r| self.disk + self.coming + r.len() as u64 <= room);
        let record = match kept {
            Some(result) => Record::Done {
                key,
                result: result.into(),
            },
            None => Record::Errored { key },
        };
        self.hand(record, until)
    }

    /// What was promised was never sent, or the engine knows none of it: a further try is a new one.
    pub fn never(&mut self, key: Key, until: Timestamp) -> Seq {
        self.hand(Record::Never { key }, until)
    }

    /// The engine tells of a run of a former life: once written its repeats are answered from it. False where
    /// no such run is known.
    pub fn came_back(&mut self, name: &Name, result: Option<&[u8]>) -> bool {
        let Some(key) = self.names.remove(name) else {
            return false;
        };
        let Some(former) = self.former.get_mut(&key) else {
            return false;
        };
        former.state = State::Errored;
        let until = former.until;
        let fits = result.filter(|r| self.memory + r.len() <= self.memory_most);
        let seq = self.settle(key, fits, until);
        if let Some(result) = fits {
            self.memory += result.len();
        }
        self.back.extend(fits.map(|r| (seq, key, r.into())));
        true
    }

    /// What is to be written next, all of it together, and the number of its last.
    pub fn take(&mut self) -> Option<(Seq, Vec<Lasting>)> {
        if self.out.is_empty() {
            return None;
        }
        Some((self.handed, std::mem::take(&mut self.out)))
    }

    /// All up to a number lasts; the disk has so many bytes now.
    pub fn written(&mut self, seq: Seq, disk: u64) {
        self.disk = disk;
        self.coming = self.out.iter().map(|(r, _)| r.size() as u64).sum();
        self.broken = false;
        while let Some((_, key, result)) = self.back.pop_front_if(|b| b.0 <= seq) {
            match self.former.get_mut(&key) {
                Some(former) => former.state = State::Done(result),
                None => self.memory -= result.len(),
            }
        }
    }

    /// Nothing up to a number can be said to last.
    pub fn failed(&mut self, seq: Seq) {
        (self.broken, self.coming) = (true, 0);
        self.failures += 1;
        while let Some((_, _, result)) = self.back.pop_front_if(|b| b.0 <= seq) {
            self.memory -= result.len();
        }
    }

    /// Writing works again.
    pub fn works(&mut self, disk: u64) {
        (self.broken, self.disk) = (false, disk);
    }

    /// Takes off what is past its window.
    pub fn lapse(&mut self, now: Timestamp) {
        while let Some(&(at, key)) = self.lapses.first().filter(|l| l.0 <= now) {
            self.lapses.remove(&(at, key));
            if let Some(former) = self.former.remove(&key) {
                self.names.remove(&former.name);
                if let State::Done(result) = &former.state {
                    self.memory -= result.len();
                }
            }
        }
    }
}

/// A time as it is stored.
fn until_micros(at: Timestamp) -> u64 {
    (at - Timestamp::from_micros(0)).as_micros()
}
