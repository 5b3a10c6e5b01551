//! Property test: compares random histories of commits, storage failures and crashes with a
//! reference model.

use crate::support::{ExpectedRuns, RETENTION_MICROS, Runs, completed, entry, intent, open};
use madderbay_idempotency_store::record::{IdempotencyKey, Record};
use madderbay_idempotency_store::recovery::RunState;
use madderbay_idempotency_store::storage::{CrashEffect, MemoryStorage};
use madderbay_idempotency_store::write_ahead_log::{LogEntry, WriteAheadLog};
use proptest::prelude::*;
use std::collections::HashMap;

#[derive(Clone, Copy, Debug)]
enum Kind {
    Intent,
    Completed,
    NoResult,
    NotRun,
}

#[derive(Clone, Debug)]
struct Write {
    key: IdempotencyKey,
    kind: Kind,
}

impl Write {
    fn new((key, kind): (u8, u8)) -> Write {
        let kind = match kind {
            0 => Kind::Intent,
            1 => Kind::Completed,
            2 => Kind::NoResult,
            _ => Kind::NotRun,
        };
        Write {
            key: IdempotencyKey::from(key),
            kind,
        }
    }

    fn entry(&self, expires_at: u64) -> LogEntry {
        let key = self.key;
        match self.kind {
            Kind::Intent => intent(key, expires_at),
            Kind::Completed => completed(key, "x", expires_at),
            Kind::NoResult => entry(Record::NoResult { key }, expires_at),
            Kind::NotRun => entry(Record::NotRun { key }, expires_at),
        }
    }
}

#[derive(Clone, Debug)]
enum Event {
    Commit(Vec<Write>),
    /// The storage fails after this many more writing operations.
    FailAfter(u8),
    /// The process crashes with this effect on unsynced bytes, and is restarted.
    Crash(CrashEffect),
    /// The clock advances by this many microseconds.
    AdvanceClock(u32),
}

fn crash_effect((kind, n): (u8, u16)) -> CrashEffect {
    let n = usize::from(n) % 200;
    match kind {
        0 => CrashEffect::Lost,
        1 => CrashEffect::Truncated(n),
        2 => CrashEffect::Zeroed(n),
        _ => CrashEffect::Corrupted(n),
    }
}

fn event() -> impl Strategy<Value = Event> {
    let writes = prop::collection::vec((0u8..12, 0u8..4).prop_map(Write::new), 1..5);
    prop_oneof![
        6 => writes.prop_map(Event::Commit),
        1 => (0u8..3).prop_map(Event::FailAfter),
        2 => (0u8..4, any::<u16>()).prop_map(crash_effect).prop_map(Event::Crash),
        2 => (0u32..4_000_000).prop_map(Event::AdvanceClock),
    ]
}

/// The state of a key that successful commits have acknowledged.
#[derive(Default)]
struct Acknowledged {
    expected: ExpectedRuns,
    expires_at: u64,
}

/// A log, and a reference model of the runs that it must recover.
struct History {
    log: WriteAheadLog<MemoryStorage>,
    now: u64,
    acknowledged: HashMap<IdempotencyKey, Acknowledged>,
    /// For each key with a failed commit, the records written in that commit and since.
    unacknowledged: HashMap<IdempotencyKey, Vec<Record>>,
}

impl History {
    fn new() -> History {
        let now = 1_000;
        let log = open(MemoryStorage::default(), now).0;
        History {
            log,
            now,
            acknowledged: HashMap::new(),
            unacknowledged: HashMap::new(),
        }
    }

    fn apply(&mut self, event: Event) -> Result<(), TestCaseError> {
        match event {
            Event::AdvanceClock(micros) => {
                self.now += u64::from(micros);
                self.log.remove_expired_segments(self.now);
            }
            Event::FailAfter(operations) => {
                self.log
                    .storage_mut()
                    .fail_after(Some(usize::from(operations)));
            }
            Event::Commit(writes) => self.commit(&writes),
            Event::Crash(effect) => return self.crash(effect),
        }
        Ok(())
    }

    fn commit(&mut self, writes: &[Write]) {
        let expires_at = self.now + RETENTION_MICROS;
        let entries: Vec<_> = writes.iter().map(|write| write.entry(expires_at)).collect();
        let committed = self.log.commit(self.now, &entries).is_ok();
        for LogEntry { record, .. } in entries {
            let key = record.key();
            let acknowledged = self.acknowledged.entry(key).or_default();
            if committed && !self.unacknowledged.contains_key(&key) {
                acknowledged.expected.apply(&record);
                acknowledged.expires_at = expires_at;
            } else {
                self.unacknowledged.entry(key).or_default().push(record);
            }
        }
    }

    fn crash(&mut self, effect: CrashEffect) -> Result<(), TestCaseError> {
        let crashed = self.log.storage().after_crash(|_, _| effect);
        let (log, runs) = open(crashed, self.now);
        self.log = log;
        for (key, acknowledged) in &mut self.acknowledged {
            let unacknowledged = self.unacknowledged.remove(key);
            acknowledged.check(*key, &runs, unacknowledged, self.now)?;
            acknowledged.reset_to_recovered(*key, &runs, self.now);
        }
        Ok(())
    }
}

impl Acknowledged {
    /// Checks the recovered state of a key that has not expired. It must be the acknowledged state
    /// with any subset of the unacknowledged records applied.
    fn check(
        &self,
        key: IdempotencyKey,
        runs: &Runs,
        unacknowledged: Option<Vec<Record>>,
        now: u64,
    ) -> Result<(), TestCaseError> {
        let recovered = runs.get(&key).map(|run| run.state.clone());
        if let Some(records) = unacknowledged {
            let possible = self.possible_states(key, &records);
            prop_assert!(
                now >= self.expires_at || possible.contains(&recovered),
                "recovered {:?}, expected one of {:?}",
                recovered,
                possible
            );
        } else if now < self.expires_at {
            prop_assert_eq!(recovered, self.expected.0.get(&key).cloned());
        }
        Ok(())
    }

    /// Returns the states that result from each subset of the unacknowledged records. With more
    /// than ten records, only subsets of the first ten are tried.
    fn possible_states(
        &self,
        key: IdempotencyKey,
        unacknowledged: &[Record],
    ) -> Vec<Option<RunState>> {
        let mut possible = vec![self.expected.0.get(&key).cloned()];
        for mask in 0u32..1 << unacknowledged.len().min(10) {
            let mut expected = self.expected.clone();
            for (i, record) in unacknowledged.iter().enumerate() {
                if mask >> i.min(31) & 1 == 1 {
                    expected.apply(record);
                }
            }
            possible.push(expected.0.get(&key).cloned());
        }
        possible
    }

    /// Makes the recovered state the acknowledged one from now on.
    fn reset_to_recovered(&mut self, key: IdempotencyKey, runs: &Runs, now: u64) {
        self.expected.0.clear();
        self.expected
            .0
            .extend(runs.get(&key).map(|run| (key, run.state.clone())));
        self.expires_at = now + RETENTION_MICROS;
    }
}

/// Returns a configuration with a fixed seed, so that every run tests the same cases.
fn fixed_seed_config(cases: u32) -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(7);
    ProptestConfig {
        cases,
        rng_seed,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed_config(300))]

    #[test]
    fn recovers_all_acknowledged_and_only_written_records(
        events in prop::collection::vec(event(), 1..60)
    ) {
        let mut history = History::new();
        for event in events {
            history.apply(event)?;
        }
    }
}
