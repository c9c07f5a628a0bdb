//! Load of one instance over one period, as sent to the aggregator of its zone.
//!
//! The aggregator is the instance that sums the load of the zone. The source zone of a client is the zone
//! nearest to the client. A slot is the right to run one request on a backend server.
//!
//! ```
//! use damaskvane_entry::load;
//!
//! assert!(load::InstanceLoad::default().services.is_empty());
//! ```

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};
use serde::{Deserialize, Serialize};

use crate::load::meter::{self, Meter};

/// Load of one service on one instance. The serialized names are short because the load is sent every
/// second.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Number of slots of those backend servers that this instance owns (grants the slots of) and that
    /// currently accept requests.
    #[serde(rename = "c", default)]
    pub slots: u32,
    /// Number of running exchanges with backend servers.
    #[serde(rename = "r", default)]
    pub running: u32,
    /// Requests refused in the period for lack of capacity.
    #[serde(rename = "x", default)]
    pub refused: u64,
    /// Exchanges with backend servers that failed in the period.
    #[serde(rename = "e", default)]
    pub errors: u64,
    /// Requests that arrived in the period, by source zone of the clients.
    #[serde(rename = "d", default)]
    pub arrivals: BTreeMap<ids::AvailabilityZoneId, u64>,
    /// Lookups in the period, by source zone of the clients; zones without a refused lookup are left out.
    #[serde(rename = "l", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub lookups: BTreeMap<ids::AvailabilityZoneId, meter::LookupCount>,
}

/// Load of one instance over one period.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceLoad {
    /// Length of the period that the counts cover, in milliseconds.
    #[serde(rename = "p")]
    pub period_ms: time::SpanMs,
    /// Load by service.
    #[serde(rename = "s")]
    pub services: BTreeMap<ids::ServiceId, ServiceLoad>,
}

impl InstanceLoad {
    /// Returns the load since the last call and resets the counters of the meter.
    #[must_use]
    pub fn measure(meter: &Meter, period: time::SpanMs) -> Self {
        let mut services: BTreeMap<ids::ServiceId, ServiceLoad> = meter
            .engine_load()
            .services
            .into_iter()
            .map(|(service, load)| {
                let load = ServiceLoad {
                    slots: load.slots.get(),
                    running: load.running.get(),
                    refused: load.refused,
                    errors: load.errors,
                    ..ServiceLoad::default()
                };
                (service, load)
            })
            .collect();
        for ((service, source), count) in meter.take_arrivals() {
            let load = services.entry(service).or_default();
            load.arrivals.insert(source, count);
        }
        for ((service, source), count) in meter.take_lookups() {
            let load = services.entry(service).or_default();
            load.lookups.insert(source, count);
        }
        Self {
            period_ms: period,
            services,
        }
    }
}
