//! Scripted histories in which no instance of a zone grants slots although an instance runs, with their lengths.
//!
//! The owner of a server grants its slots, which are rights to run one request on it. To fence an instance is to
//! revoke its right to own servers, by a fence record on the platform's list of instances. Run with `--nocapture`
//! to print the lengths.

mod common;

use common::faults::FenceDelay;
use common::{SimulatedZone, id, outage, script};
use damaskvane_core::ids;
use damaskvane_slots::exchange::OwnerPhase;

const ONE_SERVER: [u32; 1] = [3];

/// Returns a zone of two that serves, with its owner and the other instance.
fn pair() -> (SimulatedZone, ids::InstanceId, ids::InstanceId) {
    let [owner, other] = script::ranked(["a-1", "a-2"]);
    let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &ONE_SERVER);
    zone.tolerates_excess = true;
    assert_eq!(zone.owner(0).as_ref(), Some(&owner));
    (zone, owner, other)
}

/// Returns a name to which the hash assigns the server beside the given instances, or one to which it does not.
fn newcomer(others: [&ids::InstanceId; 2], is_assigned: bool) -> ids::InstanceId {
    let names = (1..30).map(|number| id(&format!("b-{number}")));
    let names: Vec<ids::InstanceId> = names.collect();
    let found = names.into_iter().find(|name| {
        let all = [others[0].as_str(), others[1].as_str(), name.as_str()];
        let [first, _, last] = script::ranked(all);
        if is_assigned {
            first == *name
        } else {
            last == *name
        }
    });
    found.expect("a name")
}

/// Guards against instances of a new zone that claim no server because one of them never read a list.
#[test]
fn one_unreachable_newcomer_at_the_first_start() {
    for lost_after_ms in [0, 30, 400, 1_000] {
        let mut zone = SimulatedZone::new(1, &["a-1", "a-2", "a-3"], &ONE_SERVER);
        zone.tolerates_excess = true;
        zone.run(lost_after_ms);
        zone.without_platform.insert(id("a-3"));
        outage::report(
            &mut zone,
            30_000,
            &format!("1a first start, a-3 loses the platform after {lost_after_ms}"),
        );
    }
}

/// Guards against a server without an owner after the owner died beside a newcomer that never read a list.
#[test]
fn an_owner_dies_beside_an_unreachable_newcomer() {
    for is_assigned in [true, false] {
        let (mut zone, owner, other) = pair();
        let third = newcomer([&owner, &other], is_assigned);
        zone.start(&third);
        zone.without_platform.insert(third.clone());
        zone.run(3_000);
        zone.kill(&owner);
        outage::report(
            &mut zone,
            30_000,
            &format!("1b the owner dies, newcomer assigned {is_assigned}"),
        );
        zone.kill(&other);
        outage::report(&mut zone, 20_000, "2  the newcomer is alone");
        zone.without_platform.clear();
        outage::report(&mut zone, 15_000, "2  the newcomer reaches the platform");
    }
}

/// Guards against a successor that waits for a fenced owner although the owner's process has ended or restarted.
#[test]
fn a_fenced_owner_has_ended() {
    for restarts in [None, Some(300), Some(2_000), Some(4_000)] {
        for is_healed in [true, false] {
            let (mut zone, owner, other) = pair();
            zone.cut(&owner, &other);
            zone.kill(&owner);
            let waited = outage::run(&mut zone, 1_800);
            assert_eq!(script::fences(&zone), 1);
            if is_healed {
                zone.cuts.clear();
            }
            let waited_ms: u64 = waited.iter().map(outage::Outage::length_ms).sum();
            println!("3  {waited_ms} ms without grants until after the fence");
            if let Some(restart_ms) = restarts {
                outage::report(&mut zone, restart_ms, "3  before the restart");
                zone.start(&owner);
            }
            outage::report(
                &mut zone,
                12_000,
                &format!("3  fenced, restarts {restarts:?}, healed {is_healed}"),
            );
        }
    }
}

