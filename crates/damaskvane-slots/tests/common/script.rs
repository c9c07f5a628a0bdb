//! Steps of scripted histories: waits for states of the simulated zone, and its instances by rank.

use damaskvane_core::ids;
use damaskvane_membership::ownership;
use damaskvane_slots::exchange;

use super::{STEP_MS, SimulatedZone, id, server, trace};

/// Returns the instances in an order in which each owns the first server if those before it do not run.
pub(crate) fn ranked<const COUNT: usize>(names: [&str; COUNT]) -> [ids::InstanceId; COUNT] {
    let ranking = ownership::ranking(server(0).as_str(), &names.map(id));
    ranking.try_into().expect("as many as before")
}

/// Runs the zone until `is_reached`, and panics if that takes longer than `max_ms`.
pub(crate) fn run_until(
    zone: &mut SimulatedZone,
    max_ms: u64,
    is_reached: impl Fn(&SimulatedZone) -> bool,
) {
    for _ in 0..max_ms / STEP_MS {
        if is_reached(zone) {
            return;
        }
        zone.step();
    }
    assert!(is_reached(zone), "{}", zone.describe(&server(0)));
}

/// Returns the phase of an instance in the ownership of the first server; `None` if the instance does not run.
pub(crate) fn phase(zone: &SimulatedZone, name: &ids::InstanceId) -> Option<exchange::OwnerPhase> {
    let is_running = zone.instances.contains_key(name);
    is_running.then(|| zone.phase(name.as_str(), 0))
}

/// Returns whether an instance runs and has found itself on the platform's list.
pub(crate) fn is_listed(zone: &SimulatedZone, name: &ids::InstanceId) -> bool {
    let instance = zone.instances.get(name);
    instance.is_some_and(|instance| instance.membership.roster().is_listed)
}

/// Returns whether an instance has received a heartbeat of another one.
pub(crate) fn has_heard(
    zone: &SimulatedZone,
    name: &ids::InstanceId,
    of: &ids::InstanceId,
) -> bool {
    zone.instances.get(name).is_some_and(|instance| {
        let mut others = instance.membership.instances();
        others.any(|other| other.record.instance == *of && other.heartbeat_age.is_some())
    })
}

/// Panics with the history of the zone if a server ran more requests than its slots.
pub(crate) fn assert_no_excess(zone: &SimulatedZone, history: &str) {
    if let Some(excess) = &zone.excess {
        panic!("{history}\n{excess}");
    }
}

/// Returns the number of fence records that were written.
pub(crate) fn fences(zone: &SimulatedZone) -> usize {
    let is_fence = |event: &trace::TraceEvent| matches!(event, trace::TraceEvent::Fenced { .. });
    zone.trace.count(is_fence)
}
