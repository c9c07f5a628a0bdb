//! Which instance may become the owner of a backend server while the zone's instances know different instances.
//!
//! The owner grants the server's slots, which are rights to run one request on the server. To fence an instance is
//! to revoke its right to own servers, by a fence record on the platform's list of instances.

mod common;

use common::{SimulatedZone, id, ms, server, trace};
use damaskvane_membership::ownership;
use damaskvane_slots::exchange::OwnerPhase;

/// Number of slots of each server of a zone with one server. Requests at all instances use its slots, whichever
/// instance is the owner.
const ONE_SERVER: [u32; 1] = [3];

/// Guards against two owners after an instance was replaced, and another instance, which can't reach the platform,
/// does not know the replacement.
#[test]
fn a_replacement_unknown_to_one_instance_does_not_overload_a_server() {
    for names in [
        ["a-1", "a-2"],
        ["a-2", "a-1"],
        ["a-3", "a-1"],
        ["a-4", "a-2"],
    ] {
        for new_instance in ["b-1", "b-2", "b-3", "b-4"] {
            let mut zone = SimulatedZone::under_full_load(&names, &[3, 3, 3]);
            let [stopped, unaware] = names.map(id);
            zone.without_platform.insert(unaware);
            zone.start(&id(new_instance));
            zone.run(3_000);
            zone.leave(&stopped);
            zone.run(20_000);
        }
    }
}

/// Guards against two owners after the old owner handed its ownership to a new instance and died, while another
/// instance does not know the new one.
#[test]
fn a_death_after_a_handover_does_not_let_an_unaware_instance_grant_slots() {
    for new_instance in ["b-1", "b-2", "b-3", "b-4"] {
        let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &[3, 3, 3]);
        zone.without_platform.insert(id("a-2"));
        zone.start(&id(new_instance));
        zone.run(3_000);
        zone.kill(&id("a-1"));
        zone.run(20_000);
    }
}

/// Guards against a new instance that refuses clients' requests as long as another instance does not know it.
#[test]
fn a_new_instance_that_may_not_claim_yet_acquires_slots() {
    let new_instances = (1..30).map(|number| id(&format!("b-{number}")));
    let named = new_instances.filter(|new_instance| {
        let zone = [id("a-1"), id("a-2"), new_instance.clone()];
        ownership::owner(server(0).as_str(), &zone).as_ref() == Some(new_instance)
    });
    let mut runs = 0;
    for new_instance in named {
        let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &ONE_SERVER);
        let owner = zone.owner(0).expect("an owner");
        let unaware = if owner == id("a-1") { "a-2" } else { "a-1" };
        zone.without_platform.insert(id(unaware));
        zone.start(&new_instance);
        zone.run(5_000);
        assert_eq!(zone.owner(0), Some(owner), "beside {new_instance}");
        let acquired = zone.instances[&new_instance].slots.counters().acquired;
        assert!(acquired > 0, "{new_instance} acquired nothing");
        runs += 1;
    }
    assert!(runs > 0);
}

/// Guards against a new instance that never owns a server, even after all instances reach the platform again.
#[test]
fn a_new_instance_claims_once_all_instances_know_it() {
    let mut owned = 0;
    for new_instance in ["b-1", "b-2", "b-3", "b-4"] {
        let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &[3, 3, 3]);
        zone.without_platform.insert(id("a-2"));
        zone.start(&id(new_instance));
        zone.run(3_000);
        zone.without_platform.clear();
        zone.run(5_000);
        owned += (0..3)
            .filter(|number| zone.owner(*number) == Some(id(new_instance)))
            .count();
        assert!((0..3).all(|number| zone.owner(number).is_some()));
    }
    assert!(owned > 0);
}

/// Guards against a fenced owner that continues to grant slots, because it knows no other live instance after the
/// instance that fenced it died.
#[test]
fn the_death_of_the_fencing_neighbour_restores_no_owner() {
    for death_after_ms in (1_000..4_000).step_by(100) {
        let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &ONE_SERVER);
        let owner = zone.owner(0).expect("an owner");
        let neighbour = if owner == id("a-1") {
            id("a-2")
        } else {
            id("a-1")
        };
        zone.cuts.insert((owner.clone(), neighbour.clone()));
        zone.without_platform.insert(owner);
        zone.run(death_after_ms);
        zone.start(&id("a-3"));
        zone.kill(&neighbour);
        zone.cuts.clear();
        zone.run(15_000);
    }
}

