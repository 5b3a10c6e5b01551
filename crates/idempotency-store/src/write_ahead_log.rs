//! The log: segments that are written one after the other, each dropped whole once all in it has aged out.
//! What was written by a former life is read once, at the opening; a segment of a former life is never added
//! to, so that a torn end stays an end.

use crate::record::{AttemptId, IdempotencyKey, Record};
use crate::segment::{self, FORMAT_VERSION, HEADER_BYTES, Header, Records};
use crate::storage::Storage;
use std::collections::{HashMap, VecDeque};
use std::io;

/// A segment is closed at this part of the disk's bound, or at this part of the longest window: so what has
/// aged out leaves the disk soon after.
const SEGMENT_PART: u64 = 16;
const WINDOW_PART: u64 = 2;

/// One record and until when it has to last, in Unix microseconds.
pub type LogEntry = (Record, u64);

/// How a keyed req of a former life stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunState {
    /// Promised, and no more known: it may have run.
    MayHaveRun,
    Completed(Box<[u8]>),
    NoResult,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredRun {
    pub request_hash: u64,
    pub expires_at_micros: u64,
    pub attempt_id: AttemptId,
    pub state: RunState,
}

/// What a former life left.
#[derive(Debug, Default)]
pub struct Recovery {
    pub runs: HashMap<IdempotencyKey, RecoveredRun>,
    pub segments: usize,
    pub bytes: u64,
    /// Each segment's name and bytes, in order.
    sizes: Vec<(String, u64)>,
    pub records: u64,
    /// Segments that end in what is no whole record, and bytes there.
    pub torn_segments: usize,
    pub torn_bytes: u64,
}

struct Segment {
    name: String,
    bytes: u64,
    /// When all in it has aged out.
    until: u64,
}

pub struct WriteAheadLog<S: Storage> {
    storage: S,
    closed: VecDeque<Segment>,
    current: Option<(Segment, u64)>,
    next: u64,
    /// A closed segment may be this large, and this old.
    segment_most: u64,
    segment_for: u64,
}

/// Takes in one record of a former life.
fn replay(found: &mut HashMap<IdempotencyKey, RecoveredRun>, record: Record) {
    match record {
        Record::Intent {
            key,
            request_hash: print,
            expires_at_micros: until,
            attempt_id: name,
        } => {
            let fresh = RecoveredRun {
                request_hash: print,
                expires_at_micros: until,
                attempt_id: name,
                state: RunState::MayHaveRun,
            };
            let entry = found.entry(key).or_insert_with(|| fresh.clone());
            // A further intent without an end between belongs to the same run, or to none that is known to be
            // over: what is known of it stays.
            if entry.state == RunState::MayHaveRun {
                let until = entry.expires_at_micros.max(until);
                *entry = RecoveredRun {
                    expires_at_micros: until,
                    ..fresh
                };
            }
        }
        Record::Completed { key, result } => {
            if let Some(entry) = found.get_mut(&key) {
                entry.state = RunState::Completed(result);
            }
        }
        Record::NoResult { key } => {
            if let Some(entry) = found.get_mut(&key) {
                entry.state = RunState::NoResult;
            }
        }
        Record::NotRun { key } => {
            if found
                .get(&key)
                .is_some_and(|e| e.state == RunState::MayHaveRun)
            {
                found.remove(&key);
            }
        }
    }
}

/// Reads what is there and changes nothing; says in one line what can't be read.
pub fn recover(storage: &impl Storage) -> Result<Recovery, String> {
    let mut recovery = Recovery::default();
    for name in storage.list().map_err(|e| e.to_string())? {
        if segment::parse_file_name(&name).is_none() {
            continue;
        }
        let bytes = storage.read(&name).map_err(|e| format!("{name}: {e}"))?;
        let torn = match Header::read(&bytes) {
            Header::Valid => {
                let mut records = Records::of_segment(&bytes);
                for record in records.by_ref() {
                    recovery.records += 1;
                    replay(&mut recovery.runs, record);
                }
                records.remaining_bytes()
            }
            Header::Torn => bytes.len(),
            Header::Newer(version) => {
                return Err(format!(
                    "{name}: is of version {version}; this program knows {}",
                    FORMAT_VERSION
                ));
            }
            Header::Foreign => return Err(format!("{name}: is no segment of kept results")),
        };
        recovery.segments += 1;
        recovery.bytes += bytes.len() as u64;
        recovery.sizes.push((name, bytes.len() as u64));
        recovery.torn_segments += usize::from(torn > 0);
        recovery.torn_bytes += torn as u64;
    }
    Ok(recovery)
}

