//! The table of backends, with a slot for each [`BackendId`].
//!
//! [`BackendTable`] owns the backends, including removed ones that still have attempts in flight. It knows neither
//! groups nor handlers and does not judge backends.

use crate::backend::Backend;
use crate::backend_id::BackendId;
use crate::settings::BackendSettings;
use std::ops::{Index, IndexMut};

/// All backends that one server calls.
#[derive(Default)]
pub(crate) struct BackendTable {
    slots: Vec<Backend>,
}

impl BackendTable {
    /// Puts a backend into the first free slot, or into a new one. Returns its id.
    pub(crate) fn insert(&mut self, backend: Backend) -> BackendId {
        let free = self.slots.iter().position(Backend::is_replaceable);
        let index = free.unwrap_or(self.slots.len());
        match self.slots.get_mut(index) {
            Some(slot) => *slot = backend,
            None => self.slots.push(backend),
        }
        BackendId::new(index)
    }

    /// Returns the configured backend that these settings describe, if there is one.
    pub(crate) fn find(&self, settings: &BackendSettings) -> Option<BackendId> {
        let is_same = |backend: &Backend| {
            !backend.is_removed() && backend.settings().is_same_backend(settings)
        };
        self.slots.iter().position(is_same).map(BackendId::new)
    }

    /// Returns the number of slots. The index of every id is below it.
    pub(crate) fn slots(&self) -> usize {
        self.slots.len()
    }

    /// Returns the backend with an id, or `None` if the table has no such slot.
    pub(crate) fn get_mut(&mut self, id: BackendId) -> Option<&mut Backend> {
        self.slots.get_mut(id.index())
    }

    /// Iterates over the configured backends in the order of their slots.
    pub(crate) fn configured(&self) -> impl Iterator<Item = &Backend> {
        self.slots.iter().filter(|backend| !backend.is_removed())
    }

    /// Iterates mutably over the configured backends in the order of their slots.
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
