//! Maps incarnations of other servers to small identifiers.

use crate::ledger::IncarnationId;
use compact_str::CompactString;
use std::collections::{BTreeSet, HashMap};

/// Maximum number of identifiers in use. Datagrams of further incarnations are not handled.
const MAX_INCARNATIONS: usize = 20_000;
/// Incarnation number of a server that has sent no datagram yet.
const UNKNOWN_INCARNATION: u64 = 0;

/// Identity that a datagram states for its sender.
#[derive(Clone, Copy)]
pub(super) struct PeerIdentity {
    pub(super) incarnation: u64,
    /// Slot of the sender's base quotas; 0 if it has none.
    pub(super) slot: u32,
}

/// Identifier and identity of the current incarnation of a server.
struct CurrentIncarnation {
    id: IncarnationId,
    identity: PeerIdentity,
}

/// The current incarnations of other servers, and the identifiers of ended ones.
#[derive(Default)]
pub(super) struct Incarnations {
    current: HashMap<CompactString, CurrentIncarnation>,
    /// Server names by identifier.
    names: Vec<CompactString>,
    /// Identifiers of incarnations that have ended and may have grants or leases outstanding.
    retired: Vec<IncarnationId>,
    /// Identifiers that may be reused, because their incarnations have nothing outstanding.
    free: Vec<IncarnationId>,
}

impl Incarnations {
    /// Returns the identifier of the incarnation that sent a datagram; `None` if there are too
    /// many.
    ///
    /// If a request was sent to the server before its incarnation was known, the incarnation that
    /// sends the first datagram gets the identifier that was used for the request.
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

    /// Returns the identifier of a server's current incarnation, whose number may still be unknown;
    /// `None` if there are too many identifiers.
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

    /// Returns the name of the server whose current incarnation has the identifier, if there is
    /// one.
    pub(super) fn name_of_current(&self, id: IncarnationId) -> Option<&CompactString> {
        let name = self.names.get(id.0 as usize)?;
        let is_current = self
            .current
            .get(name)
            .is_some_and(|current| current.id == id);
        is_current.then_some(name)
    }

    /// Returns the number of a server's current incarnation; 0 if it is unknown.
    pub(super) fn current_incarnation(&self, name: &CompactString) -> u64 {
        let current = self.current.get(name);
        current.map_or(UNKNOWN_INCARNATION, |current| current.identity.incarnation)
    }

    /// Returns the slot of a server's base quotas, or 0 if it has none or is unknown; `None` if the
    /// server has no identifier yet.
    pub(super) fn slot_of(&self, name: &CompactString) -> Option<u32> {
        self.current.get(name).map(|current| current.identity.slot)
    }

    /// Retires the current incarnations of the servers for which `is_gone` returns true.
    pub(super) fn retire_servers(&mut self, is_gone: impl Fn(&CompactString) -> bool) {
        let names = self.current.keys().filter(|name| is_gone(name));
        let mut gone: Vec<CompactString> = names.cloned().collect();
        // Identifiers are reused in an order that depends on the order in which they are freed.
        // Sorting makes it the same in a repeated run.
        gone.sort_unstable();
        let retired = gone.iter().filter_map(|name| self.current.remove(name));
        self.retired.extend(retired.map(|current| current.id));
    }

    /// Returns the identifiers of the retired incarnations.
    pub(super) fn retired(&self) -> BTreeSet<IncarnationId> {
        self.retired.iter().copied().collect()
    }

    /// Frees the identifiers of retired incarnations, except those for which `is_open` returns
    /// true.
    pub(super) fn release_retired(&mut self, is_open: impl Fn(IncarnationId) -> bool) {
        let retired = std::mem::take(&mut self.retired);
        let (open, closed): (Vec<_>, Vec<_>) = retired.into_iter().partition(|id| is_open(*id));
        self.retired = open;
        self.free.extend(closed);
    }
}

#[cfg(test)]
mod tests;
