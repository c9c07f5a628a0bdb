//! Whether an instance keeps its authority and whether another may take over its servers: never both at once.
//!
//! Authority is the right to act as the owner of backend servers. To fence an instance is to revoke its authority,
//! by a fence record on the platform's list. An instance echoes heartbeats of its neighbour by returning their
//! numbers.

mod common;

use common::{STEP_MS, Zone, id};
use damaskvane_membership::state::InstanceState;
use damaskvane_membership::{record, view};
use rand::{RngExt, SeedableRng};

/// Guards against a delay until the platform confirms the death of a process whose machine refuses connections. The
/// refused probe proves the death, so the servers of the dead instance can be taken over at once.
#[test]
fn a_refused_probe_proves_a_death() {
    let mut zone = Zone::new(&["z-a-1", "z-a-2"]);
    zone.instances.remove(&id("z-a-2"));
    zone.run(4_500);
    assert_eq!(zone.state("z-a-1", "z-a-2"), Some(InstanceState::Gone));
    assert!(zone.has_authority(&id("z-a-1")));
}

/// Guards against two owners of the same servers after a pause of the first one. The paused owner counts as dead at
/// its neighbour, but without proof it keeps its servers until it is fenced. After the pause it must not use them.
#[test]
fn a_paused_owner_is_fenced_and_regains_no_authority() {
    let mut zone = Zone::new(&["z-a-1", "z-a-2"]);
    zone.paused.insert(id("z-a-2"));
    zone.run(5_000);
    assert_eq!(zone.state("z-a-1", "z-a-2"), Some(InstanceState::Dead));
    zone.run(30_000);
    assert_eq!(zone.state("z-a-1", "z-a-2"), Some(InstanceState::Gone));
    assert!(!zone.has_authority(&id("z-a-2")));
    zone.paused.clear();
    zone.run(5_000);
    assert!(zone.instances[&id("z-a-2")].is_fenced());
    zone.check();
}

/// Guards against two owners after an instance was cut off from its neighbour and the platform, but not from the
/// backend servers. The instance can't detect that it was fenced, so its authority must expire before the neighbour
/// takes its servers over.
#[test]
fn an_instance_that_is_cut_off_stops_by_itself() {
    let mut zone = Zone::new(&["z-a-1", "z-a-2"]);
    zone.cut("z-a-1", "z-a-2");
    zone.cut("z-a-2", "z-a-1");
    zone.without_platform.insert(id("z-a-2"));
    zone.run(9_000);
    assert!(!zone.has_authority(&id("z-a-2")));
    for _ in 0..600 {
        zone.step(5);
        zone.check();
    }
    assert!(zone.has_authority(&id("z-a-1")));
}

/// Guards against an owner that keeps its authority because it receives heartbeats, while those that it sends do not
/// arrive. Only the direction from the owner to its neighbour is cut.
#[test]
fn received_heartbeats_alone_do_not_keep_authority() {
    let mut zone = Zone::new(&["z-a-1", "z-a-2"]);
    zone.cut("z-a-2", "z-a-1");
    zone.without_platform.insert(id("z-a-2"));
    zone.run(7_500);
    assert_eq!(zone.state("z-a-2", "z-a-1"), Some(InstanceState::Live));
    zone.run(1_500);
    assert!(!zone.has_authority(&id("z-a-2")));
}

/// Guards against a zone that serves no requests after it was cut off from the platform and then lost the machine of
/// one of its two instances. No instance could have fenced the last one, so the last one keeps its authority.
#[test]
fn the_last_instance_of_a_zone_without_the_platform_keeps_authority() {
    let mut zone = Zone::new(&["z-a-1", "z-a-2"]);
    zone.without_platform.extend([id("z-a-1"), id("z-a-2")]);
    zone.run(10_000);
    zone.paused.insert(id("z-a-2"));
    zone.run(60_000);
    assert!(zone.has_authority(&id("z-a-1")));
    assert_eq!(zone.state("z-a-1", "z-a-2"), Some(InstanceState::Dead));
}

