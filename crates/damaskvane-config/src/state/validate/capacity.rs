//! Checks of capacity over several objects: usable servers, slots, links and shifted shares.
//!
//! A slot is the right to run one request on a backend server. A draining server gets no new
//! requests. A shift is a planned move of a service's traffic between zones.

use std::collections::{BTreeMap, BTreeSet};

use damaskvane_core::{ids, units};

use crate::declaration::{Service, Shift};
use crate::object::{ObjectId, ObjectKind};
use crate::problem::Problem;
use crate::state::config_state::ConfigState;

/// All traffic or slots, in thousandths.
const WHOLE_PERMILLE: u64 = 1_000;

pub(super) fn check(state: &ConfigState) -> Vec<Problem> {
    let mut problems = Vec::new();
    problems.extend(unreachable_services(state));
    problems.extend(insufficient_slots(state));
    problems.extend(oversubscribed_shifts(state));
    problems.extend(shifts_without_target(state));
    problems.extend(overloaded_links(state));
    problems
}

/// Reports services whose backend servers are all draining.
///
/// Such a service can serve no request, though each object is valid by itself. A service without
/// backend servers is being set up and is allowed.
fn unreachable_services(state: &ConfigState) -> Vec<Problem> {
    let servers = state.backend_servers().values();
    let declared: BTreeSet<_> = servers.clone().map(|server| &server.service).collect();
    let usable: BTreeSet<_> = servers
        .filter(|server| !server.draining)
        .map(|server| &server.service)
        .collect();
    declared
        .difference(&usable)
        .filter_map(|service| {
            with_object(
                ObjectKind::Service,
                service.as_str(),
                Problem::new(
                    "all of its backend servers are draining",
                    "leave one undrained, or delete the service and its backend servers",
                ),
            )
        })
        .collect()
}

fn insufficient_slots(state: &ConfigState) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (name, service) in state.services() {
        let slots = total_slots(state, name);
        let needed = slots_needed(service);
        if slots == units::Slots::ZERO || needed <= u64::from(slots.get()) {
            continue;
        }
        let message = format!("needs {needed} slots at its peak and has {slots} undrained");
        let remedy = "add backend servers, undrain some, or correct peak_requests_per_second";
        let problem = Problem::new(message, remedy).key("peak_requests_per_second");
        problems.extend(with_object(ObjectKind::Service, name.as_str(), problem));
    }
    problems
}

/// Returns the number of concurrent requests at the service's peak rate, by Little's law (rate
/// times duration), rounded up.
fn slots_needed(service: &Service) -> u64 {
    let rate = u64::from(service.peak_requests_per_second.get());
    rate.saturating_mul(service.typical_request_ms.get())
        .div_ceil(1_000)
}

fn total_slots(state: &ConfigState, service: &ids::ServiceId) -> units::Slots {
    state
        .backend_servers()
        .values()
        .filter(|server| server.service == *service && !server.draining)
        .map(|server| server.slots)
        .sum()
}

/// Reports shifts out of one zone that add up to more than all of its traffic.
///
/// Such shifts would move some of the traffic twice.
fn oversubscribed_shifts(state: &ConfigState) -> Vec<Problem> {
    let mut sums: BTreeMap<_, u64> = BTreeMap::new();
    let mut problems = Vec::new();
    for (name, shift) in state.shifts() {
        let sum = sums.entry((&shift.service, &shift.from)).or_default();
        *sum += u64::from(shift.permille.get());
        if *sum > WHOLE_PERMILLE {
            let message = format!("shifts out of {} add up to {sum} permille", shift.from);
            let problem = Problem::new(message, "lower one of them").key("permille");
            problems.extend(with_object(ObjectKind::Shift, name.as_str(), problem));
        }
    }
    problems
}

fn shifts_without_target(state: &ConfigState) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (name, shift) in state.shifts() {
        if shift.permille.get() == 0
            || state.slots_of(&shift.service, &shift.to) > units::Slots::ZERO
        {
            continue;
        }
        let message = format!(
            "{} has no undrained backend server of {}",
            shift.to, shift.service
        );
        let remedy = "shift to a zone that has one, or undrain one there";
        let problem = Problem::new(message, remedy).key("to");
        problems.extend(with_object(ObjectKind::Shift, name.as_str(), problem));
    }
    problems
}

/// Reports links on which the declared shifts exceed the capacity at peak.
fn overloaded_links(state: &ConfigState) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (name, link) in state.links() {
        let bits: u64 = state
            .shifts()
            .values()
            .map(|shift| bits_per_second(state, shift, &link.from, &link.to))
            .sum();
        let capacity = u64::from(link.capacity_mbps.get()) * 1_000_000;
        if bits <= capacity {
            continue;
        }
        let message = format!(
            "shifts put {} Mbit/s on it at peak",
            bits.div_ceil(1_000_000)
        );
        let remedy = "lower the shifts or raise capacity_mbps";
        let problem = Problem::new(message, remedy).key("capacity_mbps");
        problems.extend(with_object(ObjectKind::Link, name.as_str(), problem));
    }
    problems
}

fn bits_per_second(
    state: &ConfigState,
    shift: &Shift,
    from: &ids::RegionId,
    to: &ids::RegionId,
) -> u64 {
    let region_of = |zone| {
        state
            .availability_zones()
            .get(zone)
            .map(|zone| &zone.region)
    };
    let source = region_of(&shift.from);
    let target = region_of(&shift.to);
    let Some(service) = state.services().get(&shift.service) else {
        return 0;
    };
    // Requests travel from the source's region to the target's, and responses travel back.
    let bytes = if source == Some(from) && target == Some(to) {
        service.typical_request_bytes.get()
    } else if source == Some(to) && target == Some(from) {
        service.typical_answer_bytes.get()
    } else {
        return 0;
    };
    let rate = u64::from(service.peak_requests_per_second.get());
    let share = source_share(state, &shift.service, &shift.from);
    let shifted = rate.saturating_mul(share) / WHOLE_PERMILLE * u64::from(shift.permille.get());
    shifted.saturating_mul(bytes).saturating_mul(8) / WHOLE_PERMILLE
}

/// Returns the share of the service's traffic that a zone serves, by its slots, in thousandths.
fn source_share(
    state: &ConfigState,
    service: &ids::ServiceId,
    zone: &ids::AvailabilityZoneId,
) -> u64 {
    let total = u64::from(total_slots(state, service).get());
    let own = u64::from(state.slots_of(service, zone).get());
    (own * WHOLE_PERMILLE).checked_div(total).unwrap_or(0)
}

fn with_object(kind: ObjectKind, name: &str, problem: Problem) -> Option<Problem> {
    let object = ObjectId::new(kind, name.parse().ok()?);
    Some(problem.of(&object))
}
