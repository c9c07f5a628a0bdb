//! The topology: the part of the configuration that steering uses.
//!
//! ```
//! use damaskvane_config::state;
//! use damaskvane_entry::translate;
//!
//! assert!(translate::topology(&state::ConfigState::default()).links.is_empty());
//! ```

use std::collections::BTreeMap;

use damaskvane_config::{declaration, state};
use damaskvane_core::{ids, units};
use damaskvane_steering::input;

/// Returns the declared zones, services with their slots (concurrent requests) per zone, links between
/// regions, and latencies.
#[must_use]
pub fn topology(config: &state::ConfigState) -> input::Topology {
    let zones = config
        .availability_zones()
        .iter()
        .map(|(id, zone)| (id.clone(), zone.region.clone()))
        .collect();
    let services = config
        .services()
        .iter()
        .map(|(id, service)| (id.clone(), steered_service(config, id, service)))
        .collect();
    input::Topology {
        zones,
        services,
        links: links(config),
        measured_latency_ms: latencies(config),
        ..input::Topology::default()
    }
}

fn steered_service(
    config: &state::ConfigState,
    id: &ids::ServiceId,
    service: &declaration::Service,
) -> input::Service {
    let slots = config
        .availability_zones()
        .keys()
        .map(|zone| (zone.clone(), config.slots_of(id, zone)))
        .filter(|(_, slots)| *slots != units::Slots::ZERO)
        .collect();
    let bytes = service.typical_request_bytes + service.typical_answer_bytes;
    input::Service {
        typical_time_ms: saturating_u32(service.typical_request_ms.get()),
        typical_bytes: saturating_u32(bytes.get()),
        slots,
        ..input::Service::default()
    }
}

fn links(
    config: &state::ConfigState,
) -> BTreeMap<(ids::RegionId, ids::RegionId), units::MegabitsPerSecond> {
    let mut links = BTreeMap::new();
    for link in config.links().values() {
        let low = (&link.from).min(&link.to).clone();
        let high = (&link.from).max(&link.to).clone();
        let min_capacity = links.entry((low, high)).or_insert(link.capacity_mbps);
        *min_capacity = (*min_capacity).min(link.capacity_mbps);
    }
    links
}

fn latencies(
    config: &state::ConfigState,
) -> BTreeMap<(ids::AvailabilityZoneId, ids::AvailabilityZoneId), u32> {
    let mut latencies = BTreeMap::new();
    for (from, zone) in config.availability_zones() {
        for (to, latency) in &zone.latency_ms {
            latencies.insert((from.clone(), to.clone()), saturating_u32(latency.get()));
        }
    }
    latencies
}

fn saturating_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
