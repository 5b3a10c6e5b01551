//! Counts by key over the whole fleet, each answer with its error bound.
//!
//! Each server counts for itself in time slots and sends snapshots of what it counted. A
//! [`ReplicatedCounter`](crate::counter::ReplicatedCounter) owns the own counts and the latest
//! snapshot of each incarnation of each other server; snapshots may arrive in any order and more
//! than once, and they age out.
//!
//! An answer covers a window that ended three time slots ago, so that most of what all servers
//! counted for it is known: the counts of a complete slot never change. Time slots are each
//! server's own. How long ago one ended is known within bounds by local clocks alone, since
//! each reply returns the identifier of its poll. The module never sends anything itself: the
//! owner passes polls, replies and the view of the fleet in.

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

/// Counts by key over the whole fleet.
pub struct ReplicatedCounter {
    settings: CounterSettings,
    name_hash: u32,
    resolution: Resolution,
    local: LocalCounts,
    remote: RemoteCounts,
    rejected: u64,
}

impl ReplicatedCounter {
    /// Creates a counter whose time slots begin at `now`.
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

    /// The settings of the counter.
    pub fn settings(&self) -> &CounterSettings {
        &self.settings
    }

    /// Snapshots that were rejected: malformed ones, and those of too many incarnations.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Hash of the name, which stands for the counter in messages.
    pub(crate) fn name_hash(&self) -> u32 {
        self.name_hash
    }

    /// Counts a key `n` times.
    pub fn add(&mut self, now: Timestamp, key: u32, n: u32) {
        self.local.add(now, key, n);
    }

    /// What this server itself counted of a key in the window.
    pub fn local_estimate(&self, now: Timestamp, key: u32) -> CountEstimate {
        self.local.estimate(now, key)
    }

    /// What the fleet counted of a key in the window. `fair_rate` is the long-run rate a second
    /// that is assumed of a server whose snapshots are missing.
    pub fn estimate(&self, now: Timestamp, key: u32, fair_rate: f64) -> CountEstimate {
        let local = self.local.estimate(now, key);
        self.remote
            .add_estimates(now, key, fair_rate, &self.resolution, local)
    }

    /// Up to `max_keys` keys with the largest recent counts of this server, the largest first.
    pub fn heaviest_keys(&self, max_keys: usize) -> Vec<u32> {
        self.local.heaviest_keys(max_keys)
    }

    /// Snapshots for a reply: the own one first, then up to `max_remote` of other servers. `draw`
    /// (0 to 1, exclusive) selects the first of these.
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

    /// The view holds a server: it counts, even where it is down and no snapshot arrives.
    pub fn server_present(&mut self, now: Timestamp, server: &CompactString) {
        self.remote.server_present(now, server);
    }

    /// A server left or was forgotten: it counts no more.
    pub fn server_gone(&mut self, now: Timestamp, server: &CompactString) {
        self.remote.server_gone(now, server);
    }

    /// Forgets snapshots that no window holds any more.
    pub fn forget_expired(&mut self, now: Timestamp) {
        self.remote
            .forget_expired(now, self.resolution.max_snapshot_age());
    }

    /// Incarnations of other servers of which a snapshot is remembered.
    pub fn tracked_incarnations(&self) -> usize {
        self.remote.len()
    }
}
