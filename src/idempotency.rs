//! The table of idempotency keys: which attempts belong to one request, and which of them runs.
//!
//! Stores the entries and counts their memory. Attempts are identified by their slots in the request table.

use crate::slots::{KeySlot, RequestSlot};
use crate::time::Timestamp;
use slotmap::SlotMap;
use std::collections::HashMap;

/// What an attempt of a keyed request has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptRole {
    /// Share the answer of another attempt, whose run has started.
    Join,
    /// Wait for the start of another attempt, which is chosen to run.
    AwaitStart,
    /// Run; the other attempts share its answer.
    Run,
}

/// The attempts of one keyed request on this server.
#[derive(Clone, Debug, Default)]
struct Entry {
    runner: Option<RequestSlot>,
    run_started: bool,
    /// When the stored entry expires; `None` while none is stored.
    stored_until: Option<Timestamp>,
    waiting: Vec<RequestSlot>,
    attempt_ids: Vec<u64>,
}

/// The idempotency keys and the attempts that are bound to each.
#[derive(Debug, Default)]
pub(crate) struct IdempotencyTable {
    entries: SlotMap<KeySlot, Entry>,
    key_of: HashMap<u64, KeySlot>,
    stored_entries: usize,
    entry_kb: f64,
}

impl IdempotencyTable {
    /// Returns an empty table, in which each stored entry takes `entry_kb` of memory.
    pub(crate) fn new(entry_kb: f64) -> IdempotencyTable {
        IdempotencyTable {
            entry_kb,
            ..IdempotencyTable::default()
        }
    }

    /// Binds an attempt and the attempt that it retries to one key, and returns the key: the one that the attempt, or
    /// else the retried one, belongs to already, or a new one. `retry_of` is 0 for none. An attempt may refer to one of
    /// its batch that has not been added yet; the reference alone binds both.
    pub(crate) fn bind(&mut self, attempt_id: u64, retry_of: u64) -> KeySlot {
        let ids = if retry_of == 0 {
            &[attempt_id][..]
        } else {
            &[attempt_id, retry_of]
        };
        let known = ids.iter().find_map(|id| self.key_of.get(id).copied());
        let key = known.unwrap_or_else(|| self.entries.insert(Entry::default()));
        for id in ids {
            if self.key_of.insert(*id, key).is_none() {
                self.entries[key].attempt_ids.push(*id);
            }
        }
        key
    }

    /// Returns the memory of all stored entries, in kB.
    pub(crate) fn memory_kb(&self) -> f64 {
        self.stored_entries as f64 * self.entry_kb
    }

    /// Returns the memory of one stored entry, in kB.
    pub(crate) fn entry_kb(&self) -> f64 {
        self.entry_kb
    }

    /// Adds an attempt under its key and returns its role. `in_flight` reports whether another attempt has not ended.
    pub(crate) fn enter(
        &mut self,
        key: KeySlot,
        attempt: RequestSlot,
        in_flight: impl Fn(RequestSlot) -> bool,
    ) -> AttemptRole {
        let entry = &mut self.entries[key];
        if entry.run_started {
            return AttemptRole::Join;
        }
        if entry.runner.is_some_and(in_flight) {
            entry.waiting.push(attempt);
            return AttemptRole::AwaitStart;
        }
        entry.runner = Some(attempt);
        AttemptRole::Run
    }

    /// Makes the first of the attempts the one to run, and lets the others wait for it. Returns the first, if any.
    pub(crate) fn promote(
        &mut self,
        key: KeySlot,
        attempts: &[RequestSlot],
    ) -> Option<RequestSlot> {
        let (first, others) = attempts.split_first()?;
        let entry = &mut self.entries[key];
        (entry.runner, entry.waiting) = (Some(*first), others.to_vec());
        entry.runner
    }

    /// Records that the runner has started. Removes the attempts that wait for it from the entry, and returns them.
    pub(crate) fn start_run(&mut self, key: KeySlot) -> Vec<RequestSlot> {
        let entry = &mut self.entries[key];
        entry.run_started = true;
        std::mem::take(&mut entry.waiting)
    }

    /// Removes an attempt that never started. If it was chosen to run, returns the attempts that waited for it.
    pub(crate) fn withdraw(
        &mut self,
        key: KeySlot,
        attempt: RequestSlot,
    ) -> Option<Vec<RequestSlot>> {
        let entry = &mut self.entries[key];
        entry.waiting.retain(|other| *other != attempt);
        let was_runner = entry.runner == Some(attempt) && !entry.run_started;
        was_runner.then(|| std::mem::take(&mut entry.waiting))
    }

    /// Records that the key is stored until the given time.
    pub(crate) fn store(&mut self, key: KeySlot, until: Timestamp) {
        let is_new = self.entries[key].stored_until.replace(until).is_none();
        self.stored_entries += usize::from(is_new);
    }

    /// Removes a key's stored entry if it has expired. An entry that was stored again, until a later time, stays.
    pub(crate) fn expire(&mut self, now: Timestamp, key: KeySlot) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if entry.stored_until.is_some_and(|until| until <= now) {
            entry.stored_until = None;
            self.stored_entries -= 1;
        }
    }

    /// Removes a key and its attempts from the table.
    pub(crate) fn forget(&mut self, key: KeySlot) {
        self.remove(key);
    }

    /// Removes a key and its attempts from the table. Reports whether the key was stored.
    pub(crate) fn remove(&mut self, key: KeySlot) -> bool {
        let Some(entry) = self.entries.remove(key) else {
            return false;
        };
        let was_stored = entry.stored_until.is_some();
        self.stored_entries -= usize::from(was_stored);
        for id in entry.attempt_ids {
            self.key_of.remove(&id);
        }
        was_stored
    }
}
