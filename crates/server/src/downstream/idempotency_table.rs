//! The table of idempotency keys: one run for all attempts of a request.
//!
//! Owns: what is known in this incarnation of each key's one run, the attempts that wait for it, and the results
//! in memory. Is given: attempts that were admitted, the start and the end of a run, and the time. Never runs or
//! answers a request, and never touches the disk: results that outlast an incarnation are the idempotency store's.

use crate::downstream::wire_names::param;
use madderbay::interface::HandlerId;
use madderbay::time::{Duration, Timestamp};
use madderbay_settings::Settings;
use std::collections::{BTreeSet, HashMap};

/// The 32 hex digits of an idempotency key.
pub type IdempotencyKey = u128;

/// What is known of the one run of a key.
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

/// What is known of one key.
struct Entry {
    /// The id of the newest attempt.
    newest_attempt: u64,
    fingerprint: u64,
    window_end: Timestamp,
    /// Time for which the entry outlasts its window: an attempt that arrived within the window may be read as
    /// late as that, while this process waits for its core.
    read_delay_allowance: Duration,
    run: RunState,
    /// The ids of the attempts that wait for the run.
    joined: Vec<u64>,
}

impl Entry {
    /// When the entry is removed, unless its run goes on.
    fn expiry(&self) -> Timestamp {
        self.window_end + self.read_delay_allowance
    }
}

/// What an attempt that joins another gets.
pub enum JoinedAttempt {
    /// The run is not over: its end gives this attempt's id back.
    Waits,
    /// The result of the run, a JSON string with its quotes.
    Completed(Box<str>),
    /// The run failed, or its result was not cached.
    Failed,
}

/// An idempotency key came again with another handler or body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{} came with another body", param::IDEMPOTENCY_KEY)]
pub struct FingerprintMismatch;

/// The window of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyWindow {
    /// Hash of handler and body, the same for all attempts of the key.
    pub fingerprint: u64,
    /// Until when attempts share the run.
    pub end: Timestamp,
}

/// When the entry of a key expires, ordered by the instant first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct KeyExpiry {
    at: Timestamp,
    key: IdempotencyKey,
}

/// The keys of this incarnation.
pub struct IdempotencyTable {
    /// The timeout of each handler: an attempt read later than that is not started any more.
    read_delay_allowances: Vec<Duration>,
    entries: HashMap<IdempotencyKey, Entry>,
    keys_by_newest_attempt: HashMap<u64, IdempotencyKey>,
    expiries: BTreeSet<KeyExpiry>,
    cached_bytes: usize,
    max_cached_bytes: usize,
}

impl IdempotencyTable {
    /// An empty table that caches results of up to `max_cached_bytes` in all.
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

    /// The number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether a key is known from this incarnation.
    pub fn contains(&self, key: IdempotencyKey) -> bool {
        self.entries.contains_key(&key)
    }

    /// The window of a known key.
    pub fn window(&self, key: IdempotencyKey) -> Option<KeyWindow> {
        self.entries.get(&key).map(|entry| KeyWindow {
            fingerprint: entry.fingerprint,
            end: entry.window_end,
        })
    }

    /// The id of the newest attempt of a key, if the key is known.
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

    /// Enters an attempt with its key, or makes it the holder of the key's entry, until the end of its window.
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

    /// Removes an entry; gives the instant at which it would have expired.
    fn remove(&mut self, key: IdempotencyKey) -> Option<Timestamp> {
        let entry = self.entries.remove(&key)?;
        self.keys_by_newest_attempt.remove(&entry.newest_attempt);
        if let RunState::Completed(result) = &entry.run {
            self.cached_bytes -= result.len();
        }
        Some(entry.expiry())
    }

    /// The one run of a key was started.
    pub fn run_started(&mut self, key: IdempotencyKey) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.run = RunState::Running;
        }
    }

    /// The one run of a key ended, with its result if it completed. Gives the ids of the attempts that joined
    /// it. A result that exceeds the memory for all is not cached: later attempts fail, and none is run again.
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

    /// Joins an attempt to the run of its key: gives the result if that has ended. An attempt without a key, or
    /// of an unknown one, fails.
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

    /// The first entry that has expired.
    fn first_expired(&self, now: Timestamp) -> Option<KeyExpiry> {
        let first = self.expiries.first().copied()?;
        (first.at <= now).then_some(first)
    }

    /// Removes the entries that have expired. One whose run goes on is renewed.
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
