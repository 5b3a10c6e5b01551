//! DurableResults results of keyed reqs over a restart. A promise lasts before its run is sent, and a result before
//! its answer leaves; what was promised by a former life and has no result may have run, and is never run
//! again.
//!
//! [`DurableResults`] decides: what may be promised, what a repeat hears, what waits for which write. It does no I/O:
//! it gives batches of records to be written and is told what came of them. [`log`] writes and recovers them
//! on a [`storage`], which is the file system or, in tests, a memory that crashes.

pub mod error;
pub mod record;
pub mod recovery;
pub mod segment;
pub mod storage;
pub mod verify;
pub mod write_ahead_log;

use crate::record::{AttemptId, IdempotencyKey, Record};
use crate::recovery::{Recovery, RunState};
use crate::write_ahead_log::LogEntry;
pub use error::StoreError;
use madderbay::time::{Duration, Timestamp};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Numbers what was handed out to be written, in order.
pub type SequenceNumber = u64;

/// The part of the disk past which results are no more kept, only that their runs are over: intents go
/// before.
const RESULTS_PART: f64 = 0.75;
/// Bytes of a promise, which needs room for its end as well.
const PROMISE: u64 = (record::INTENT_BYTES + record::KEY_RECORD_BYTES) as u64;
/// Entries of a former life last this much past their window, for tries that are read late.
const READ_LATE: Duration = Duration::from_millis(10_000);

/// What a try of a keyed req is to hear.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// Nothing is known of it from a former life.
    NotFound,
    Completed(Box<[u8]>),
    /// It ran without a result that could be given, or may have run.
    NoResult,
    /// The same key came with another handler or body.
    Mismatch,
}

/// Why nothing may be promised now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntentError {
    /// The disk's bound is reached by what may not be forgotten yet.
    Full,
    /// Nothing can be written.
    Broken,
}

struct Former {
    print: u64,
    until: Timestamp,
    name: AttemptId,
    state: RunState,
}

