//! Load of a whole zone, summed over its instances by the aggregator of the zone.
//!
//! The aggregator is one of the zone's instances. The source zone of a client is the zone nearest to the
//! client.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_entry::load;
//!
//! let zone = load::ZoneLoad::default();
//! assert!(zone.report(time::TimeMs::ZERO, |_| time::SpanMs::new(50)).services.is_empty());
//! ```

use std::collections::BTreeMap;

use damaskvane_core::{ids, time, units};
use damaskvane_steering::{digest, rate};
use serde::{Deserialize, Serialize};

use crate::load::instance_load::InstanceLoad;

/// Maximum age at which the load report of an instance is still summed. A longer time would offer the slots
/// of a crashed instance to clients for longer.
const REPORT_TTL: time::SpanMs = time::SpanMs::new(3_500);
const MS_PER_SECOND: u64 = 1_000;
/// Share of refused requests among arrivals above which a service counts as overloaded, in thousandths.
const OVERLOAD_PERMILLE: u64 = 20;

/// Load of one service in one zone, as sent between zones.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneServiceReport {
    /// Rate at which the zone can run requests of the service.
    #[serde(rename = "c")]
    pub capacity: rate::Rate,
    /// Number of running exchanges with backend servers.
    #[serde(rename = "r", default)]
    pub running: units::Slots,
    /// Rate of arrivals, by source zone of the clients.
    #[serde(rename = "d", default)]
    pub demand: BTreeMap<ids::AvailabilityZoneId, rate::Rate>,
    /// Rates of answered and of refused lookups, by source zone; zones without a refused lookup are left
    /// out.
    #[serde(rename = "l", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub lookups: BTreeMap<ids::AvailabilityZoneId, (rate::Rate, rate::Rate)>,
    /// Rate of requests refused for lack of capacity.
    #[serde(rename = "x", default)]
    pub refused: rate::Rate,
    /// Rate of failed exchanges with backend servers.
    #[serde(rename = "e", default)]
    pub errors: rate::Rate,
}

/// Load report of one zone, as sent between zones.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// Load by service.
    #[serde(rename = "s")]
    pub services: BTreeMap<ids::ServiceId, ZoneServiceReport>,
    /// Share of clients that each traffic shift has moved according to this zone, in thousandths, by the
    /// shift's name.
    #[serde(rename = "m", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub moved_permille: BTreeMap<String, u32>,
}

/// Latest load report of each instance of a zone.
#[derive(Debug, Default)]
pub struct ZoneLoad {
    instances: BTreeMap<ids::InstanceId, (time::TimeMs, InstanceLoad)>,
}

impl ZoneLoad {
    /// Records the load report of an instance and drops expired reports.
    pub fn record(&mut self, now: time::TimeMs, instance: ids::InstanceId, load: InstanceLoad) {
        self.instances.insert(instance, (now, load));
        self.instances
            .retain(|_, (taken_at, _)| now.since(*taken_at) < REPORT_TTL);
    }

    /// Sums the unexpired load reports; `typical_hold_time` returns how long a request of a service
    /// typically holds a slot, the right to run one request on a backend server.
    #[must_use]
    pub fn report(
        &self,
        now: time::TimeMs,
        typical_hold_time: impl Fn(&ids::ServiceId) -> time::SpanMs,
    ) -> ZoneReport {
        let mut report = ZoneReport::default();
        let fresh = self
            .instances
            .values()
            .filter(|(taken_at, _)| now.since(*taken_at) < REPORT_TTL);
        for (_, load) in fresh {
            let period_ms = load.period_ms.get().max(1);
            let per_second =
                |count: u64| rate::Rate::per_second(count).scaled(MS_PER_SECOND, period_ms);
            for (service, service_load) in &load.services {
                let typical_ms = typical_hold_time(service).get().max(1);
                let slots = rate::Rate::per_second(u64::from(service_load.slots));
                let sum = report.services.entry(service.clone()).or_default();
                sum.capacity += slots.scaled(MS_PER_SECOND, typical_ms);
                sum.running = sum.running + units::Slots::new(service_load.running);
                sum.refused += per_second(service_load.refused);
                sum.errors += per_second(service_load.errors);
                for (zone, count) in &service_load.arrivals {
                    let demand = sum.demand.entry(zone.clone()).or_default();
                    *demand += per_second(*count);
                }
                for (zone, count) in &service_load.lookups {
                    let lookups = sum.lookups.entry(zone.clone()).or_default();
                    lookups.0 += per_second(count.answered);
                    lookups.1 += per_second(count.refused);
                }
            }
        }
        report
    }
}

impl ZoneReport {
    /// Converts the report to the digest that steering uses.
    #[must_use]
    pub fn to_digest(
        &self,
        zone: &ids::AvailabilityZoneId,
        sequence: u64,
        taken_at: time::TimeMs,
    ) -> digest::ZoneDigest {
        let mut zone_digest = digest::ZoneDigest::new(zone.clone(), sequence, taken_at);
        for (service, report) in &self.services {
            zone_digest
                .services
                .insert(service.clone(), report.to_service_digest());
        }
        zone_digest
    }
}

impl ZoneServiceReport {
    fn to_service_digest(&self) -> digest::ServiceDigest {
        let arrivals: rate::Rate = self.demand.values().copied().sum();
        let overload = self.refused.milli() * 1_000 > arrivals.milli() * OVERLOAD_PERMILLE;
        digest::ServiceDigest {
            capacity: self.capacity,
            running: self.running,
            demand: self.demand.clone(),
            lookups: self
                .lookups
                .iter()
                .map(|(zone, (answered, refused))| {
                    let lookups = digest::Lookups {
                        answered: *answered,
                        refused: *refused,
                    };
                    (zone.clone(), lookups)
                })
                .collect(),
            refused: self.refused,
            errors: self.errors,
            overload,
        }
    }
}
