//! Counts of other servers: the latest snapshot of each of their incarnations.

use super::estimate::CountEstimate;
use super::remote_snapshot::RemoteSnapshot;
use super::resolution::{RETAINED_SLOTS, Resolution};
use super::snapshot::{MAX_SNAPSHOT_KEYS, SNAPSHOT_SKETCH_CELLS};
use super::snapshot_source::SnapshotSource;
use crate::message::CounterSnapshot;
use compact_str::CompactString;
use madderbay::time::{Duration, Timestamp};
use madderbay_membership::MAX_NAME_BYTES;
use std::collections::BTreeMap;
use std::ops::Bound;

/// Maximum number of incarnations of other servers of which a snapshot is stored.
const MAX_INCARNATIONS: usize = 4_096;

/// Reason for rejecting a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RejectedSnapshot {
    #[error("snapshot exceeds the size limits of its format")]
    Malformed,
    #[error("snapshots of too many incarnations are stored")]
    TooManyIncarnations,
}

/// Key of a stored snapshot. Its order keeps the incarnations of a server adjacent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SourceKey {
    server: CompactString,
    incarnation: u64,
}

/// Snapshots of other servers.
#[derive(Default)]
pub(super) struct RemoteCounts {
    snapshots: BTreeMap<SourceKey, RemoteSnapshot>,
    /// Servers of the view of which no snapshot is stored, with the time since which they have been
    /// in the view.
    unreported: BTreeMap<CompactString, Timestamp>,
}

fn is_well_formed(snapshot: &CounterSnapshot) -> bool {
    let retained_slots = RETAINED_SLOTS as usize;
    snapshot.heavy_keys.len() <= MAX_SNAPSHOT_KEYS
        && snapshot
            .heavy_keys
            .iter()
            .all(|key| key.counts.len() <= retained_slots)
        && (snapshot.sketch.is_empty() || snapshot.sketch.len() == SNAPSHOT_SKETCH_CELLS)
        && snapshot.server.len() <= MAX_NAME_BYTES
}

impl RemoteCounts {
    pub(super) fn len(&self) -> usize {
        self.snapshots.len()
    }

    /// Stores a snapshot if it is newer than the stored one of the same incarnation, or if its age
    /// is known more precisely. Stale snapshots and those of this server's current incarnation are
    /// ignored without an error.
    pub(super) fn handle_snapshot(
        &mut self,
        now: Timestamp,
        since_poll: Duration,
        snapshot: CounterSnapshot,
        own: SnapshotSource,
        resolution: &Resolution,
    ) -> Result<(), RejectedSnapshot> {
        if !is_well_formed(&snapshot) {
            return Err(RejectedSnapshot::Malformed);
        }
        let is_own = snapshot.server == *own.server && snapshot.incarnation == own.incarnation;
        if snapshot.min_age_ms > snapshot.max_age_ms || is_own {
            return Ok(());
        }
        let server = snapshot.server.clone();
        let key = SourceKey {
            server,
            incarnation: snapshot.incarnation,
        };
        let known = self.snapshots.get(&key);
        if known.is_some_and(|known| known.snapshot.time_slot > snapshot.time_slot) {
            return Ok(());
        }
        if known.is_none() && self.snapshots.len() >= MAX_INCARNATIONS {
            return Err(RejectedSnapshot::TooManyIncarnations);
        }
        let fresh = RemoteSnapshot::new(now, since_poll, snapshot);
        let is_useful = match known {
            Some(known) => fresh.improves_on(known, now),
            None => fresh.age(now).max <= resolution.max_snapshot_age(),
        };
        if is_useful {
            self.insert(now, key, fresh);
        }
        Ok(())
    }

    /// Inserts a snapshot and closes all but the latest incarnation of its server.
    fn insert(&mut self, now: Timestamp, key: SourceKey, mut fresh: RemoteSnapshot) {
        let server = key.server.clone();
        self.unreported.remove(&server);
        let later = (Bound::Excluded(&key), Bound::Unbounded);
        let next = self.snapshots.range(later).next();
        let is_superseded = next.is_some_and(|(key, _)| key.server == server);
        fresh.closed_at = is_superseded.then_some(now);
        self.snapshots.insert(key.clone(), fresh);
        let first = SourceKey {
            server,
            incarnation: 0,
        };
        for (_, former) in self.snapshots.range_mut(first..key) {
            former.close(now);
        }
    }

    pub(super) fn server_present(&mut self, now: Timestamp, server: &CompactString) {
        let first = SourceKey {
            server: server.clone(),
            incarnation: 0,
        };
        let known = self.snapshots.range(first..).next();
        if known.is_none_or(|(key, _)| key.server != *server) {
            self.unreported.entry(server.clone()).or_insert(now);
        }
    }

    pub(super) fn server_gone(&mut self, now: Timestamp, server: &CompactString) {
        let first = SourceKey {
            server: server.clone(),
            incarnation: 0,
        };
        let snapshots = self.snapshots.range_mut(first..);
        for (_, snapshot) in snapshots.take_while(|(key, _)| key.server == *server) {
            snapshot.close(now);
        }
        self.unreported.remove(server);
    }

    pub(super) fn forget_expired(&mut self, now: Timestamp, max_age: Duration) {
        self.snapshots
            .retain(|_, s| s.closed_at.is_none_or(|at| now - at < max_age));
    }

    /// Appends up to `max` snapshots of servers other than `own`, with their ages as of `now`,
    /// starting at a position chosen by `random`.
    pub(super) fn push_snapshots(
        &self,
        now: Timestamp,
        own: &CompactString,
        random: f64,
        max: usize,
        snapshots: &mut Vec<CounterSnapshot>,
    ) {
        let known = self.snapshots.values();
        let others: Vec<&RemoteSnapshot> = known.filter(|s| s.snapshot.server != *own).collect();
        let first = (random * others.len() as f64) as usize;
        for step in 0..others.len().min(max) {
            snapshots.push(others[(first + step) % others.len()].as_of(now));
        }
    }

    /// Adds the estimates of all other servers to `total`.
    pub(super) fn add_estimates(
        &self,
        now: Timestamp,
        key: u32,
        fair_rate: f64,
        resolution: &Resolution,
        mut total: CountEstimate,
    ) -> CountEstimate {
        for snapshot in self.snapshots.values() {
            total.add(&snapshot.estimate(now, key, fair_rate, resolution));
        }
        let window = resolution.window.as_secs_f64();
        let max_rate = resolution.max_per_second;
        let unreported = CountEstimate {
            value: window * fair_rate.min(max_rate),
            low: 0.0,
            high: window * max_rate,
            stale_servers: 1,
        };
        for _ in self.unreported.values() {
            total.add(&unreported);
        }
        total
    }
}