/// Guards against two instances that are cut off from each other and fence each other in turn.
#[test]
fn a_lasting_cut_between_two_instances() {
    for fault in ["both ways", "to the other", "to the owner"] {
        let (mut zone, owner, other) = pair();
        if fault != "to the owner" {
            zone.cuts.insert((owner.clone(), other.clone()));
        }
        if fault != "to the other" {
            zone.cuts.insert((other.clone(), owner.clone()));
        }
        outage::report(&mut zone, 60_000, &format!("4  lasting cut {fault}"));
        println!("   {} fences", script::fences(&zone));
    }
}

/// Guards against instances that fence each other in turn although a third one reaches both.
#[test]
fn a_lasting_cut_between_two_of_three_instances() {
    let [first, second, third] = script::ranked(["a-1", "a-2", "a-3"]);
    for (a, b) in [(&first, &second), (&first, &third), (&second, &third)] {
        let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2", "a-3"], &ONE_SERVER);
        zone.tolerates_excess = true;
        zone.cut(a, b);
        outage::report(&mut zone, 60_000, &format!("4  lasting cut {a} {b} of 3"));
        println!("   {} fences", script::fences(&zone));
    }
}

/// Guards against a zone without grants after its last listed instance ended beside one that learned its list from
/// that instance, since the platform can't be reached.
#[test]
fn a_newcomer_with_a_neighbours_list_is_alone() {
    let (mut zone, owner, other) = pair();
    let third = newcomer([&owner, &other], true);
    zone.without_platform
        .extend([owner.clone(), other.clone(), third.clone()]);
    zone.run(2_000);
    zone.faults.seeds.insert(third.clone(), vec![other.clone()]);
    zone.start(&third);
    outage::report(
        &mut zone,
        5_000,
        "2  a newcomer with a neighbour's list beside others",
    );
    zone.kill(&owner);
    outage::report(&mut zone, 10_000, "2  the owner dies");
    zone.kill(&other);
    outage::report(&mut zone, 30_000, "2  the newcomer is alone");
}

/// Guards against a second wait after a claim was restarted, since an instance started during the first wait.
#[test]
fn a_claim_restarts_for_a_new_instance() {
    for start_after_ms in [None, Some(1_000), Some(6_400)] {
        let (mut zone, owner, other) = pair();
        let third = newcomer([&owner, &other], false);
        zone.without_platform.insert(owner.clone());
        zone.cut(&owner, &other);
        script::run_until(&mut zone, 3_000, |zone| {
            script::phase(zone, &other) == Some(OwnerPhase::Waiting)
        });
        if let Some(start_after_ms) = start_after_ms {
            zone.run(start_after_ms);
            zone.start(&third);
        }
        outage::report(
            &mut zone,
            14_000,
            &format!("5  new instance after {start_after_ms:?}"),
        );
    }
}

/// Guards against a long wait at the first start of a zone.
#[test]
fn a_zone_starts() {
    for names in [&["a-1"][..], &["a-1", "a-2"], &["a-1", "a-2", "a-3"]] {
        let mut zone = SimulatedZone::new(1, names, &ONE_SERVER);
        zone.tolerates_excess = true;
        outage::report(
            &mut zone,
            10_000,
            &format!("6  first start of {}", names.len()),
        );
    }
}

/// Guards against a server without an owner after a planned stop of the owner, beside an instance that can't claim.
#[test]
fn an_owner_stops_beside_an_instance_that_cannot_claim() {
    for is_assigned in [true, false] {
        let (mut zone, owner, other) = pair();
        let third = newcomer([&owner, &other], is_assigned);
        zone.start(&third);
        zone.without_platform.insert(third.clone());
        zone.run(3_000);
        zone.leave(&owner);
        outage::report(
            &mut zone,
            20_000,
            &format!("7  planned stop, newcomer assigned {is_assigned}"),
        );
        println!(
            "   {owner} still runs: {}",
            zone.instances.contains_key(&owner)
        );
        zone.kill(&owner);
        outage::report(&mut zone, 20_000, "7  the stop is forced");
    }
}

