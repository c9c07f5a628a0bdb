//! The load of a whole zone, summed up by its aggregator.
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

/// What an instance said counts for so long; a dead one's slots are not offered for longer.
const REPORT_LASTS: time::SpanMs = time::SpanMs::new(3_500);
const MS_PER_SECOND: u64 = 1_000;
/// Refusals above this share of arrivals count as overload, in thousandths.
const OVERLOAD_PERMILLE: u64 = 20;

/// One service in one zone, as it travels between zones.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneServiceReport {
    /// What the zone can carry.
    #[serde(rename = "c")]
    pub capacity: rate::Rate,
    /// Exchanges that run.
    #[serde(rename = "r", default)]
    pub running: units::Slots,
    /// Arrivals by the zone of the clients.
    #[serde(rename = "d", default)]
    pub demand: BTreeMap<ids::AvailabilityZoneId, rate::Rate>,
    /// Look-ups by the zone of the clients, where some were refused: answered, refused.
    #[serde(rename = "l", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub look_ups: BTreeMap<ids::AvailabilityZoneId, (rate::Rate, rate::Rate)>,
    /// Requests refused for want of capacity.
    #[serde(rename = "x", default)]
    pub refused: rate::Rate,
    /// Exchanges that failed.
    #[serde(rename = "e", default)]
    pub errors: rate::Rate,
}

/// One zone's report, as it travels between zones.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// By service.
    #[serde(rename = "s")]
    pub services: BTreeMap<ids::ServiceId, ZoneServiceReport>,
    /// How far the zone has brought each shift of traffic, in thousandths.
    #[serde(rename = "m", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub moved_permille: BTreeMap<String, u32>,
}

/// The latest load of each instance of a zone.
#[derive(Debug, Default)]
pub struct ZoneLoad {
    instances: BTreeMap<ids::InstanceId, (time::TimeMs, InstanceLoad)>,
}

impl ZoneLoad {
    /// Takes what an instance measured.
    pub fn record(&mut self, now: time::TimeMs, instance: ids::InstanceId, load: InstanceLoad) {
        self.instances.insert(instance, (now, load));
        self.instances
            .retain(|_, (taken_at, _)| now.since(*taken_at) < REPORT_LASTS);
    }

    /// Sums up; `typical` is how long a request of a service usually holds a slot.
    #[must_use]
    pub fn report(
        &self,
        now: time::TimeMs,
        typical: impl Fn(&ids::ServiceId) -> time::SpanMs,
    ) -> ZoneReport {
        let mut report = ZoneReport::default();
        let fresh = self
            .instances
            .values()
            .filter(|(taken_at, _)| now.since(*taken_at) < REPORT_LASTS);
        for (_, load) in fresh {
            let period_ms = load.period_ms.get().max(1);
            let per_second =
                |count: u64| rate::Rate::per_second(count).scaled(MS_PER_SECOND, period_ms);
            for (service, of) in &load.services {
                let typical_ms = typical(service).get().max(1);
                let slots = rate::Rate::per_second(u64::from(of.slots));
                let sum = report.services.entry(service.clone()).or_default();
                sum.capacity += slots.scaled(MS_PER_SECOND, typical_ms);
                sum.running = sum.running + units::Slots::new(of.running);
                sum.refused += per_second(of.refused);
                sum.errors += per_second(of.errors);
                for (zone, count) in &of.arrivals {
                    let demand = sum.demand.entry(zone.clone()).or_default();
                    *demand += per_second(*count);
                }
                for (zone, count) in &of.look_ups {
                    let look_ups = sum.look_ups.entry(zone.clone()).or_default();
                    look_ups.0 += per_second(count.answered);
                    look_ups.1 += per_second(count.refused);
                }
            }
        }
        report
    }
}

impl ZoneReport {
    /// The report as steering takes it.
    #[must_use]
    pub fn to_digest(
        &self,
        zone: &ids::AvailabilityZoneId,
        sequence: u64,
        taken_at: time::TimeMs,
    ) -> digest::ZoneDigest {
        let mut made = digest::ZoneDigest::new(zone.clone(), sequence, taken_at);
        for (service, report) in &self.services {
            made.services
                .insert(service.clone(), report.to_service_digest());
        }
        made
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
                .look_ups
                .iter()
                .map(|(zone, (answered, refused))| {
                    let look_ups = digest::Lookups {
                        answered: *answered,
                        refused: *refused,
                    };
                    (zone.clone(), look_ups)
                })
                .collect(),
            refused: self.refused,
            errors: self.errors,
            overload,
        }
    }
}
