//! The load that the engine reports for the digest, the summary that is sent on behalf of its zone.
//!
//! A slot is the right to run one request on a backend server; one instance, its owner, grants the slots.
//!
//! ```
//! use damaskvane_engine::engine;
//!
//! assert!(engine::EngineLoad::default().services.is_empty());
//! ```

use std::collections::BTreeMap;

use damaskvane_core::{ids, time, units};

use crate::engine::Engine;

/// The load of one service on this instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineServiceLoad {
    /// The slots of the backend servers that this instance owns and that may get requests.
    pub slots: units::Slots,
    /// The slots in use: one for each exchange in progress.
    pub running: units::Slots,
    /// The number of requests refused for lack of capacity since the last call of `take_load`.
    pub refused: u64,
    /// The number of exchanges that failed since the last call of `take_load`; refusals by a backend server do
    /// not count.
    pub errors: u64,
}

/// The load of the engine, with counters since the last call of [`Engine::take_load`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// The load by service; services without load or slots can be missing.
    pub services: BTreeMap<ids::ServiceId, EngineServiceLoad>,
}

impl Engine {
    /// Returns the current load and resets its counters.
    #[must_use]
    pub fn take_load(&mut self, now: time::TimeMs) -> EngineLoad {
        let mut load = core::mem::take(&mut self.load);
        for (service, slots) in self.servers.serving(now) {
            load.services.entry(service).or_default().slots = slots;
        }
        for active in self.active_exchanges.values() {
            let entry = load.services.entry(active.service.clone()).or_default();
            entry.running = entry.running + units::Slots::new(1);
        }
        load
    }
}
