//! One failure for each test, in a zone whose requests run until their deadlines. After every step the
//! simulation checks that no backend server runs more requests than it has slots.
//!
//! A slot is the right to run one request on a backend server; the server's owner, one of the zone's instances,
//! grants slots to instances for the time of a lease.

mod common;

use common::{SimulatedZone, id, ms};
use damaskvane_core::ids;
use damaskvane_slots::exchange::OwnerPhase;

/// Time in which another instance has become the owner after a planned stop of the previous owner.
const SOON_MS: u64 = 1_000;

fn other(zone: &SimulatedZone, excluded: &ids::InstanceId) -> ids::InstanceId {
    let mut others = zone.instances.keys().filter(|name| *name != excluded);
    others.next().cloned().expect("another instance")
}

/// Guards against a new owner that grants a server's slots at once after the previous owner died. Requests of the
/// dead owner, and requests of other instances under its grants, still run, so the backend server would get twice
/// the requests that it has slots for.
#[test]
fn the_successor_of_a_dead_owner_waits_until_all_leases_have_expired() {
    let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2", "a-3"], &[4, 2, 2]);
    let owner = zone.owner(0).unwrap();
    zone.kill(&owner);
    zone.run(1_500);
    let waiting = zone
        .instances
        .keys()
        .any(|name| zone.phase(name.as_str(), 0) == OwnerPhase::Waiting);
    assert!(waiting);
    zone.run(6_000);
    assert!(zone.owner(0).is_some());
}

/// Guards against refused requests of clients while the new owner of a server waits for the dead owner's grants to
/// expire: the other instances still use the slots that the dead owner granted to them.
#[test]
fn survivors_keep_their_leases_while_the_successor_waits() {
    let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2", "a-3"], &[6]);
    zone.uses_full_deadline = false;
    zone.run(SOON_MS);
    let owner = zone.owner(0).unwrap();
    zone.kill(&owner);
    while zone.owner(0).is_none() {
        let before = zone.started;
        zone.run(SOON_MS / 2);
        assert!(zone.started > before, "nothing ran at {:?}", zone.now);
    }
}

/// Guards against a planned stop of an owner after which the new owner waits for grants to expire. The wait is not
/// needed, because the stopping owner hands over its ledger, the list of its grants.
#[test]
fn a_planned_stop_hands_over_without_a_wait() {
    let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &[4, 2]);
    let owner = zone.owner(0).unwrap();
    let successor = other(&zone, &owner);
    zone.leave(&owner);
    zone.run(SOON_MS);
    assert_eq!(zone.owner(0), Some(successor.clone()));
    let counters = zone.instances[&successor].slots.counters().clone();
    assert!(counters.handed_over > 0);
    zone.run(4_000);
    assert!(!zone.instances.contains_key(&owner), "it never drained");
}

/// Guards against two owners after an owner was cut off from its neighbours and the platform, but not from the
/// backend servers. The owner continues to grant slots for a bounded time; only then may a new owner grant slots.
#[test]
fn an_owner_that_is_cut_off_stops_before_its_successor_begins() {
    let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2", "a-3"], &[4]);
    let owner = zone.owner(0).unwrap();
    for name in ["a-1", "a-2", "a-3"] {
        zone.cuts.insert((owner.clone(), id(name)));
        zone.cuts.insert((id(name), owner.clone()));
    }
    zone.without_platform.insert(owner.clone());
    zone.run(12_000);
    let serving = zone
        .instances
        .keys()
        .filter(|name| **name != owner)
        .any(|name| zone.phase(name.as_str(), 0) == OwnerPhase::Serving);
    assert!(serving);
    let before = zone.started;
    zone.run(2_000);
    assert!(zone.started > before);
    zone.cuts.clear();
    zone.without_platform.clear();
    zone.run(10_000);
    assert!(zone.owner(0).is_some());
}

/// Guards against a process that was paused past its leases, with requests running, and then still uses the
/// slots that it held or grants the slots that it owned.
#[test]
fn a_process_that_was_paused_past_its_leases_uses_none() {
    for pause_ms in [500, 1_400, 1_600, 3_000, 9_000, 20_000] {
        let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2", "a-3"], &[4, 2, 2]);
        let owner = zone.owner(0).unwrap();
        let until = zone.now + ms(pause_ms);
        zone.instances.get_mut(&owner).unwrap().paused_until = until;
        zone.run(pause_ms + 12_000);
        assert!(zone.owner(0).is_some(), "after {pause_ms} ms");
    }
}

