//! Sums over several objects: services that can't be reached, slots, links and shifted shares.

use std::collections::{BTreeMap, BTreeSet};

use damaskvane_core::{ids, units};

use crate::declaration::{Service, Shift};
use crate::object::{ObjectId, ObjectKind};
use crate::problem::Problem;
use crate::state::config_state::ConfigState;

/// The whole, in thousandths.
const WHOLE_PERMILLE: u64 = 1_000;

pub(super) fn check(state: &ConfigState) -> Vec<Problem> {
    let mut problems = Vec::new();
    problems.extend(unreachable_services(state));
    problems.extend(peak_above_slots(state));
    problems.extend(shifted_shares(state));
    problems.extend(shifts_without_target(state));
    problems.extend(links_overfilled(state));
    problems
}

/// A service that has backend servers but can use none answers nobody, though each object looks
/// right by itself. A service without any is being set up and is let through.
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
            about(
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

fn peak_above_slots(state: &ConfigState) -> Vec<Problem> {
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
        problems.extend(about(ObjectKind::Service, name.as_str(), problem));
    }
    problems
}

/// Requests that run at a time at the service's peak, by Little's law, rounded up.
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

/// Shifts out of one zone that add up to more than all its traffic would move some of it twice.
fn shifted_shares(state: &ConfigState) -> Vec<Problem> {
    let mut sums: BTreeMap<_, u64> = BTreeMap::new();
    let mut problems = Vec::new();
    for (name, shift) in state.shifts() {
        let sum = sums.entry((&shift.service, &shift.from)).or_default();
        *sum += u64::from(shift.permille.get());
        if *sum > WHOLE_PERMILLE {
            let message = format!("shifts out of {} sum up to {sum} permille", shift.from);
            let problem = Problem::new(message, "lower one of them").key("permille");
            problems.extend(about(ObjectKind::Shift, name.as_str(), problem));
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
        problems.extend(about(ObjectKind::Shift, name.as_str(), problem));
    }
    problems
}

/// What the declared shifts put on each link at peak, against what the link carries.
fn links_overfilled(state: &ConfigState) -> Vec<Problem> {
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
        problems.extend(about(ObjectKind::Link, name.as_str(), problem));
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
    // Requests travel from the source's region, answers travel back.
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

/// The share of the service's traffic that a zone carries, by its slots, in thousandths.
fn source_share(
    state: &ConfigState,
    service: &ids::ServiceId,
    zone: &ids::AvailabilityZoneId,
) -> u64 {
    let total = u64::from(total_slots(state, service).get());
    let own = u64::from(state.slots_of(service, zone).get());
    (own * WHOLE_PERMILLE).checked_div(total).unwrap_or(0)
}

fn about(kind: ObjectKind, name: &str, problem: Problem) -> Option<Problem> {
    let object = ObjectId::new(kind, name.parse().ok()?);
    Some(problem.of(&object))
}
