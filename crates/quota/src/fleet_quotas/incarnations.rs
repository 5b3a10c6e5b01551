//! Small identifiers for the incarnations of other servers.

use crate::ledger::IncarnationId;
use compact_str::CompactString;
use std::collections::{BTreeSet, HashMap};

/// Upper bound on the identifiers in use. Datagrams of further incarnations are not handled.
const MAX_INCARNATIONS: usize = 20_000;
/// Incarnation number of a server that has sent no datagram yet.
const UNKNOWN_INCARNATION: u64 = 0;

/// What a datagram says of its sender.
#[derive(Clone, Copy)]
pub(super) struct PeerIdentity {
    pub(super) incarnation: u64,
    /// Slot of its base quotas; 0 without one.
    pub(super) slot: u32,
}

/// The current incarnation of a server.
struct CurrentIncarnation {
    id: IncarnationId,
    identity: PeerIdentity,
}

/// The current incarnations, and the identifiers of those that are over.
#[derive(Default)]
pub(super) struct Incarnations {
    current: HashMap<CompactString, CurrentIncarnation>,
    /// Server names by identifier.
    names: Vec<CompactString>,
    /// Identifiers of incarnations that are over.
    retired: Vec<IncarnationId>,
    /// Identifiers of incarnations with which nothing is open any more; they are used again.
    free: Vec<IncarnationId>,
}

impl Incarnations {
    /// The identifier of the incarnation that sent a datagram; `None` where there are too many. An
    /// unknown incarnation that was asked before is the one that answers.
    pub(super) fn identify(
        &mut self,
        name: &CompactString,
        identity: PeerIdentity,
    ) -> Option<IncarnationId> {
        if let Some(current) = self.current.get_mut(name) {
            let known = current.identity.incarnation;
            if known == identity.incarnation || known == UNKNOWN_INCARNATION {
                current.identity = identity;
                return Some(current.id);
            }
        }
        let id = self.allocate()?;
        self.names[id.0 as usize] = name.clone();
        let former = self
            .current
            .insert(name.clone(), CurrentIncarnation { id, identity });
        self.retired.extend(former.map(|former| former.id));
        Some(id)
    }

    /// The identifier of a server's current incarnation, which may be unknown as yet; `None` where
    /// there are too many.
    pub(super) fn id_of(&mut self, name: &CompactString) -> Option<IncarnationId> {
        match self.current.get(name) {
            Some(current) => Some(current.id),
            None => self.identify(
                name,
                PeerIdentity {
                    incarnation: UNKNOWN_INCARNATION,
                    slot: 0,
                },
            ),
        }
    }

    fn allocate(&mut self) -> Option<IncarnationId> {
        if let Some(id) = self.free.pop() {
            return Some(id);
        }
        if self.names.len() >= MAX_INCARNATIONS {
            return None;
        }
        self.names.push(CompactString::default());
        Some(IncarnationId(self.names.len() as u32 - 1))
    }

    /// The server's name, if the incarnation is its current one.
    pub(super) fn name_of_current(&self, id: IncarnationId) -> Option<&CompactString> {
        let name = self.names.get(id.0 as usize)?;
        let is_current = self
            .current
            .get(name)
            .is_some_and(|current| current.id == id);
        is_current.then_some(name)
    }

    /// Number of a server's current incarnation; 0 where it is unknown.
    pub(super) fn current_incarnation(&self, name: &CompactString) -> u64 {
        let current = self.current.get(name);
        current.map_or(UNKNOWN_INCARNATION, |current| current.identity.incarnation)
    }

    /// Slot of a server's base quotas, if the server has sent a datagram or was asked.
    pub(super) fn slot_of(&self, name: &CompactString) -> Option<u32> {
        self.current.get(name).map(|current| current.identity.slot)
    }

    /// Retires the incarnations of the servers for which `is_gone` holds.
    pub(super) fn retire_servers(&mut self, is_gone: impl Fn(&CompactString) -> bool) {
        let names = self.current.keys().filter(|name| is_gone(name));
        let mut gone: Vec<CompactString> = names.cloned().collect();
        // In an order that a repeated run has too: identifiers are used again in the order in which they are freed.
        gone.sort_unstable();
        let retired = gone.iter().filter_map(|name| self.current.remove(name));
        self.retired.extend(retired.map(|current| current.id));
    }

    /// Identifiers of the retired incarnations.
    pub(super) fn retired(&self) -> BTreeSet<IncarnationId> {
        self.retired.iter().copied().collect()
    }

    /// Frees the identifiers of retired incarnations with which nothing is open.
    pub(super) fn release_retired(&mut self, is_open: impl Fn(IncarnationId) -> bool) {
        let retired = std::mem::take(&mut self.retired);
        let (open, closed): (Vec<_>, Vec<_>) = retired.into_iter().partition(|id| is_open(*id));
        self.retired = open;
        self.free.extend(closed);
    }
}

#[cfg(test)]
mod tests;
