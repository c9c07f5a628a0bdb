//! One instance's load over one period, as it tells the aggregator of its zone.
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

/// One service on one instance. Names are short because it is sent every second.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Slots of the backend servers that this instance owns and that take work.
    #[serde(rename = "c", default)]
    pub slots: u32,
    /// Exchanges that run.
    #[serde(rename = "r", default)]
    pub running: u32,
    /// Requests refused for want of capacity in the period.
    #[serde(rename = "x", default)]
    pub refused: u64,
    /// Exchanges that failed in the period.
    #[serde(rename = "e", default)]
    pub errors: u64,
    /// Arrivals in the period by the zone of the clients.
    #[serde(rename = "d", default)]
    pub arrivals: BTreeMap<ids::AvailabilityZoneId, u64>,
    /// Look-ups in the period by the zone of the clients, where some were refused.
    #[serde(rename = "l", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub look_ups: BTreeMap<ids::AvailabilityZoneId, meter::LookUpCount>,
}

/// One instance's load over one period.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceLoad {
    /// The length of the period.
    #[serde(rename = "p")]
    pub period_ms: time::SpanMs,
    /// By service.
    #[serde(rename = "s")]
    pub services: BTreeMap<ids::ServiceId, ServiceLoad>,
}

impl InstanceLoad {
    /// Takes what was measured since the last call.
    #[must_use]
    pub fn measure(meter: &Meter, period: time::SpanMs) -> Self {
        let mut services: BTreeMap<ids::ServiceId, ServiceLoad> = meter
            .engine()
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
        for ((service, source), count) in meter.take_look_ups() {
            let load = services.entry(service).or_default();
            load.look_ups.insert(source, count);
        }
        Self {
            period_ms: period,
            services,
        }
    }
}
