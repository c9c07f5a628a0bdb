//! Who may take over a backend server, where not all instances of the zone know the same.

mod common;

use common::{World, id, ms, server, trace};
use damaskvane_membership::ownership;
use damaskvane_slots::exchange::OwnerPhase;

/// The only server of the zone: whoever owns it, requests at all instances run on its slots.
const ONE_SERVER: [u32; 1] = [3];

/// Guards against two owners after a replacement of which an instance without the platform never heard.
#[test]
fn a_replacement_unknown_to_one_instance_does_not_overfill_a_server() {
    for names in [
        ["a-1", "a-2"],
        ["a-2", "a-1"],
        ["a-3", "a-1"],
        ["a-4", "a-2"],
    ] {
        for newcomer in ["b-1", "b-2", "b-3", "b-4"] {
            let mut world = World::busy(&names, &[3, 3, 3]);
            let [stopped, unaware] = names.map(id);
            world.without_platform.insert(unaware);
            world.start(&id(newcomer));
            world.run(3_000);
            world.leave(&stopped);
            world.run(20_000);
        }
    }
}

/// Guards against two owners where the old one dies after a handover of which one instance never heard.
#[test]
fn a_death_after_a_handover_does_not_let_an_unaware_instance_lend() {
    for newcomer in ["b-1", "b-2", "b-3", "b-4"] {
        let mut world = World::busy(&["a-1", "a-2"], &[3, 3, 3]);
        world.without_platform.insert(id("a-2"));
        world.start(&id(newcomer));
        world.run(3_000);
        world.kill(&id("a-1"));
        world.run(20_000);
    }
}

/// Guards against callers of a newcomer that are refused as long as one instance does not know of it.
#[test]
fn a_newcomer_that_may_not_claim_yet_borrows() {
    let newcomers = (1..30).map(|number| id(&format!("b-{number}")));
    let named = newcomers.filter(|newcomer| {
        let zone = [id("a-1"), id("a-2"), newcomer.clone()];
        ownership::owner(server(0).as_str(), &zone).as_ref() == Some(newcomer)
    });
    let mut runs = 0;
    for newcomer in named {
        let mut world = World::busy(&["a-1", "a-2"], &ONE_SERVER);
        let owner = world.owner(0).expect("an owner");
        let unaware = if owner == id("a-1") { "a-2" } else { "a-1" };
        world.without_platform.insert(id(unaware));
        world.start(&newcomer);
        world.run(5_000);
        assert_eq!(world.owner(0), Some(owner), "beside {newcomer}");
        let acquired = world.instances[&newcomer].slots.counters().acquired;
        assert!(acquired > 0, "{newcomer} borrowed nothing");
        runs += 1;
    }
    assert!(runs > 0);
}

/// Guards against a newcomer that owns nothing for good once the platform is back for all.
#[test]
fn a_newcomer_claims_once_all_know_of_it() {
    let mut owned = 0;
    for newcomer in ["b-1", "b-2", "b-3", "b-4"] {
        let mut world = World::busy(&["a-1", "a-2"], &[3, 3, 3]);
        world.without_platform.insert(id("a-2"));
        world.start(&id(newcomer));
        world.run(3_000);
        world.without_platform.clear();
        world.run(5_000);
        owned += (0..3)
            .filter(|number| world.owner(*number) == Some(id(newcomer)))
            .count();
        assert!((0..3).all(|number| world.owner(number).is_some()));
    }
    assert!(owned > 0);
}

/// Guards against a fenced owner that seems alone, and goes on, when the one that fenced it dies soon after.
#[test]
fn the_death_of_a_neighbour_soon_after_its_fence_revives_no_owner() {
    for death_after_ms in (1_000..4_000).step_by(100) {
        let mut world = World::busy(&["a-1", "a-2"], &ONE_SERVER);
        let owner = world.owner(0).expect("an owner");
        let neighbour = if owner == id("a-1") {
            id("a-2")
        } else {
            id("a-1")
        };
        world.cuts.insert((owner.clone(), neighbour.clone()));
        world.without_platform.insert(owner);
        world.run(death_after_ms);
        world.start(&id("a-3"));
        world.kill(&neighbour);
        world.cuts.clear();
        world.run(15_000);
    }
}

