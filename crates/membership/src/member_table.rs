//! The member table: what this server knows about every other member.
//!
//! The table maintains the records and everything derived from them: the counts of active and
//! missing members, the digest of the view and the names that changed. All times are of the clock
//! that excludes pauses. The table makes no decisions and sends nothing.

mod record;

pub(crate) use record::{Liveness, MemberRecord};

use crate::digest::{ViewDigest, identity_hash};
use crate::identity::MemberIdentity;
use compact_str::CompactString;
use madderbay::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Bound;

/// Records of all other members, indexed by name.
pub(crate) struct MemberTable {
    records: BTreeMap<CompactString, MemberRecord>,
    max_members: usize,
    /// Names whose record changed since they were last taken.
    changed_names: BTreeSet<CompactString>,
    active: usize,
    missing: usize,
    /// Digest of the active members and this server.
    digest: ViewDigest,
    last_change: Timestamp,
}

/// Contribution of one record to the derived values.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Contribution {
    active: usize,
    missing: usize,
    hash: u64,
}

impl Contribution {
    fn of(record: Option<&MemberRecord>) -> Contribution {
        Contribution {
            active: usize::from(record.is_some_and(MemberRecord::is_active)),
            missing: usize::from(record.is_some_and(MemberRecord::is_missing)),
            hash: record.map_or(0, MemberRecord::digest_hash),
        }
    }
}

impl MemberTable {
    /// Creates an empty table. `own` is the identity of this server, which the digest includes.
    pub(crate) fn new(now: Timestamp, own: &MemberIdentity, max_members: usize) -> MemberTable {
        let mut table = MemberTable {
            records: BTreeMap::new(),
            max_members,
            changed_names: BTreeSet::new(),
            active: 0,
            missing: 0,
            digest: ViewDigest::default(),
            last_change: now,
        };
        table.digest.toggle(&own.name, identity_hash(own));
        table
    }

    pub(crate) fn get(&self, name: &str) -> Option<&MemberRecord> {
        self.records.get(name)
    }

    /// Returns the record of a member that is active with exactly this identity.
    pub(crate) fn get_active_mut(
        &mut self,
        identity: &MemberIdentity,
    ) -> Option<&mut MemberRecord> {
        let record = self.records.get_mut(&identity.name)?;
        (record.is_active() && record.identity() == identity).then_some(record)
    }

    /// Returns all records, ordered by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values()
    }

    /// Returns the records after a name, ordered by name.
    pub(crate) fn iter_after(&self, name: &CompactString) -> impl Iterator<Item = &MemberRecord> {
        let range = (Bound::Excluded(name), Bound::Unbounded);
        self.records
            .range::<CompactString, _>(range)
            .map(|(_, record)| record)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Reports whether the table has no free entry.
    pub(crate) fn is_full(&self) -> bool {
        self.records.len() >= self.max_members
    }

    /// Reports whether an address belongs to an active member.
    pub(crate) fn has_active_address(&self, address: SocketAddr) -> bool {
        self.iter()
            .any(|r| r.is_active() && r.identity().address == address)
    }

    /// Returns the addresses of the members that are down without having left, ordered by name.
    pub(crate) fn down_addresses(&self) -> Vec<SocketAddr> {
        let down = self.iter().filter(|r| r.is_missing());
        down.map(|r| r.identity().address).collect()
    }

    /// Returns the number of members that are not down.
    pub(crate) fn active_count(&self) -> usize {
        self.active
    }

    /// Returns the number of members that are down without having left.
    pub(crate) fn missing_count(&self) -> usize {
        self.missing
    }

    pub(crate) fn digest(&self) -> &ViewDigest {
        &self.digest
    }

    /// Returns when the view last changed.
    pub(crate) fn last_change(&self) -> Timestamp {
        self.last_change
    }

    /// Restores the time of the last change after changes that are not gossiped.
    pub(crate) fn set_last_change(&mut self, time: Timestamp) {
        self.last_change = time;
    }

    /// Takes the names whose record changed since the last call.
    pub(crate) fn take_changed_names(&mut self) -> BTreeSet<CompactString> {
        std::mem::take(&mut self.changed_names)
    }

    /// Replaces this server's own identity in the digest.
    pub(crate) fn replace_own(
        &mut self,
        now: Timestamp,
        former: &MemberIdentity,
        own: &MemberIdentity,
    ) {
        self.digest
            .toggle(&own.name, identity_hash(former) ^ identity_hash(own));
        self.last_change = now;
    }

    /// Adds a member as alive, or marks a known one as alive, with this identity.
    pub(crate) fn set_alive(&mut self, now: Timestamp, identity: &MemberIdentity) {
        self.update(&identity.name, |records, name| {
            let record = records
                .entry(name.clone())
                .or_insert_with(|| MemberRecord::new(now, identity.clone()));
            record.set_alive(now, identity.clone());
        });
        self.last_change = now;
    }

    /// Marks a known member as down, with this identity.
    pub(crate) fn set_down(&mut self, now: Timestamp, identity: &MemberIdentity) {
        self.update(&identity.name, |records, name| {
            if let Some(record) = records.get_mut(name) {
                record.set_down(now, identity.clone());
            }
        });
        self.last_change = now;
    }

    /// Replaces the identity of a known member by a newer one.
    pub(crate) fn replace_identity(&mut self, now: Timestamp, identity: &MemberIdentity) {
        self.update(&identity.name, |records, name| {
            if let Some(record) = records.get_mut(name) {
                record.replace_identity(identity.clone());
            }
        });
        self.last_change = now;
    }

    /// Removes a member. The view does not change by this, because only members that are down are
    /// removed.
    pub(crate) fn remove(&mut self, name: &CompactString) {
        self.update(name, |records, name| {
            records.remove(name);
        });
    }

    /// Removes all members and returns their addresses, ordered by name.
    pub(crate) fn clear(&mut self, own: &MemberIdentity) -> Vec<SocketAddr> {
        let mut addresses = vec![];
        for (name, record) in std::mem::take(&mut self.records) {
            addresses.push(record.identity().address);
            self.changed_names.insert(name);
        }
        self.active = 0;
        self.missing = 0;
        self.digest = ViewDigest::default();
        self.digest.toggle(&own.name, identity_hash(own));
        addresses
    }

    /// Changes the record of one name and updates the derived values.
    fn update(
        &mut self,
        name: &CompactString,
        change: impl FnOnce(&mut BTreeMap<CompactString, MemberRecord>, &CompactString),
    ) {
        let before = Contribution::of(self.records.get(name));
        change(&mut self.records, name);
        let after = Contribution::of(self.records.get(name));
        let has_capacity = self.changed_names.len() < self.max_members + self.records.len();
        if has_capacity && (before != after || after.hash == 0) {
            self.changed_names.insert(name.clone());
        }
        self.active = self.active + after.active - before.active;
        self.missing = self.missing + after.missing - before.missing;
        self.digest.toggle(name, before.hash ^ after.hash);
    }
}