/// The decisions and books of one life.
pub struct DurableResults {
    former: HashMap<IdempotencyKey, Former>,
    names: HashMap<AttemptId, IdempotencyKey>,
    lapses: BTreeSet<(Timestamp, IdempotencyKey)>,
    /// Results that came from the engine after the restart, which last once so much is written.
    back: VecDeque<(SequenceNumber, IdempotencyKey, Box<[u8]>)>,
    out: Vec<LogEntry>,
    handed: SequenceNumber,
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

impl DurableResults {
    /// `memory_most`, `disk_most`: bytes of results of former lives, and of all files.
    pub fn new(memory_most: usize, disk_most: u64) -> DurableResults {
        DurableResults {
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
    pub fn load_recovery(&mut self, recovery: Recovery) {
        self.disk = recovery.size_bytes;
        let mut found: Vec<_> = recovery.runs.into_iter().collect();
        found.sort_by_key(|(key, f)| (std::cmp::Reverse(f.expires_at_micros), *key));
        for (key, f) in found {
            let until = Timestamp::from_micros(f.expires_at_micros) + READ_LATE;
            let state = match f.state {
                RunState::Completed(result) if self.memory + result.len() <= self.memory_most => {
                    self.memory += result.len();
                    RunState::Completed(result)
                }
                RunState::Completed(_) => RunState::NoResult,
                other => other,
            };
            if state == RunState::MayHaveRun {
                self.names.insert(f.attempt_id, key);
            }
            self.lapses.insert((until, key));
            self.former.insert(
                key,
                Former {
                    print: f.request_hash,
                    until,
                    name: f.attempt_id,
                    state,
                },
            );
        }
    }

    /// Keyed reqs known from a former life, and bytes on the disk with those on their way.
    pub fn usage(&self) -> (usize, u64) {
        (self.former.len(), self.disk + self.coming)
    }

    /// What a try hears, from what former lives left.
    pub fn lookup(&mut self, key: IdempotencyKey, print: u64) -> Lookup {
        let Some(former) = self.former.get(&key) else {
            return Lookup::NotFound;
        };
        if former.print != print {
            return Lookup::Mismatch;
        }
        match &former.state {
            RunState::Completed(result) => {
                self.answered += 1;
                Lookup::Completed(result.clone())
            }
            RunState::MayHaveRun | RunState::NoResult => {
                self.errored += 1;
                Lookup::NoResult
            }
        }
    }

    /// Whether one more promise may be made; else why not.
    pub fn admit_intent(&mut self) -> Result<(), IntentError> {
        let refusal = match (
            self.broken,
            self.disk + self.coming + PROMISE > self.disk_most,
        ) {
            (true, _) => IntentError::Broken,
            (false, true) => IntentError::Full,
            (false, false) => return Ok(()),
        };
        self.refused += 1;
        Err(refusal)
    }

    fn hand(&mut self, record: Record, until: Timestamp) -> SequenceNumber {
        self.coming += record.size_bytes() as u64;
        self.out.push(LogEntry {
            record,
            expires_at_micros: until_micros(until),
        });
        self.handed += 1;
        self.handed
    }

    /// Its run is to be sent once this is written.
    pub fn record_intent(
        &mut self,
        key: IdempotencyKey,
        print: u64,
        name: AttemptId,
        until: Timestamp,
    ) -> SequenceNumber {
        self.promised += 1;
        self.hand(
            Record::Intent {
                key,
                request_hash: print,
                expires_at_micros: until_micros(until),
                attempt_id: name,
            },
            until,
        )
    }

    /// Its run is over; its answer may leave once this is written.
    pub fn record_result(
        &mut self,
        key: IdempotencyKey,
        result: Option<&[u8]>,
        until: Timestamp,
    ) -> SequenceNumber {
        let room = (self.disk_most as f64 * RESULTS_PART) as u64;
        let kept = result.filter(|r| self.disk + self.coming + r.len() as u64 <= room);
        let record = match kept {
            Some(result) => Record::Completed {
                key,
                result: result.into(),
            },
            None => Record::NoResult { key },
        };
        self.hand(record, until)
    }

    /// What was promised was never sent, or the engine knows none of it: a further try is a new one.
    pub fn record_not_run(&mut self, key: IdempotencyKey, until: Timestamp) -> SequenceNumber {
        self.hand(Record::NotRun { key }, until)
    }

    /// The engine tells of a run of a former life: once written its repeats are answered from it. False where
    /// no such run is known.
    pub fn complete_recovered_run(&mut self, name: &AttemptId, result: Option<&[u8]>) -> bool {
        let Some(key) = self.names.remove(name) else {
            return false;
        };
        let Some(former) = self.former.get_mut(&key) else {
            return false;
        };
        former.state = RunState::NoResult;
        let until = former.until;
        let fits = result.filter(|r| self.memory + r.len() <= self.memory_most);
        let seq = self.record_result(key, fits, until);
        if let Some(result) = fits {
            self.memory += result.len();
        }
        self.back.extend(fits.map(|r| (seq, key, r.into())));
        true
    }

    /// What is to be written next, all of it together, and the number of its last.
    pub fn take_batch(&mut self) -> Option<(SequenceNumber, Vec<LogEntry>)> {
        if self.out.is_empty() {
            return None;
        }
        Some((self.handed, std::mem::take(&mut self.out)))
    }

    /// All up to a number lasts; the disk has so many bytes now.
    pub fn on_committed(&mut self, seq: SequenceNumber, disk: u64) {
        self.disk = disk;
        self.coming = self
            .out
            .iter()
            .map(|entry| entry.record.size_bytes() as u64)
            .sum();
        self.broken = false;
        while let Some((_, key, result)) = self.back.pop_front_if(|b| b.0 <= seq) {
            match self.former.get_mut(&key) {
                Some(former) => former.state = RunState::Completed(result),
                None => self.memory -= result.len(),
            }
        }
    }

    /// Nothing up to a number can be said to last.
    pub fn on_commit_failed(&mut self, seq: SequenceNumber) {
        (self.broken, self.coming) = (true, 0);
        self.failures += 1;
        while let Some((_, _, result)) = self.back.pop_front_if(|b| b.0 <= seq) {
            self.memory -= result.len();
        }
    }

    /// Writing works again.
    pub fn on_storage_recovered(&mut self, disk: u64) {
        (self.broken, self.disk) = (false, disk);
    }

    /// Takes off what is past its window.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some(&(at, key)) = self.lapses.first().filter(|l| l.0 <= now) {
            self.lapses.remove(&(at, key));
            if let Some(former) = self.former.remove(&key) {
                self.names.remove(&former.name);
                if let RunState::Completed(result) = &former.state {
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
