//! What the engine says of its load, for the zone's digest.
//!
//! ```
//! use damaskvane_engine::engine;
//!
//! assert!(engine::EngineLoad::default().services.is_empty());
//! ```

use std::collections::BTreeMap;

use damaskvane_core::{ids, time, units};

use crate::engine::Engine;

/// One service on this instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineServiceLoad {
    /// Slots of the backend servers that this instance owns and that take work.
    pub slots: units::Slots,
    /// Exchanges that run.
    pub running: units::Slots,
    /// Requests refused for want of capacity since the last call.
    pub refused: u64,
    /// Exchanges that failed since the last call.
    pub errors: u64,
}

/// The engine's load since the last call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// By service.
    pub services: BTreeMap<ids::ServiceId, EngineServiceLoad>,
}

impl Engine {
    /// The load since the last call.
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
