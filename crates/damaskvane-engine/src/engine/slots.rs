//! Slots of the backend servers that this instance owns.
//!
//! ```text
//! free -> taken -> free, or lingering until the request's deadline where its end is not known
//! ```

use std::collections::BTreeMap;

use damaskvane_core::{ids, time, units};

/// Counts taken slots; never more than a backend server has.
#[derive(Debug, Default)]
pub(super) struct SlotKeeper {
    taken: BTreeMap<ids::BackendServerId, u32>,
    lingering: Vec<(time::TimeMs, ids::BackendServerId)>,
}

impl SlotKeeper {
    pub(super) fn free(&self, server: &ids::BackendServerId, slots: units::Slots) -> u32 {
        let taken = self.taken.get(server).copied().unwrap_or(0);
        slots.get().saturating_sub(taken)
    }

    #[must_use]
    pub(super) fn take(&mut self, server: &ids::BackendServerId, slots: units::Slots) -> bool {
        if self.free(server, slots) == 0 {
            return false;
        }
        *self.taken.entry(server.clone()).or_default() += 1;
        true
    }

    pub(super) fn release(&mut self, server: &ids::BackendServerId) {
        if let Some(taken) = self.taken.get_mut(server) {
            *taken = taken.saturating_sub(1);
        }
    }

    /// Frees a slot only once the backend server must have stopped the request.
    pub(super) fn linger(&mut self, server: &ids::BackendServerId, until: time::TimeMs) {
        self.lingering.push((until, server.clone()));
    }

    pub(super) fn expire(&mut self, now: time::TimeMs) {
        let (over, lingering): (Vec<_>, Vec<_>) = core::mem::take(&mut self.lingering)
            .into_iter()
            .partition(|(until, _)| *until <= now);
        self.lingering = lingering;
        for (_, server) in over {
            self.release(&server);
        }
    }
}