impl<S: Storage> WriteAheadLog<S> {
    /// Opens what a former life left. No time of a former life is trusted, since clocks step: what it left
    /// lasts for one more whole window from `now`, at the least. `disk` bounds all bytes; `window` is the
    /// longest.
    pub fn open(
        storage: S,
        now: u64,
        disk: u64,
        window: u64,
    ) -> Result<(WriteAheadLog<S>, Recovery), String> {
        let mut recovery = recover(&storage)?;
        let until = now.saturating_add(window);
        let sizes = std::mem::take(&mut recovery.sizes);
        let next = sizes
            .last()
            .and_then(|s| segment::parse_file_name(&s.0))
            .map_or(0, |n| n + 1);
        let closed = sizes
            .into_iter()
            .map(|(name, bytes)| Segment { name, bytes, until })
            .collect();
        for found in recovery.runs.values_mut() {
            found.expires_at_micros = until;
        }
        let segment_most = (disk / SEGMENT_PART).max(4 << 10);
        let segment_for = (window / WINDOW_PART).max(1);
        Ok((
            WriteAheadLog {
                storage,
                closed,
                current: None,
                next,
                segment_most,
                segment_for,
            },
            recovery,
        ))
    }

    /// Bytes on the disk.
    pub fn size_bytes(&self) -> u64 {
        let current = self.current.as_ref().map_or(0, |c| c.0.bytes);
        self.closed.iter().map(|s| s.bytes).sum::<u64>() + current
    }

    /// Writes records and syncs them, all together. An error leaves open whether any of them lasts; the next
    /// go to a new segment.
    pub fn commit(&mut self, now: u64, records: &[LogEntry]) -> io::Result<()> {
        let old = |s: &(Segment, u64)| {
            s.0.bytes >= self.segment_most || now >= s.1 || now + self.segment_for < s.1
        };
        if let Some((segment, _)) = self.current.take_if(|s| old(s)) {
            self.closed.push_back(segment);
        }
        let mut bytes = vec![];
        if self.current.is_none() {
            let segment = Segment {
                name: segment::file_name(self.next),
                bytes: 0,
                until: 0,
            };
            self.next += 1;
            self.current = Some((segment, now + self.segment_for));
            segment::write_segment_header(&mut bytes);
        }
        let Some((segment, _)) = &mut self.current else {
            return Ok(());
        };
        for (record, until) in records {
            record.encode(&mut bytes);
            segment.until = segment.until.max(*until);
        }
        segment.bytes += bytes.len() as u64;
        let name = segment.name.clone();
        let done = self
            .storage
            .append(&name, &bytes)
            .and_then(|()| self.storage.sync(&name));
        if done.is_err() {
            // Whatever of it lasts has to be aged out as the rest.
            self.closed.extend(self.current.take().map(|c| c.0));
        }
        done
    }

    /// Drops the segments that have aged out, the oldest first; one that can't be removed is tried again.
    pub fn remove_expired_segments(&mut self, now: u64) {
        while self.closed.front().is_some_and(|s| s.until < now) {
            let Some(segment) = self.closed.pop_front() else {
                return;
            };
            if let Err(e) = self.storage.remove(&segment.name)
                && e.kind() != io::ErrorKind::NotFound
            {
                self.closed.push_front(segment);
                return;
            }
        }
    }

    pub fn storage(&self) -> &S {
        &self.storage
    }

    pub fn storage_mut(&mut self) -> &mut S {
        &mut self.storage
    }
}

/// One line for each thing wrong in a folder of segments: for `kept verify`.
pub fn verify(storage: &impl Storage) -> Result<Vec<String>, String> {
    let mut wrong = vec![];
    for name in storage.list().map_err(|e| e.to_string())? {
        if segment::parse_file_name(&name).is_none() {
            wrong.push(format!("{name}: is no file of kept results"));
            continue;
        }
        let bytes = storage.read(&name).map_err(|e| format!("{name}: {e}"))?;
        match Header::read(&bytes) {
            Header::Valid => {
                let mut reader = Records::of_segment(&bytes);
                let records = reader.by_ref().count();
                let torn = reader.remaining_bytes();
                if torn > 0 {
                    let at = bytes.len() - torn;
                    wrong.push(format!(
                        "{name}: after {records} whole records {torn} bytes from {at} on are none"
                    ));
                }
            }
            Header::Torn => wrong.push(format!(
                "{name}: is torn within its first {HEADER_BYTES} bytes"
            )),
            Header::Newer(version) => {
                wrong.push(format!("{name}: is of the newer version {version}"))
            }
            Header::Foreign => wrong.push(format!("{name}: is no segment of kept results")),
        }
    }
    Ok(wrong)
}
