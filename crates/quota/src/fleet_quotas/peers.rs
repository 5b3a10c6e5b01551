//! The other servers of the fleet, according to the membership view.

use compact_str::CompactString;
use madderbay::time::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Another server of the fleet, according to the membership view.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Name of the server.
    pub name: CompactString,
    /// Incarnation number of the server in the view.
    pub incarnation: u64,
    /// Whether the server is a member to which datagrams are sent; otherwise it is down but still
    /// in the view.
    pub active: bool,
}

/// A server that is no longer in the view.
struct LostPeer {
    incarnation: u64,
    lost_at: Timestamp,
}

/// All peers of this server.
#[derive(Default)]
pub(super) struct PeerTable {
    peers: BTreeMap<CompactString, Peer>,
    /// Names of the active peers, in a random order, so that not all servers send their requests to
    /// the same peer.
    active: Vec<CompactString>,
    lost: BTreeMap<CompactString, LostPeer>,
}

impl PeerTable {
    /// Returns the names of the stored peers that are not among `peers`.
    pub(super) fn names_missing_from(&self, peers: &[Peer]) -> Vec<CompactString> {
        let present: BTreeSet<&CompactString> = peers.iter().map(|peer| &peer.name).collect();
        self.peers
            .keys()
            .filter(|name| !present.contains(name))
            .cloned()
            .collect()
    }

    /// Adds or replaces a peer. Draws one random number if the peer becomes active.
    pub(super) fn update(&mut self, peer: Peer, random: &mut oorandom::Rand64) {
        let name = peer.name.clone();
        let is_active = peer.active;
        let before = self.peers.insert(name.clone(), peer);
        let was_active = before.is_some_and(|before| before.active);
        if is_active && !was_active {
            let position = random.rand_range(0..self.active.len() as u64 + 1) as usize;
            self.active.push(name);
            let last = self.active.len() - 1;
            self.active.swap(position, last);
        } else if was_active && !is_active {
            self.active.retain(|active| *active != name);
        }
    }

    /// Removes a peer and reports whether it was in the table.
    pub(super) fn remove(&mut self, now: Timestamp, name: &CompactString) -> bool {
        let Some(peer) = self.peers.remove(name) else {
            return false;
        };
        self.active.retain(|active| active != name);
        let lost = LostPeer {
            incarnation: peer.incarnation,
            lost_at: now,
        };
        self.lost.insert(name.clone(), lost);
        true
    }

    pub(super) fn contains(&self, name: &CompactString) -> bool {
        self.peers.contains_key(name)
    }

    /// Returns the names of the active peers.
    pub(super) fn active(&self) -> &[CompactString] {
        &self.active
    }

    /// Reports whether any lost peer is still stored.
    pub(super) fn has_lost(&self) -> bool {
        !self.lost.is_empty()
    }

    /// Deletes the peers that were lost `max_age` ago or earlier.
    pub(super) fn forget_lost(&mut self, now: Timestamp, max_age: Duration) {
        self.lost.retain(|_, lost| now - lost.lost_at < max_age);
    }

    /// Returns the peers that are in the view.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns the names and incarnations of the servers that are in the view, and of the lost ones
    /// that are still stored.
    pub(super) fn known_servers(&self) -> impl Iterator<Item = (&CompactString, u64)> {
        let present = self
            .peers
            .values()
            .map(|peer| (&peer.name, peer.incarnation));
        let lost = self
            .lost
            .iter()
            .filter(|(name, _)| !self.peers.contains_key(*name));
        present.chain(lost.map(|(name, lost)| (name, lost.incarnation)))
    }
}
