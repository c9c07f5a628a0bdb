//! Counts arrivals between two reports.
//!
//! ```
//! use damaskvane_entry::load;
//!
//! assert!(load::Meter::default().take_arrivals().is_empty());
//! ```

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use damaskvane_core::ids;
use damaskvane_engine::engine;

type Arrivals = BTreeMap<(ids::ServiceId, ids::AvailabilityZoneId), u64>;

/// Counts arrivals, and holds what the engine last said of itself.
#[derive(Debug, Default)]
pub struct Meter {
    arrivals: Mutex<Arrivals>,
    engine: Mutex<engine::EngineLoad>,
}

impl Meter {
    /// Counts the first try of a request from a client of a zone.
    pub fn arrived(&self, service: &ids::ServiceId, source: &ids::AvailabilityZoneId) {
        let mut arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        *arrivals
            .entry((service.clone(), source.clone()))
            .or_default() += 1;
    }

    /// The arrivals since the last call.
    pub fn take_arrivals(&self) -> BTreeMap<(ids::ServiceId, ids::AvailabilityZoneId), u64> {
        core::mem::take(&mut self.arrivals.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces what the engine says of itself.
    pub fn set_engine(&self, load: engine::EngineLoad) {
        *self.engine.lock().unwrap_or_else(PoisonError::into_inner) = load;
    }

    /// What the engine last said of itself.
    #[must_use]
    pub fn engine(&self) -> engine::EngineLoad {
        self.engine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
