//! Per-key counts over the whole fleet, estimated with an error bound.
//!
//! Each server counts separately, in time slots, and sends snapshots of its counts. A
//! [`ReplicatedCounter`](crate::counter::ReplicatedCounter) stores the counts of this server and
//! the latest snapshot of each incarnation of each other server. Snapshots may arrive in any order
//! and more than once, and they expire.
//!
//! An estimate covers a window that ended three time slots ago, so that most of the counts of all
//! servers for it have arrived; the counts of a complete slot never change. Time slots are not
//! aligned between servers. How long ago a slot ended is known within bounds from local clocks
//! alone, because each reply echoes the identifier of its poll. The module sends nothing itself:
//! its owner handles the polls and passes in the replies and changes of the view.

mod estimate;
mod local;
mod remote;
mod remote_snapshot;
mod resolution;
mod settings;
mod snapshot;
mod snapshot_source;
mod time_slot;

use crate::message::{CounterSnapshot, name_hash};
use compact_str::CompactString;
pub use estimate::CountEstimate;
use local::LocalCounts;
use madderbay::time::{Duration, Timestamp};
use remote::RemoteCounts;
use resolution::Resolution;
pub use settings::CounterSettings;
pub use snapshot_source::SnapshotSource;

/// Counter of keys over the whole fleet.
pub struct ReplicatedCounter {
    settings: CounterSettings,
    name_hash: u32,
    resolution: Resolution,
    local: LocalCounts,
    remote: RemoteCounts,
    rejected: u64,
}

impl ReplicatedCounter {
    /// Creates a counter whose first time slot begins at `now`.
    pub fn new(now: Timestamp, settings: CounterSettings) -> ReplicatedCounter {
        let resolution = Resolution::new(&settings);
        ReplicatedCounter {
            name_hash: name_hash(&settings.name),
            resolution,
            local: LocalCounts::new(now, resolution.slot_length),
            remote: RemoteCounts::default(),
            rejected: 0,
            settings,
        }
    }

    /// Returns the settings of the counter.
    pub fn settings(&self) -> &CounterSettings {
        &self.settings
    }

    /// Returns the number of snapshots that were rejected because they were malformed or came from
    /// too many incarnations.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Returns the hash of the name, which identifies the counter in messages.
    pub(crate) fn name_hash(&self) -> u32 {
        self.name_hash
    }

    /// Adds `n` to the count of a key.
    pub fn add(&mut self, now: Timestamp, key: u32, n: u32) {
        self.local.add(now, key, n);
    }

    /// Estimates the count of a key in the window on this server alone.
    pub fn local_estimate(&self, now: Timestamp, key: u32) -> CountEstimate {
        self.local.estimate(now, key)
    }

    /// Estimates the count of a key in the window over the whole fleet. `fair_rate` is the long-run
    /// rate per second that is assumed for a server whose snapshots are missing.
    pub fn estimate(&self, now: Timestamp, key: u32, fair_rate: f64) -> CountEstimate {
        let local = self.local.estimate(now, key);
        self.remote
            .add_estimates(now, key, fair_rate, &self.resolution, local)
    }

    /// Returns up to `max_keys` keys with the largest recent counts on this server, the largest
    /// first.
    pub fn heaviest_keys(&self, max_keys: usize) -> Vec<u32> {
        self.local.heaviest_keys(max_keys)
    }

    /// Returns the snapshots for a reply: first that of this server, then up to `max_remote` of
    /// other servers. `random`, at least 0 and less than 1, selects the first of these.
    pub fn snapshots(
        &mut self,
        now: Timestamp,
        own: SnapshotSource,
        random: f64,
        max_remote: usize,
    ) -> Vec<CounterSnapshot> {
        let local = self.local.snapshot(now, self.name_hash, own);
        let mut snapshots: Vec<CounterSnapshot> = local.into_iter().collect();
        self.remote
            .push_snapshots(now, own.server, random, max_remote, &mut snapshots);
        snapshots
    }

    /// Handles a snapshot from the reply to a poll that was sent `since_poll` ago. `own` is this
    /// server.
    pub fn handle_snapshot(
        &mut self,
        now: Timestamp,
        since_poll: Duration,
        snapshot: CounterSnapshot,
        own: SnapshotSource,
    ) {
        let accepted =
            self.remote
                .handle_snapshot(now, since_poll, snapshot, own, &self.resolution);
        self.rejected += u64::from(accepted.is_err());
    }

    /// Records that the view contains a server. Its counts are then estimated, even while it is
    /// down and no snapshot of it arrives.
    pub fn server_present(&mut self, now: Timestamp, server: &CompactString) {
        self.remote.server_present(now, server);
    }

    /// Records that a server left or was removed from the view. It is assumed to count nothing
    /// more.
    pub fn server_gone(&mut self, now: Timestamp, server: &CompactString) {
        self.remote.server_gone(now, server);
    }

    /// Removes snapshots of ended incarnations whose counts are no longer part of any window.
    pub fn forget_expired(&mut self, now: Timestamp) {
        self.remote
            .forget_expired(now, self.resolution.max_snapshot_age());
    }

    /// Returns the number of incarnations of other servers of which a snapshot is stored.
    pub fn tracked_incarnations(&self) -> usize {
        self.remote.len()
    }
}