/// Guards against a connection that stays in use after it stopped working in one direction, although a new
/// connection would work. Missing echoes show the sender that its heartbeats do not arrive, and it reconnects.
#[test]
fn a_silent_connection_is_reopened() {
    let mut zone = Zone::new(&["z-a-1", "z-a-2"]);
    zone.cut("z-a-2", "z-a-1");
    zone.run(6_000);
    let expected = (id("z-a-2"), id("z-a-1"));
    assert!(zone.reconnects.contains(&expected));
}

/// Guards against neighbours that still give new work to an instance whose planned stop has begun: the leaving
/// instance announces the stop at once.
#[test]
fn leaving_is_announced_at_once() {
    let mut zone = Zone::new(&["z-a-1", "z-a-2"]);
    zone.handle_event(&id("z-a-2"), view::Event::Leave, 5);
    zone.run(2 * STEP_MS);
    assert_eq!(zone.state("z-a-1", "z-a-2"), Some(InstanceState::Leaving));
}

/// Guards against a fenced instance that regains its authority when the instance that fenced it dies. A third
/// instance may have taken over the servers, since the fence proves that their owner is gone.
#[test]
fn the_death_of_the_fencing_instance_restores_no_authority() {
    let mut zone = Zone::new(&["z-a-1", "z-a-2"]);
    zone.without_platform.insert(id("z-a-2"));
    zone.cut("z-a-1", "z-a-2");
    zone.cut("z-a-2", "z-a-1");
    zone.run(15_000);
    zone.instances.remove(&id("z-a-1"));
    zone.cuts.clear();
    zone.run(15_000);
    assert_eq!(zone.state("z-a-2", "z-a-1"), Some(InstanceState::Gone));
    assert!(!zone.has_authority(&id("z-a-2")));
}

/// Guards against a fenced instance that keeps its authority by the echoes of a neighbour. A new instance, unknown
/// to the fenced one, has fenced it; the neighbour reads that on the list and must not echo its heartbeats any more.
#[test]
fn a_neighbour_does_not_support_the_authority_of_an_unlisted_instance() {
    let mut zone = Zone::new(&["z-a-1", "z-a-2"]);
    zone.without_platform.insert(id("z-a-1"));
    zone.list.remove(&id("z-a-1"));
    zone.run(10_000);
    assert!(!zone.has_authority(&id("z-a-1")));
}

/// Guards against authority after a pause that rests on a heartbeat from before the pause. The neighbour could not
/// reach the platform when it sent that heartbeat, but may have reached it during the pause and fenced the paused
/// instance.
#[test]
fn heartbeats_from_before_a_pause_support_no_authority_after_it() {
    let mut zone = Zone::new(&["z-a-1", "z-a-2"]);
    zone.without_platform.extend([id("z-a-1"), id("z-a-2")]);
    zone.run(10_000);
    zone.paused.insert(id("z-a-2"));
    zone.run(2_000);
    zone.cut("z-a-1", "z-a-2");
    zone.without_platform.remove(&id("z-a-1"));
    zone.run(40_000);
    assert_eq!(zone.state("z-a-1", "z-a-2"), Some(InstanceState::Gone));
    zone.paused.clear();
    for _ in 0..200 {
        zone.step(5);
        zone.check();
    }
}

/// Guards against a delay of a quarter of an hour before the servers of a fenced instance are taken over, if that
/// instance was first listed long after an outage of the platform.
#[test]
fn an_instance_listed_after_an_outage_is_not_waited_for_longer() {
    let mut zone = Zone::new(&["z-a-1", "z-a-2"]);
    zone.without_platform.extend([id("z-a-1"), id("z-a-2")]);
    zone.run(10_000);
    zone.without_platform.clear();
    zone.run(15_000);
    zone.cut("z-a-1", "z-a-3");
    zone.list.insert(id("z-a-3"), common::record("z-a-3", 1));
    zone.run(20_000);
    let gone = zone.gone("z-a-1", "z-a-3").expect("it was fenced");
    assert!(gone.from <= zone.now + common::ms(18_000));
}