/// Guards against an instance that becomes the owner of a server without the consent of the other instances.
/// Heartbeats of one instance do not reach the other, so the two disagree on the owner. The instance that claims the
/// server gets no consent, and the current owner stays the only owner.
#[test]
fn no_instance_takes_over_without_consent() {
    let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &[3, 3, 3, 3]);
    let owners: Vec<_> = (0..4).map(|number| zone.owner(number)).collect();
    zone.without_platform.extend([id("a-1"), id("a-2")]);
    zone.cuts.insert((id("a-1"), id("a-2")));
    zone.run(10_000);
    let now: Vec<_> = (0..4).map(|number| zone.owner(number)).collect();
    assert_eq!(now, owners);
}

/// Guards against a server without an owner after one of two instances died in a zone that had long been cut off
/// from the platform. A refused connection proves the death, so the other instance becomes the owner.
#[test]
fn a_zone_without_the_platform_replaces_a_dead_owner() {
    let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &[3, 3]);
    zone.without_platform.extend([id("a-1"), id("a-2")]);
    zone.run(60_000);
    let owner = zone.owner(0).unwrap();
    let successor = other(&zone, &owner);
    zone.kill(&owner);
    zone.run(8_000);
    assert_eq!(zone.owner(0), Some(successor));
}

/// Guards against a server that has an old instance or none as its owner after all instances of the zone were
/// replaced one by one under load.
#[test]
fn all_instances_of_a_zone_are_replaced() {
    let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &[3, 3]);
    for (old, new) in [("a-1", "b-1"), ("a-2", "b-2")] {
        zone.start(&id(new));
        zone.run(3_000);
        zone.leave(&id(old));
        zone.run(6_000);
        assert!(!zone.instances.contains_key(&id(old)));
    }
    for number in 0..2 {
        let owner = zone.owner(number).expect("an owner");
        assert!(owner.as_str().starts_with('b'));
    }
}

/// Guards against new instances that grant slots which are still in use after all instances of a zone died at once.
/// Requests of the dead instances run on the backend servers until their deadlines, and the new instances have no
/// record of these requests.
#[test]
fn all_instances_of_a_zone_are_lost_at_once() {
    let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &[3, 3]);
    for name in ["a-1", "a-2"] {
        zone.kill(&id(name));
    }
    for name in ["b-1", "b-2"] {
        zone.start(&id(name));
    }
    zone.run(12_000);
    assert!(zone.owner(0).is_some() && zone.owner(1).is_some());
}

/// Guards against an instance with steady load that keeps all slots by renewing its leases. Requests at the
/// other instances would then be refused for ever although the backend server is healthy.
#[test]
fn no_instance_is_starved_under_full_load() {
    let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2", "a-3"], &[1, 3]);
    let before: Vec<u64> = acquired(&zone);
    zone.run(30_000);
    for (before, after) in before.iter().zip(acquired(&zone)) {
        assert!(after > before + 3, "{before} then {after} grants");
    }
}

fn acquired(zone: &SimulatedZone) -> Vec<u64> {
    let counters = zone.instances.values();
    counters
        .map(|instance| instance.slots.counters().acquired)
        .collect()
}

/// Guards against holders that keep their slots by renewals after operators lowered the server's number of slots.
#[test]
fn lowered_slots_apply_after_one_lease() {
    for (names, demand_percent) in [
        (&["a-1"][..], 100),
        (&["a-1", "a-2"], 100),
        (&["a-1", "a-2", "a-3"], 30),
        (&["a-1", "a-2"], 12),
    ] {
        for uses_full_deadline in [false, true] {
            let mut zone = SimulatedZone::new(1, names, &[6, 6, 6]);
            zone.demand_percent = demand_percent;
            zone.uses_full_deadline = uses_full_deadline;
            zone.run(8_000);
            zone.set_slots(3);
            zone.run(5_000);
        }
    }
}