/// Guards against owners that lose their authority with the platform because one instance was fenced before.
#[test]
fn the_platform_is_lost_after_a_fence() {
    for lost_after_ms in [500, 10_000, 30_000] {
        for away in [20_000, 90_000] {
            let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2", "a-3"], &ONE_SERVER);
            zone.tolerates_excess = true;
            let [first, second, third] = script::ranked(["a-1", "a-2", "a-3"]);
            zone.cut(&third, &first);
            zone.cut(&third, &second);
            zone.kill(&third);
            script::run_until(&mut zone, 4_000, |zone| script::fences(zone) > 0);
            zone.run(lost_after_ms);
            zone.without_platform.extend([first, second, third]);
            outage::report(
                &mut zone,
                away,
                &format!("8  platform lost {lost_after_ms} after a fence"),
            );
            zone.without_platform.clear();
            outage::report(&mut zone, 5_000, "8  platform regained");
        }
    }
}

/// Guards against a successor that waits for fences before its start although it started long after any.
#[test]
fn an_owner_dies_after_its_successor_started() {
    for age_ms in [700, 1_500, 3_000, 6_000] {
        let [owner, other] = script::ranked(["a-1", "a-2"]);
        let mut zone = SimulatedZone::under_full_load(&[owner.as_str()], &ONE_SERVER);
        zone.tolerates_excess = true;
        zone.start(&other);
        zone.run(age_ms);
        zone.kill(&owner);
        outage::report(
            &mut zone,
            12_000,
            &format!("9  the owner dies {age_ms} after its successor started"),
        );
    }
}

/// Guards against an owner without authority beside an instance that fenced it and does not learn the result.
#[test]
fn a_fence_whose_result_is_unknown() {
    for (name, has_platform) in [("with", true), ("without", false)] {
        let (mut zone, owner, other) = pair();
        let delay = FenceDelay {
            write_ms: 300,
            result_ms: None,
        };
        zone.faults.fence_delays.insert(other.clone(), delay);
        zone.cut(&owner, &other);
        if !has_platform {
            zone.without_platform.insert(owner);
        }
        zone.run(1_700);
        zone.cuts.clear();
        outage::report(
            &mut zone,
            90_000,
            &format!("10 fence of unknown result, the owner {name} the platform"),
        );
    }
}

/// Guards against a slow takeover from an owner whose machine refuses connections.
#[test]
fn an_owner_dies() {
    let (mut zone, owner, _) = pair();
    zone.kill(&owner);
    outage::report(
        &mut zone,
        8_000,
        "11 the owner dies, connections are refused",
    );
}

/// Guards against servers without an owner after an instance took another one, which it knew only from a neighbour's
/// list, for gone before that one reached the platform.
#[test]
fn an_instance_is_taken_for_gone_before_it_is_listed() {
    let [restarted, starter, neighbour] = script::ranked(["a-1", "a-2", "a-3"]);
    let mut zone =
        SimulatedZone::under_full_load(&[restarted.as_str(), neighbour.as_str()], &ONE_SERVER);
    zone.tolerates_excess = true;
    zone.leave(&restarted);
    zone.run(5_000);
    zone.without_platform
        .extend([restarted.clone(), starter.clone()]);
    for name in [&restarted, &starter] {
        zone.faults
            .seeds
            .insert(name.clone(), vec![neighbour.clone()]);
        zone.start(name);
        zone.run(1_000);
    }
    zone.without_platform.remove(&starter);
    outage::report(
        &mut zone,
        5_000,
        "12 an unlisted instance is taken for gone",
    );
    zone.without_platform.clear();
    outage::report(&mut zone, 10_000, "12 all reach the platform");
    zone.kill(&neighbour);
    outage::report(&mut zone, 90_000, "12 the owner dies");
}