/// Guards against an instance that takes over the servers of another one, which may continue as the last one of a
/// zone without the platform.
#[test]
fn an_instance_that_may_continue_alone_is_waited_for() {
    let mut zone = Zone::new(&["z-a-1", "z-a-2"]);
    zone.without_platform.extend([id("z-a-1"), id("z-a-2")]);
    zone.run(10_000);
    zone.cut("z-a-1", "z-a-2");
    zone.cut("z-a-2", "z-a-1");
    zone.run(5_000);
    zone.without_platform.remove(&id("z-a-1"));
    for _ in 0..1_200 {
        zone.step(5);
        zone.check();
    }
    assert!(zone.gone("z-a-1", "z-a-2").is_some());
    assert!(
        zone.has_authority(&id("z-a-2")),
        "it may be the only instance in its view"
    );
}

/// Guards against a live incarnation (start of a process) that is reported as fenced because of the fence record of
/// an earlier incarnation.
#[test]
fn a_fence_record_does_not_apply_to_a_later_incarnation() {
    let mut a = common::member("z-a-1", 1);
    let fence_record = record::InstanceRecord {
        fenced: true,
        ..common::record("z-a-2", 1)
    };
    a.handle(
        common::at(100),
        common::list(&[common::record("z-a-1", 1), fence_record]),
    );
    let heartbeat = view::Event::Heartbeat {
        from: id("z-a-2"),
        incarnation: damaskvane_core::ids::Incarnation::new(2),
        heartbeat: common::new_heartbeat(1),
    };
    a.handle(common::at(200), heartbeat);
    let known = a
        .instances()
        .find(|view| view.record.instance == id("z-a-2"));
    let known = known.expect("a later incarnation is known");
    assert_eq!(known.incarnation.get(), 2);
    assert!(!known.record.fenced);
}

/// Guards against an instance that continues for ever, and takes over servers, after the death of a neighbour that
/// may have fenced it.
#[test]
fn the_death_of_a_silent_neighbour_leaves_the_authority_bounded() {
    let mut zone = Zone::new(&["z-a-1", "z-a-2"]);
    zone.without_platform.extend([id("z-a-1"), id("z-a-2")]);
    zone.run(10_000);
    zone.cut("z-a-1", "z-a-2");
    zone.cut("z-a-2", "z-a-1");
    zone.run(20_000);
    zone.instances.remove(&id("z-a-1"));
    zone.cuts.clear();
    zone.run(5_000);
    assert_eq!(zone.state("z-a-2", "z-a-1"), Some(InstanceState::Gone));
    let roster = zone.instances[&id("z-a-2")].roster();
    assert!(!roster.may_take_over);
    let until = zone.instances[&id("z-a-2")].authority_until();
    assert!(until.is_some_and(|until| until < zone.now + common::ms(900_000)));
    zone.without_platform.clear();
    zone.run(20_000);
    assert!(zone.instances[&id("z-a-2")].roster().may_take_over);
}

/// Guards against a new instance that takes over the servers of an instance because it received no heartbeat from
/// that one, although the address of that one accepts connections. The old instance may not know the new one, and
/// may continue because it knows no other live instance.
#[test]
fn an_instance_unaware_of_a_new_one_is_not_fenced() {
    let mut zone = Zone::new(&["z-a-1"]);
    zone.without_platform.insert(id("z-a-1"));
    zone.instances
        .insert(id("z-a-2"), common::member("z-a-2", 1));
    zone.list.insert(id("z-a-2"), common::record("z-a-2", 1));
    zone.run(40_000);
    assert!(zone.has_authority(&id("z-a-1")));
    assert_ne!(zone.state("z-a-2", "z-a-1"), Some(InstanceState::Gone));
}

