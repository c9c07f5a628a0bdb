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
use serde::{Deserialize, Serialize};

type Arrivals = BTreeMap<(ids::ServiceId, ids::AvailabilityZoneId), u64>;
type LookUps = BTreeMap<(ids::ServiceId, ids::AvailabilityZoneId), LookUpCount>;

/// Look-ups of one service by clients of one zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookUpCount {
    /// Answered with entry instances.
    #[serde(rename = "a")]
    pub answered: u64,
    /// Refused for want of capacity.
    #[serde(rename = "x")]
    pub refused: u64,
}

/// Counts arrivals, and holds what the engine last said of itself.
#[derive(Debug, Default)]
pub struct Meter {
    arrivals: Mutex<Arrivals>,
    look_ups: Mutex<LookUps>,
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

    /// Counts a look-up of a client of a zone.
    pub fn looked_up(
        &self,
        service: &ids::ServiceId,
        source: &ids::AvailabilityZoneId,
        was_answered: bool,
    ) {
        let mut look_ups = self.look_ups.lock().unwrap_or_else(PoisonError::into_inner);
        let count = look_ups
            .entry((service.clone(), source.clone()))
            .or_default();
        if was_answered {
            count.answered += 1;
        } else {
            count.refused += 1;
        }
    }

    /// The look-ups since the last call, of sources of which some were refused.
    pub fn take_look_ups(
        &self,
    ) -> BTreeMap<(ids::ServiceId, ids::AvailabilityZoneId), LookUpCount> {
        let look_ups =
            core::mem::take(&mut *self.look_ups.lock().unwrap_or_else(PoisonError::into_inner));
        look_ups
            .into_iter()
            .filter(|(_, count)| count.refused > 0)
            .collect()
    }

    /// The arrivals since the last call.
    pub fn take_arrivals(&self) -> BTreeMap<(ids::ServiceId, ids::AvailabilityZoneId), u64> {
        core::mem::take(&mut self.arrivals.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces what the engine says of itself.
    pub fn set_engine_load(&self, load: engine::EngineLoad) {
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
