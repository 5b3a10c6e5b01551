//! The table of idempotency keys, which ensures that all attempts of a request share one run.
//!
//! `IdempotencyTable` owns, for each key of this incarnation, the state of its one run, the attempts that wait for
//! it, and the result in memory. It is told of admitted attempts, of the start and the end of runs, and of the
//! time. It neither runs nor answers requests and does not access the disk: results that outlast an incarnation
//! belong to the idempotency store.

use crate::downstream::wire_names::param;
use madderbay::interface::HandlerId;
use madderbay::time::{Duration, Timestamp};
use madderbay_settings::Settings;
use std::collections::{BTreeSet, HashMap};

/// The value of an idempotency key, which is written as 32 hex digits.
pub type IdempotencyKey = u128;

/// The state of the one run of a key.
enum RunState {
    /// The decision module has not started it yet.
    NotStarted,
    /// It was started and has not ended.
    Running,
    /// It ended with this result, a JSON string with its quotes.
    Completed(Box<str>),
    /// It failed, or its result was too large to be cached.
    Failed,
}

/// The entry of one key.
struct Entry {
    /// The id of the newest attempt.
    newest_attempt: u64,
    fingerprint: u64,
    window_end: Timestamp,
    /// Time for which the entry outlasts its window. An attempt that arrived within the window may be read this
    /// much later, while this process waits for a core.
    read_delay_allowance: Duration,
    run: RunState,
    /// The ids of the attempts that wait for the run.
    joined: Vec<u64>,
}

impl Entry {
    /// Returns the time at which the entry is removed, unless its run is still in progress.
    fn expiry(&self) -> Timestamp {
        self.window_end + self.read_delay_allowance
    }
}

/// The state of the run that an attempt joins.
pub enum JoinedAttempt {
    /// The run has not ended. [`IdempotencyTable::run_ended`] returns this attempt's id when it does.
    Waits,
    /// The result of the run, a JSON string with its quotes.
    Completed(Box<str>),
    /// The run failed, or its result was not cached.
    Failed,
}

/// An idempotency key was used again with another handler or body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{} came with another body", param::IDEMPOTENCY_KEY)]
pub struct FingerprintMismatch;

/// The window of a key, within which attempts share one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyWindow {
    /// Hash of handler and body, the same for all attempts of the key.
    pub fingerprint: u64,
    /// The end of the window.
    pub end: Timestamp,
}

/// The expiry time of a key's entry. Ordered by the time first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct KeyExpiry {
    at: Timestamp,
    key: IdempotencyKey,
}

/// The idempotency keys of this incarnation and the state of their runs.
pub struct IdempotencyTable {
    /// The timeout of each handler. An attempt that is read later than this after its arrival is not started any
    /// more.
    read_delay_allowances: Vec<Duration>,
    entries: HashMap<IdempotencyKey, Entry>,
    keys_by_newest_attempt: HashMap<u64, IdempotencyKey>,
    expiries: BTreeSet<KeyExpiry>,
    cached_bytes: usize,
    max_cached_bytes: usize,
}

