//! One failure each, in a zone whose requests run for as long as their deadlines allow. After every step
//! the backend servers themselves check that no more runs than they have slots.

mod common;

use common::{World, id, ms};
use damaskvane_core::ids;
use damaskvane_slots::exchange::OwnerPhase;

/// Time for an orderly change of owner.
const SOON_MS: u64 = 1_000;

fn other(world: &World, than: &ids::InstanceId) -> ids::InstanceId {
    let mut others = world.instances.keys().filter(|name| *name != than);
    others.next().cloned().expect("another instance")
}

/// An owner dies while requests of its own, and of others under its leases, still run. If its successor
/// lent the slots at once, the backend server would get twice its work.
#[test]
fn the_successor_of_a_dead_owner_waits_until_all_leases_have_lapsed() {
    let mut world = World::busy(&["a-1", "a-2", "a-3"], &[4, 2, 2]);
    let owner = world.owner(0).unwrap();
    world.kill(&owner);
    world.run(1_500);
    let waiting = world
        .instances
        .keys()
        .any(|name| world.phase(name.as_str(), 0) == OwnerPhase::Waiting);
    assert!(waiting);
    world.run(6_000);
    assert!(world.owner(0).is_some());
}

/// While the successor waits, instances that had borrowed go on with their leases; clients see no gap.
#[test]
fn survivors_keep_their_leases_while_the_successor_waits() {
    let mut world = World::busy(&["a-1", "a-2", "a-3"], &[6]);
    world.is_greedy = false;
    world.run(SOON_MS);
    let owner = world.owner(0).unwrap();
    world.kill(&owner);
    while world.owner(0).is_none() {
        let before = world.started;
        world.run(SOON_MS / 2);
        assert!(world.started > before, "nothing ran at {:?}", world.now);
    }
}

/// An instance is stopped for a planned change. It hands its ledger over, and nobody waits.
#[test]
fn a_planned_stop_hands_over_without_a_wait() {
    let mut world = World::busy(&["a-1", "a-2"], &[4, 2]);
    let owner = world.owner(0).unwrap();
    let successor = other(&world, &owner);
    world.leave(&owner);
    world.run(SOON_MS);
    assert_eq!(world.owner(0), Some(successor.clone()));
    let counters = world.instances[&successor].slots.counters().clone();
    assert!(counters.handed_over > 0);
    world.run(4_000);
    assert!(!world.instances.contains_key(&owner), "it never drained");
}

/// An owner is cut off from its neighbours and from the platform, but reaches the backend servers. It
/// goes on for a while, then stops by itself; only after that may its successor begin.
#[test]
fn an_owner_that_is_cut_off_stops_before_its_successor_begins() {
    let mut world = World::busy(&["a-1", "a-2", "a-3"], &[4]);
    let owner = world.owner(0).unwrap();
    for name in ["a-1", "a-2", "a-3"] {
        world.cuts.insert((owner.clone(), id(name)));
        world.cuts.insert((id(name), owner.clone()));
    }
    world.without_platform.insert(owner.clone());
    world.run(12_000);
    let serving = world
        .instances
        .keys()
        .filter(|name| **name != owner)
        .any(|name| world.phase(name.as_str(), 0) == OwnerPhase::Serving);
    assert!(serving);
    let before = world.started;
    world.run(2_000);
    assert!(world.started > before);
    world.cuts.clear();
    world.without_platform.clear();
    world.run(10_000);
    assert!(world.owner(0).is_some());
}

/// A process is paused past its leases, with requests running, and goes on as if nothing had happened.
/// It must not use what it held, nor lend what it owned.
#[test]
fn a_process_that_was_paused_past_its_leases_uses_none() {
    for pause_ms in [500, 1_400, 1_600, 3_000, 9_000, 20_000] {
        let mut world = World::busy(&["a-1", "a-2", "a-3"], &[4, 2, 2]);
        let owner = world.owner(0).unwrap();
        let until = world.now + ms(pause_ms);
        world.instances.get_mut(&owner).unwrap().paused_until = until;
        world.run(pause_ms + 12_000);
        assert!(world.owner(0).is_some(), "after {pause_ms} ms");
    }
}