/// Guards against a takeover from one that goes on as the last of a zone that is cut off from the platform.
#[test]
fn a_platform_that_returns_to_half_a_zone_leaves_one_owner() {
    for cut_after_ms in [600, 2_000, 6_000] {
        for back_after_ms in [500, 2_000, 5_000, 9_000] {
            let mut world = World::busy(&["a-1", "a-2"], &[3, 3, 3]);
            let (back, alone) = (id("a-1"), id("a-2"));
            world.without_platform.extend([back.clone(), alone.clone()]);
            world.run(cut_after_ms);
            world.cut(&back, &alone);
            world.run(back_after_ms);
            world.without_platform.remove(&back);
            world.run(40_000);
            assert!((0..3).all(|number| world.phase("a-1", number) == OwnerPhase::Serving));
        }
    }
}

/// Guards against the same by a newcomer, which knows only the mark.
#[test]
fn a_mark_tells_a_newcomer_of_one_that_goes_on_alone() {
    for replaced_after_ms in [0, 1_000, 4_000] {
        let mut world = World::busy(&["a-1", "a-2"], &ONE_SERVER);
        let alone = world.owner(0).expect("an owner");
        let back = if alone == id("a-1") {
            id("a-2")
        } else {
            id("a-1")
        };
        world.without_platform.extend([back.clone(), alone.clone()]);
        world.run(4_000);
        world.cut(&back, &alone);
        world.cut(&id("a-3"), &alone);
        world.run(3_000);
        world.without_platform.remove(&back);
        let is_mark =
            |happening: &trace::Happening| matches!(happening, trace::Happening::Fenced { .. });
        while world.trace.count(is_mark) == 0 {
            world.run(100);
        }
        world.run(replaced_after_ms);
        world.kill(&back);
        world.start(&id("a-3"));
        world.run(40_000);
        assert_eq!(world.phase("a-3", 0), OwnerPhase::Serving);
    }
}

/// Guards against a fenced instance that takes over what its fencer has handed to a newcomer.
#[test]
fn one_that_was_left_alone_takes_nothing_over_from_who_may_have_fenced_it() {
    for stop_after_ms in [500, 1_500, 3_000, 5_000] {
        for newcomer in ["b-1", "b-2", "b-3", "b-4"] {
            let mut world = World::busy(&["a-1", "a-2"], &[3, 3, 3]);
            let (back, alone) = (id("a-1"), id("a-2"));
            world.without_platform.extend([back.clone(), alone.clone()]);
            world.run(3_000);
            world.cut(&back, &alone);
            world.run(2_000);
            world.without_platform.remove(&back);
            world.run(1_000);
            world.start(&id(newcomer));
            world.run(stop_after_ms);
            world.leave(&back);
            world.cuts.clear();
            world.run(15_000);
        }
    }
}

/// Guards against an instance that wakes up and lends before it has read a list or noticed its pause.
#[test]
fn one_that_was_alone_lends_nothing_when_it_wakes_up_beside_its_successor() {
    for pause_ms in (14_000..14_500).step_by(10).chain([20_010]) {
        let mut world = World::busy(&["a-1"], &ONE_SERVER);
        world.pause(&id("a-1"), ms(pause_ms));
        world.cut(&id("a-1"), &id("a-2"));
        world.start(&id("a-2"));
        world.run(pause_ms - 1_000);
        assert_eq!(world.phase("a-2", 0), OwnerPhase::Serving);
        world.run(5_000);
    }
}

/// Guards against a newcomer whose list lacks an owner, since the platform lost its entry.
#[test]
fn a_newcomer_hears_of_an_owner_whose_entry_was_lost() {
    let mut served = 0;
    for newcomer in (1..9).map(|number| id(&format!("b-{number}"))) {
        let mut world = World::busy(&["a-1", "a-2"], &[3, 3, 3]);
        world.without_platform.insert(id("a-2"));
        world.list.remove(&id("a-2"));
        world.start(&newcomer);
        world.run(15_000);
        served += (0..3)
            .filter(|number| world.owner(*number) == Some(newcomer.clone()))
            .count();
    }
    assert!(served > 0);
}
