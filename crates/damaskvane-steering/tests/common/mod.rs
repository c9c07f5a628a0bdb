//! A topology, digests (reports of a zone's load and capacity) and accessors of plans that several test files
//! share.
#![allow(dead_code)]

use std::collections::BTreeMap;

use damaskvane_core::{ids, time, units};
use damaskvane_steering::{digest, input, plan, rate};

pub(crate) const SERVICE: &str = "rider-desk";
/// Time between two plans, in milliseconds.
pub(crate) const STEP_MS: u64 = 1_000;

pub(crate) fn zone(text: &str) -> ids::AvailabilityZoneId {
    text.parse().unwrap()
}

pub(crate) fn service_id() -> ids::ServiceId {
    SERVICE.parse().unwrap()
}

pub(crate) fn at(ms: u64) -> time::TimeMs {
    time::TimeMs::new(ms)
}

pub(crate) fn rps(requests: u64) -> rate::Rate {
    rate::Rate::per_second(requests)
}

/// Returns a topology of three regions with two zones each. A zone has 20 slots, each of which runs one
/// request at a time; at 100 ms a request they serve 200 requests a second.
pub(crate) fn topology() -> input::Topology {
    let regions = ["ab", "mb", "sask"];
    let mut topology = input::Topology::default();
    let mut service = input::Service::default();
    for region in regions {
        for letter in ["a", "b"] {
            let id = zone(&format!("{region}-{letter}"));
            service.slots.insert(id.clone(), units::Slots::new(20));
            topology.zones.insert(id, region.parse().unwrap());
        }
    }
    topology.services.insert(service_id(), service);
    for (left, right) in [("ab", "mb"), ("ab", "sask"), ("mb", "sask")] {
        let pair = (left.parse().unwrap(), right.parse().unwrap());
        topology
            .links
            .insert(pair, units::MegabitsPerSecond::new(4_000));
    }
    topology
}

/// Returns a zone's digest with the given demand of the zone's own clients, in requests a second.
pub(crate) fn report(
    id: &ids::AvailabilityZoneId,
    sequence: u64,
    now_ms: u64,
    demand: u64,
) -> digest::ZoneDigest {
    let mut report = digest::ZoneDigest::new(id.clone(), sequence, at(now_ms));
    let service = digest::ServiceDigest {
        capacity: rps(200),
        demand: BTreeMap::from([(id.clone(), rps(demand))]),
        ..digest::ServiceDigest::default()
    };
    report.services.insert(service_id(), service);
    report
}

/// Applies a new digest of each zone to a view, with the same demand of each zone's own clients.
pub(crate) fn apply_all_reports(view: &mut digest::View, sequence: u64, now_ms: u64, demand: u64) {
    for id in topology().zones.keys() {
        view.apply_digest(report(id, sequence, now_ms, demand));
    }
}

/// Returns the sum of the planned request rates from all source zones to a destination zone.
pub(crate) fn planned_to(plan: &plan::Plan, destination: &ids::AvailabilityZoneId) -> rate::Rate {
    let sources = plan.services[&service_id()].sources.values();
    sources.map(|source| source.flow(destination)).sum()
}

/// Returns the planned request rate from a source zone to a destination zone.
pub(crate) fn flow(plan: &plan::Plan, source: &str, destination: &str) -> rate::Rate {
    let source = plan.source(&service_id(), &zone(source)).unwrap();
    source.flow(&zone(destination))
}