/// Two instances disagree on who owns a backend server, as one of them is not heard by the other. The one
/// that is to be owner by its own view gets no consent, so the present owner goes on alone.
#[test]
fn without_consent_nobody_takes_over() {
    let mut world = World::busy(&["a-1", "a-2"], &[3, 3, 3, 3]);
    let owners: Vec<_> = (0..4).map(|number| world.owner(number)).collect();
    world.without_platform.extend([id("a-1"), id("a-2")]);
    world.cuts.insert((id("a-1"), id("a-2")));
    world.run(10_000);
    let now: Vec<_> = (0..4).map(|number| world.owner(number)).collect();
    assert_eq!(now, owners);
}

/// The zone is cut off from the platform for long, and one of its processes dies meanwhile. The other
/// takes over on the proof of a refused connection.
#[test]
fn a_zone_without_the_platform_survives_a_death() {
    let mut world = World::busy(&["a-1", "a-2"], &[3, 3]);
    world.without_platform.extend([id("a-1"), id("a-2")]);
    world.run(60_000);
    let owner = world.owner(0).unwrap();
    let successor = other(&world, &owner);
    world.kill(&owner);
    world.run(8_000);
    assert_eq!(world.owner(0), Some(successor));
}

/// All instances of a zone are replaced, one after the other, under load. Nothing waits for a dead one.
#[test]
fn all_instances_of_a_zone_are_replaced() {
    let mut world = World::busy(&["a-1", "a-2"], &[3, 3]);
    for (old, new) in [("a-1", "b-1"), ("a-2", "b-2")] {
        world.start(&id(new));
        world.run(3_000);
        world.leave(&id(old));
        world.run(6_000);
        assert!(!world.instances.contains_key(&id(old)));
    }
    for number in 0..2 {
        let owner = world.owner(number).expect("an owner");
        assert!(owner.as_str().starts_with('b'));
    }
}

/// All instances of a zone are lost at once, and new ones start. What the lost ones had running goes on at
/// the backend servers until its deadlines; the new ones know nothing of it.
#[test]
fn all_instances_of_a_zone_are_lost_at_once() {
    let mut world = World::busy(&["a-1", "a-2"], &[3, 3]);
    for name in ["a-1", "a-2"] {
        world.kill(&id(name));
    }
    for name in ["b-1", "b-2"] {
        world.start(&id(name));
    }
    world.run(12_000);
    assert!(world.owner(0).is_some() && world.owner(1).is_some());
}

/// One instance with steady load could keep all slots for itself by renewing. Requests at the others
/// would then be refused for ever beside a backend server that works.
#[test]
fn nobody_is_starved_under_full_load() {
    let mut world = World::busy(&["a-1", "a-2", "a-3"], &[1, 3]);
    let before: Vec<u64> = acquired(&world);
    world.run(30_000);
    for (before, after) in before.iter().zip(acquired(&world)) {
        assert!(after > before + 3, "{before} then {after} grants");
    }
}

fn acquired(world: &World) -> Vec<u64> {
    let counters = world.instances.values();
    counters
        .map(|instance| instance.slots.counters().acquired)
        .collect()
}

/// Guards against renewals that carry an old number of slots on after operators have lowered it.
#[test]
fn lowered_slots_hold_after_one_lease() {
    for (names, demand_percent) in [
        (&["a-1"][..], 100),
        (&["a-1", "a-2"], 100),
        (&["a-1", "a-2", "a-3"], 30),
        (&["a-1", "a-2"], 12),
    ] {
        for is_greedy in [false, true] {
            let mut world = World::new(1, names, &[6, 6, 6]);
            world.demand_percent = demand_percent;
            world.is_greedy = is_greedy;
            world.run(8_000);
            world.set_slots(3);
            world.run(5_000);
        }
    }
}