impl IdempotencyTable {
    /// Creates an empty table that caches results of up to `max_cached_bytes` in total.
    pub fn new(settings: &Settings, max_cached_bytes: usize) -> IdempotencyTable {
        IdempotencyTable {
            read_delay_allowances: settings
                .handlers
                .iter()
                .map(|handler| handler.timeout)
                .collect(),
            entries: HashMap::new(),
            keys_by_newest_attempt: HashMap::new(),
            expiries: BTreeSet::new(),
            cached_bytes: 0,
            max_cached_bytes,
        }
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Reports whether a key is known in this incarnation.
    pub fn contains(&self, key: IdempotencyKey) -> bool {
        self.entries.contains_key(&key)
    }

    /// Returns the window of a key, if the key is known.
    pub fn window(&self, key: IdempotencyKey) -> Option<KeyWindow> {
        self.entries.get(&key).map(|entry| KeyWindow {
            fingerprint: entry.fingerprint,
            end: entry.window_end,
        })
    }

    /// Returns the id of the newest attempt of a key, if the key is known.
    ///
    /// # Errors
    /// The key is known with another fingerprint.
    pub fn newest_attempt(
        &self,
        key: IdempotencyKey,
        fingerprint: u64,
    ) -> Result<Option<u64>, FingerprintMismatch> {
        match self.entries.get(&key) {
            Some(entry) if entry.fingerprint != fingerprint => Err(FingerprintMismatch),
            entry => Ok(entry.map(|entry| entry.newest_attempt)),
        }
    }

    /// Adds an attempt as the newest one of its key, and sets the end of the key's window.
    pub fn insert(&mut self, id: u64, key: IdempotencyKey, handler: HandlerId, window: KeyWindow) {
        let entry = self.entries.entry(key).or_insert_with(|| Entry {
            newest_attempt: id,
            fingerprint: window.fingerprint,
            window_end: window.end,
            read_delay_allowance: self.read_delay_allowances[handler.index()],
            run: RunState::NotStarted,
            joined: vec![],
        });
        self.expiries.remove(&KeyExpiry {
            at: entry.expiry(),
            key,
        });
        self.keys_by_newest_attempt.remove(&entry.newest_attempt);
        entry.newest_attempt = id;
        entry.window_end = window.end;
        self.keys_by_newest_attempt.insert(id, key);
        self.expiries.insert(KeyExpiry {
            at: entry.expiry(),
            key,
        });
    }

    /// Removes the key whose newest attempt has this id.
    pub fn remove_key_of_newest_attempt(&mut self, id: u64) {
        let Some(key) = self.keys_by_newest_attempt.get(&id).copied() else {
            return;
        };
        if let Some(at) = self.remove(key) {
            self.expiries.remove(&KeyExpiry { at, key });
        }
    }

    /// Removes an entry. Returns the time at which it would have expired.
    fn remove(&mut self, key: IdempotencyKey) -> Option<Timestamp> {
        let entry = self.entries.remove(&key)?;
        self.keys_by_newest_attempt.remove(&entry.newest_attempt);
        if let RunState::Completed(result) = &entry.run {
            self.cached_bytes -= result.len();
        }
        Some(entry.expiry())
    }

    /// Records that the run of a key was started.
    pub fn run_started(&mut self, key: IdempotencyKey) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.run = RunState::Running;
        }
    }

    /// Records that the run of a key ended, with its result if it completed. Returns the ids of the attempts that
    /// joined it. A result that does not fit in the cache is not stored: later attempts fail, and none is run
    /// again.
    pub fn run_ended(&mut self, key: IdempotencyKey, result: Option<&str>) -> Vec<u64> {
        let Some(entry) = self.entries.get_mut(&key) else {
            return vec![];
        };
        let fits_in_cache =
            |result: &&str| self.cached_bytes + result.len() <= self.max_cached_bytes;
        entry.run = match result.filter(fits_in_cache) {
            Some(result) => {
                self.cached_bytes += result.len();
                RunState::Completed(result.into())
            }
            None => RunState::Failed,
        };
        std::mem::take(&mut entry.joined)
    }

    /// Joins an attempt to the run of its key, and returns the result if the run has ended. An attempt without a
    /// key or with an unknown one fails.
    pub fn join(&mut self, id: u64, key: Option<IdempotencyKey>) -> JoinedAttempt {
        let Some(entry) = key.and_then(|key| self.entries.get_mut(&key)) else {
            return JoinedAttempt::Failed;
        };
        match &entry.run {
            RunState::Completed(result) => JoinedAttempt::Completed(result.clone()),
            RunState::Failed => JoinedAttempt::Failed,
            RunState::NotStarted | RunState::Running => {
                entry.joined.push(id);
                JoinedAttempt::Waits
            }
        }
    }

    /// Returns the first entry that has expired.
    fn first_expired(&self, now: Timestamp) -> Option<KeyExpiry> {
        let first = self.expiries.first().copied()?;
        (first.at <= now).then_some(first)
    }

    /// Removes the expired entries. An entry whose run is still in progress is renewed.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some(expiry) = self.first_expired(now) {
            self.expiries.remove(&expiry);
            let key = expiry.key;
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            if matches!(entry.run, RunState::Running) {
                entry.window_end = now;
                self.expiries.insert(KeyExpiry {
                    at: entry.expiry(),
                    key,
                });
            } else {
                self.remove(key);
            }
        }
    }
}
