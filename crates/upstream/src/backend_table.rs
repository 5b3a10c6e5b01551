//! The table of backends: a slot for each, by [`BackendId`].
//!
//! [`BackendTable`] owns the backends, those among them that were removed and still have attempts in flight. It knows
//! neither groups nor handlers, and never judges a backend.

use crate::backend::Backend;
use crate::backend_id::BackendId;
use crate::settings::BackendSettings;
use std::ops::{Index, IndexMut};

/// All backends of one server.
#[derive(Default)]
pub(crate) struct BackendTable {
    slots: Vec<Backend>,
}

impl BackendTable {
    /// Puts a backend into the first free slot, or into a new one.
    pub(crate) fn insert(&mut self, backend: Backend) -> BackendId {
        let free = self.slots.iter().position(Backend::is_replaceable);
        let index = free.unwrap_or(self.slots.len());
        match self.slots.get_mut(index) {
            Some(slot) => *slot = backend,
            None => self.slots.push(backend),
        }
        BackendId::new(index)
    }

    /// The configured backend that these settings describe, if there is one.
    pub(crate) fn find(&self, settings: &BackendSettings) -> Option<BackendId> {
        let is_same = |backend: &Backend| {
            !backend.is_removed() && backend.settings().is_same_backend(settings)
        };
        self.slots.iter().position(is_same).map(BackendId::new)
    }

    /// How many slots there are; all ids are below.
    pub(crate) fn slots(&self) -> usize {
        self.slots.len()
    }

    /// The backend of an id, to be changed; nothing where the id is that of no slot.
    pub(crate) fn get_mut(&mut self, id: BackendId) -> Option<&mut Backend> {
        self.slots.get_mut(id.index())
    }

    /// The configured backends, in the order of their slots.
    pub(crate) fn configured(&self) -> impl Iterator<Item = &Backend> {
        self.slots.iter().filter(|backend| !backend.is_removed())
    }

    /// The configured backends, to be changed, in the order of their slots.
    pub(crate) fn configured_mut(&mut self) -> impl Iterator<Item = &mut Backend> {
        let slots = self.slots.iter_mut();
        slots.filter(|backend| !backend.is_removed())
    }
}

impl Index<BackendId> for BackendTable {
    type Output = Backend;

    fn index(&self, id: BackendId) -> &Backend {
        &self.slots[id.index()]
    }
}

impl IndexMut<BackendId> for BackendTable {
    fn index_mut(&mut self, id: BackendId) -> &mut Backend {
        &mut self.slots[id.index()]
    }
}