/// Guards against a second owner beside an instance that continues as the last one of a zone without the platform,
/// when the other instance of the zone reaches the platform again.
#[test]
fn a_platform_regained_by_half_a_zone_leaves_one_owner() {
    for cut_after_ms in [600, 2_000, 6_000] {
        for reconnected_after_ms in [500, 2_000, 5_000, 9_000] {
            let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &[3, 3, 3]);
            let (reconnected, isolated) = (id("a-1"), id("a-2"));
            zone.without_platform
                .extend([reconnected.clone(), isolated.clone()]);
            zone.run(cut_after_ms);
            zone.cut(&reconnected, &isolated);
            zone.run(reconnected_after_ms);
            zone.without_platform.remove(&reconnected);
            zone.run(40_000);
            assert!((0..3).all(|number| zone.phase("a-1", number) == OwnerPhase::Serving));
        }
    }
}

/// Guards against a new instance that becomes a second owner beside an owner that continues without other instances.
/// The new instance knows of that owner only by the owner's fence record.
#[test]
fn a_fence_record_makes_a_new_instance_wait_for_an_isolated_owner() {
    for replaced_after_ms in [0, 1_000, 4_000] {
        let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &ONE_SERVER);
        let isolated = zone.owner(0).expect("an owner");
        let reconnected = if isolated == id("a-1") {
            id("a-2")
        } else {
            id("a-1")
        };
        zone.without_platform
            .extend([reconnected.clone(), isolated.clone()]);
        zone.run(4_000);
        zone.cut(&reconnected, &isolated);
        zone.cut(&id("a-3"), &isolated);
        zone.run(3_000);
        zone.without_platform.remove(&reconnected);
        let is_fence =
            |event: &trace::TraceEvent| matches!(event, trace::TraceEvent::Fenced { .. });
        while zone.trace.count(is_fence) == 0 {
            zone.run(100);
        }
        zone.run(replaced_after_ms);
        zone.kill(&reconnected);
        zone.start(&id("a-3"));
        zone.run(40_000);
        assert_eq!(zone.phase("a-3", 0), OwnerPhase::Serving);
    }
}

/// Guards against a fenced instance that becomes the owner of servers which the instance that fenced it has handed
/// to a new instance.
#[test]
fn an_isolated_instance_takes_nothing_over_from_a_possible_fencer() {
    for stop_after_ms in [500, 1_500, 3_000, 5_000] {
        for new_instance in ["b-1", "b-2", "b-3", "b-4"] {
            let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &[3, 3, 3]);
            let (reconnected, isolated) = (id("a-1"), id("a-2"));
            zone.without_platform
                .extend([reconnected.clone(), isolated.clone()]);
            zone.run(3_000);
            zone.cut(&reconnected, &isolated);
            zone.run(2_000);
            zone.without_platform.remove(&reconnected);
            zone.run(1_000);
            zone.start(&id(new_instance));
            zone.run(stop_after_ms);
            zone.leave(&reconnected);
            zone.cuts.clear();
            zone.run(15_000);
        }
    }
}

/// Guards against a paused instance that resumes and grants slots before it has read a list or detected its pause.
#[test]
fn a_resumed_single_instance_grants_nothing_beside_its_successor() {
    for pause_ms in (14_000..14_500).step_by(10).chain([20_010]) {
        let mut zone = SimulatedZone::under_full_load(&["a-1"], &ONE_SERVER);
        zone.pause(&id("a-1"), ms(pause_ms));
        zone.cut(&id("a-1"), &id("a-2"));
        zone.start(&id("a-2"));
        zone.run(pause_ms - 1_000);
        assert_eq!(zone.phase("a-2", 0), OwnerPhase::Serving);
        zone.run(5_000);
    }
}

/// Guards against two owners when a new instance starts and the platform has lost the entry of an owner, so that the
/// list does not name that owner.
#[test]
fn a_new_instance_discovers_an_owner_missing_from_the_list() {
    let mut served = 0;
    for new_instance in (1..9).map(|number| id(&format!("b-{number}"))) {
        let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &[3, 3, 3]);
        zone.without_platform.insert(id("a-2"));
        zone.list.remove(&id("a-2"));
        zone.start(&new_instance);
        zone.run(15_000);
        served += (0..3)
            .filter(|number| zone.owner(*number) == Some(new_instance.clone()))
            .count();
    }
    assert!(served > 0);
}
