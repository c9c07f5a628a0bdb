//! Counts arrivals and lookups between two load reports.
//!
//! The source zone of a client is the zone nearest to the client.
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
type Lookups = BTreeMap<(ids::ServiceId, ids::AvailabilityZoneId), LookupCount>;

/// Number of lookups of one service by clients of one zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupCount {
    /// Lookups answered with entry instances.
    #[serde(rename = "a")]
    pub answered: u64,
    /// Lookups refused for lack of capacity.
    #[serde(rename = "x")]
    pub refused: u64,
}

/// Counters of arrivals and lookups, and the latest load report of the engine.
#[derive(Debug, Default)]
pub struct Meter {
    arrivals: Mutex<Arrivals>,
    lookups: Mutex<Lookups>,
    engine: Mutex<engine::EngineLoad>,
}

impl Meter {
    /// Counts the first attempt of a request from a client with this source zone.
    pub fn record_arrival(&self, service: &ids::ServiceId, source: &ids::AvailabilityZoneId) {
        let mut arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        *arrivals
            .entry((service.clone(), source.clone()))
            .or_default() += 1;
    }

    /// Counts a lookup from a client with this source zone.
    pub fn record_lookup(
        &self,
        service: &ids::ServiceId,
        source: &ids::AvailabilityZoneId,
        was_answered: bool,
    ) {
        let mut lookups = self.lookups.lock().unwrap_or_else(PoisonError::into_inner);
        let count = lookups
            .entry((service.clone(), source.clone()))
            .or_default();
        if was_answered {
            count.answered += 1;
        } else {
            count.refused += 1;
        }
    }

    /// Returns the lookups since the last call, by service and source zone, and resets the counters.
    ///
    /// A service and zone without a refused lookup is left out.
    pub fn take_lookups(&self) -> BTreeMap<(ids::ServiceId, ids::AvailabilityZoneId), LookupCount> {
        let lookups =
            core::mem::take(&mut *self.lookups.lock().unwrap_or_else(PoisonError::into_inner));
        lookups
            .into_iter()
            .filter(|(_, count)| count.refused > 0)
            .collect()
    }

    /// Returns the arrivals since the last call, by service and source zone, and resets the counters.
    pub fn take_arrivals(&self) -> BTreeMap<(ids::ServiceId, ids::AvailabilityZoneId), u64> {
        core::mem::take(&mut self.arrivals.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the load report of the engine.
    pub fn set_engine_load(&self, load: engine::EngineLoad) {
        *self.engine.lock().unwrap_or_else(PoisonError::into_inner) = load;
    }

    /// Returns the latest load report of the engine.
    #[must_use]
    pub fn engine_load(&self) -> engine::EngineLoad {
        self.engine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