/// Guards against an old list that counts as proof that a later incarnation is gone. The list drops one incarnation
/// of an instance, a heartbeat of a later one arrives, and then the platform can't be reached.
#[test]
fn an_old_list_proves_nothing_against_a_later_incarnation() {
    let mut zone = Zone::new(&["z-a-1", "z-a-2"]);
    zone.list.remove(&id("z-a-2"));
    zone.run(1_000);
    zone.without_platform.insert(id("z-a-1"));
    zone.instances
        .insert(id("z-a-2"), common::member("z-a-2", 2));
    let heartbeat = view::Event::Heartbeat {
        from: id("z-a-2"),
        incarnation: damaskvane_core::ids::Incarnation::new(2),
        heartbeat: common::new_heartbeat(1),
    };
    zone.handle_event(&id("z-a-1"), heartbeat, 5);
    zone.run(20_000);
    assert_eq!(zone.state("z-a-1", "z-a-2"), Some(InstanceState::Dead));
}

/// Guards against an instance that continues as the only one of its zone although another instance has fenced it.
/// `z-a-1` fences `z-a-2`. `z-a-2` restarts as a new incarnation (a new start of its process), can't exchange messages
/// with `z-a-1`, and fences `z-a-1`. `z-a-1` can't reach the platform by then, so it sees no fence record, and it has
/// received no message from the new incarnation.
#[test]
fn a_fencing_instance_may_be_fenced_by_an_unseen_incarnation() {
    let mut zone = Zone::new(&["z-a-1", "z-a-2"]);
    zone.cut("z-a-1", "z-a-2");
    zone.cut("z-a-2", "z-a-1");
    zone.run(9_000);
    assert_eq!(zone.state("z-a-1", "z-a-2"), Some(InstanceState::Gone));
    zone.run(12_000);
    zone.without_platform.insert(id("z-a-1"));
    zone.run(9_000);
    assert!(!zone.has_authority(&id("z-a-1")));
}

/// Guards against servers of a dead instance that stay unused for ever because the response to a fence request was
/// lost. The instance can't know whether the fence took effect, so it must request the fence again.
#[test]
fn a_fence_request_without_a_response_is_repeated() {
    let mut a = common::member("z-a-1", 1);
    let records = [common::record("z-a-1", 1), common::record("z-a-2", 1)];
    let mut fences = 0;
    for now_ms in (0..60_000).step_by(100) {
        if now_ms % 1_000 == 0 {
            a.handle(common::at(now_ms), common::list(&records));
        }
        for action in a.handle(common::at(now_ms), view::Event::Tick) {
            if let view::Action::Probe {
                instance,
                incarnation,
                ..
            } = &action
            {
                let silent = view::Event::Probed {
                    instance: instance.clone(),
                    incarnation: *incarnation,
                    outcome: view::ProbeOutcome::Silent,
                };
                a.handle(common::at(now_ms), silent);
            }
            fences += u32::from(matches!(action, view::Action::Fence { .. }));
        }
    }
    assert!((3..30).contains(&fences), "{fences}");
}

/// Guards against an instance that may take over from another that still has authority. Cuts in one or both
/// directions, pauses and an unreachable platform start and end at random.
#[test]
fn random_faults_never_leave_two_owners() {
    for seed in 0..40 {
        let mut random = rand_pcg::Pcg32::seed_from_u64(seed);
        let names = ["z-a-1", "z-a-2", "z-a-3"];
        let mut zone = Zone::new(&names);
        for _ in 0..2_400 {
            if random.random_ratio(1, 60) {
                disturb(&mut zone, &names, &mut random);
            }
            zone.step(random.random_range(0..400));
            zone.check();
        }
    }
}

fn disturb(zone: &mut Zone, names: &[&str], random: &mut rand_pcg::Pcg32) {
    let a = id(names[random.random_range(0..names.len())]);
    let b = id(names[random.random_range(0..names.len())]);
    match random.random_range(0..8) {
        0 => drop(zone.cuts.insert((a, b))),
        1 => zone.cuts.extend([(a.clone(), b.clone()), (b, a)]),
        2 | 3 => zone.cuts.clear(),
        4 => drop(zone.paused.insert(a)),
        5 => zone.paused.clear(),
        6 => drop(zone.without_platform.insert(a)),
        _ => zone.without_platform.clear(),
    }
}
