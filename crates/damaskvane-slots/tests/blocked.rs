//! Why an instance grants no slots of a backend server: each reason, reached by a scripted history of a zone.
//!
//! A slot is the right to run one request on the server. To fence an instance is to revoke its right to own servers.

mod common;

use common::parties;
use common::{SimulatedZone, at, id, ms, server, slot_settings};
use damaskvane_core::{ids, units};
use damaskvane_membership::{ownership, view};
use damaskvane_slots::exchange::{
    Blocked, BlockedBy, Event, OwnerPhase, ServerSlots, SlotExchange,
};
use damaskvane_slots::message::{AddressedMessage, SlotMessage};

const ONE_SERVER: [u32; 1] = [3];
/// Maximum time until a history reaches its reason.
const MAX_REACH_MS: u64 = 30_000;
/// Maximum time from the end of a wait to the next tick of an instance.
const TICK_MS: u64 = 50;

fn blocked(zone: &SimulatedZone, name: &ids::InstanceId) -> Option<Blocked> {
    let instance = zone.instances.get(name)?;
    let mut servers = instance.slots.status(zone.now);
    servers.find(|status| *status.server == server(0))?.blocked
}

/// Runs the zone until the instance grants nothing for the reason `by`.
fn reach(zone: &mut SimulatedZone, name: &ids::InstanceId, by: BlockedBy) -> Blocked {
    let mut seen = Vec::new();
    for _ in 0..MAX_REACH_MS / common::STEP_MS {
        let now = blocked(zone, name);
        match now {
            Some(blocked) if blocked.by == by => return blocked,
            other if seen.last() != Some(&other) => seen.push(other),
            _ => {}
        }
        zone.step();
    }
    panic!("{name} never grants nothing by {by:?}, but: {seen:?}");
}

/// Runs the zone to the end of a wait, and checks that the instance grants slots from then on and not before.
fn check_end(zone: &mut SimulatedZone, name: &ids::InstanceId, blocked: &Blocked) {
    let until = blocked.until.expect("a wait with an end");
    while zone.now < until {
        assert_eq!(zone.phase(name.as_str(), 0), OwnerPhase::Waiting);
        zone.step();
    }
    zone.run(TICK_MS);
    assert_eq!(zone.phase(name.as_str(), 0), OwnerPhase::Serving);
}

/// Returns the owner of the only server and the zone's other instances.
fn owner_and_others(zone: &SimulatedZone) -> (ids::InstanceId, Vec<ids::InstanceId>) {
    let owner = zone.owner(0).expect("an owner");
    let others = zone.instances.keys().filter(|name| **name != owner);
    (owner.clone(), others.cloned().collect())
}

/// Returns the instance that becomes the owner after the death of the present one, and the zone's third instance.
fn successor_and_third() -> (ids::InstanceId, ids::InstanceId) {
    let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2", "a-3"], &ONE_SERVER);
    let (owner, others) = owner_and_others(&zone);
    zone.kill(&owner);
    zone.run(15_000);
    let successor = zone.owner(0).expect("a successor");
    let third = others.into_iter().find(|name| *name != successor);
    (successor, third.expect("a third instance"))
}

/// Guards against an instance without the platform that shows no reason for its idle servers.
#[test]
fn an_instance_off_the_list_is_not_listed() {
    let mut zone = SimulatedZone::new(1, &[], &ONE_SERVER);
    zone.without_platform.insert(id("a-1"));
    zone.start(&id("a-1"));
    let blocked = reach(&mut zone, &id("a-1"), BlockedBy::NotListed);
    assert_eq!((blocked.instances, blocked.until), (Vec::new(), None));
}

/// Guards against a new instance that can't claim and does not name the instance that does not know it.
#[test]
fn an_instance_unknown_to_another_names_it() {
    let mut reached = 0;
    for new_instance in (1..30).map(|number| id(&format!("b-{number}"))) {
        let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &ONE_SERVER);
        zone.without_platform.insert(id("a-2"));
        zone.start(&new_instance);
        zone.run(5_000);
        let slots = &zone.instances[&new_instance].slots;
        if slots.is_assigned(&server(0)) {
            let blocked = blocked(&zone, &new_instance).expect("a reason");
            assert_eq!(blocked.by, BlockedBy::Unacknowledged);
            assert_eq!(blocked.instances, [id("a-2")]);
            reached += 1;
        }
    }
    assert!(reached > 0);
}

/// Guards against a zone of stopping instances whose servers show no reason.
#[test]
fn a_zone_whose_only_instance_stops_has_no_candidate() {
    let mut zone = SimulatedZone::new(1, &[], &ONE_SERVER);
    zone.start(&id("a-1"));
    zone.membership(&id("a-1"), view::Event::Leave);
    reach(&mut zone, &id("a-1"), BlockedBy::NoCandidate);
}

/// Guards against an instance that does not name the owner that refuses it slots.
#[test]
fn an_owner_that_waits_refuses_the_others() {
    let (successor, third) = successor_and_third();
    let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2", "a-3"], &ONE_SERVER);
    let (owner, _) = owner_and_others(&zone);
    zone.kill(&owner);
    let blocked = reach(&mut zone, &third, BlockedBy::OwnerRefuses);
    assert_eq!(blocked.instances, std::slice::from_ref(&successor));
    reach_none(&mut zone, &third);
    assert_eq!(zone.phase(successor.as_str(), 0), OwnerPhase::Serving);
}

/// Runs the zone until the instance shows no reason.
fn reach_none(zone: &mut SimulatedZone, name: &ids::InstanceId) {
    for _ in 0..MAX_REACH_MS / common::STEP_MS {
        if blocked(zone, name).is_none() {
            return;
        }
        zone.step();
    }
    panic!("{name} still shows {:?}", blocked(zone, name));
}

/// Guards against a claimant that does not name the instance whose consent it lacks.
#[test]
fn a_claim_names_the_paused_instance_without_consent() {
    let (successor, third) = successor_and_third();
    let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2", "a-3"], &ONE_SERVER);
    let (owner, _) = owner_and_others(&zone);
    zone.pause(&third, ms(20_000));
    zone.kill(&owner);
    let blocked = reach(&mut zone, &successor, BlockedBy::MissingConsent);
    assert_eq!((blocked.instances, blocked.until), (vec![third], None));
}

/// Guards against a first owner that does not say until when it waits for leases of earlier owners.
#[test]
fn a_first_owner_waits_for_earlier_leases() {
    let mut zone = SimulatedZone::new(1, &["a-1"], &ONE_SERVER);
    let started_at = zone.now;
    let blocked = reach(&mut zone, &id("a-1"), BlockedBy::EarlierLeases);
    assert_eq!(
        blocked.until,
        Some(started_at + slot_settings().expiry_ms())
    );
    check_end(&mut zone, &id("a-1"), &blocked);
}

/// Guards against an owner that does not name the fenced instance for whose authority it waits.
#[test]
fn a_successor_names_the_fenced_instance_that_may_still_act() {
    let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &ONE_SERVER);
    let (owner, others) = owner_and_others(&zone);
    zone.cut(&owner, &others[0]);
    zone.without_platform.insert(owner.clone());
    let blocked = reach(&mut zone, &others[0], BlockedBy::StoppingInstance);
    assert_eq!(blocked.instances, [owner]);
    check_end(&mut zone, &others[0], &blocked);
}

/// Guards against a just started owner that does not say why it waits longer after the death of another instance.
#[test]
fn a_new_instance_beside_a_dead_one_waits_for_unknown_fences() {
    let mut zone = SimulatedZone::new(1, &["a-1", "a-2"], &ONE_SERVER);
    zone.run(1_500);
    let is_assigned = |name: &str| zone.instances[&id(name)].slots.is_assigned(&server(0));
    let (dead, new) = if is_assigned("a-1") {
        (id("a-1"), id("a-2"))
    } else {
        (id("a-2"), id("a-1"))
    };
    zone.kill(&dead);
    let blocked = reach(&mut zone, &new, BlockedBy::UnknownFences);
    assert!(blocked.instances.is_empty());
    check_end(&mut zone, &new, &blocked);
}

/// Returns the roster of `own` beside another instance; both know each other.
fn roster_of_two(own: &ids::InstanceId, other: &ids::InstanceId) -> view::Roster {
    parties::roster(vec![parties::member(own), parties::member(other)])
}

/// Guards against an owner whose wait comes from another instance's report, and that does not name that instance.
#[test]
fn a_successor_names_the_instance_that_reported_a_stop() {
    let names = [id("a-1"), id("a-2")];
    let own = ownership::owner(server(0).as_str(), &names).expect("an owner");
    let reporter = names.iter().find(|name| **name != own);
    let reporter = reporter.expect("the other instance");
    let incarnation = ids::Incarnation::new(1);
    let mut slots = SlotExchange::new(own.clone(), incarnation, slot_settings());
    let limit = ServerSlots {
        server: server(0),
        slots: units::Slots::new(3),
    };
    slots.handle(at(100), Event::Servers(vec![limit]));
    slots.handle(at(100), Event::Roster(roster_of_two(&own, reporter)));
    let consent = SlotMessage::Consent {
        server: server(0),
        claim: 1,
        leases: Vec::new(),
        ledger: None,
        wait_ms: ms(9_000),
        wait: None,
        last_claim: 0,
    };
    let consent = Event::Message {
        from: reporter.clone(),
        incarnation,
        message: AddressedMessage {
            incarnation,
            message: consent,
        },
    };
    slots.handle(at(200), consent);
    let status = slots.status(at(200)).next().expect("a server");
    let expected = Blocked {
        by: BlockedBy::ReportedStop,
        instances: vec![reporter.clone()],
        until: Some(at(9_200) + slot_settings().expiry_ms()),
    };
    assert_eq!(
        (status.phase, status.blocked),
        (OwnerPhase::Waiting, Some(expected))
    );
}

/// Guards against an owner that refuses all requests for slots without authority and shows no reason.
#[test]
fn an_isolated_owner_ends_without_authority() {
    let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &ONE_SERVER);
    let (owner, others) = owner_and_others(&zone);
    zone.cut(&owner, &others[0]);
    zone.without_platform.insert(owner.clone());
    let blocked = reach(&mut zone, &owner, BlockedBy::NoAuthority);
    assert_eq!(zone.phase(owner.as_str(), 0), OwnerPhase::Serving);
    assert_eq!(blocked.until, None);
}

/// Guards against a claimant that shows no reason while a lost neighbour, which may have fenced it, holds its claim.
#[test]
fn an_isolated_claimant_is_held_by_a_lost_neighbour() {
    let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2"], &ONE_SERVER);
    let (owner, others) = owner_and_others(&zone);
    zone.without_platform
        .extend([owner.clone(), others[0].clone()]);
    zone.run(3_000);
    zone.cut(&owner, &others[0]);
    zone.run(2_000);
    zone.kill(&owner);
    zone.cuts.clear();
    reach(&mut zone, &others[0], BlockedBy::LostNeighbour);
}

/// Guards against counters that miss a wait, or count time in which slots were granted.
#[test]
fn the_counters_hold_the_time_of_each_reason() {
    let mut zone = SimulatedZone::new(1, &["a-1"], &ONE_SERVER);
    let blocked = reach(&mut zone, &id("a-1"), BlockedBy::EarlierLeases);
    let wait_ms = blocked
        .until
        .expect("a wait with an end")
        .since(zone.now)
        .get();
    zone.run(20_000);
    let counted = zone.instances[&id("a-1")].slots.counters();
    let waited_ms = counted.blocked_ms[&BlockedBy::EarlierLeases];
    assert!(
        waited_ms.abs_diff(wait_ms) <= TICK_MS,
        "{waited_ms} of {wait_ms} ms"
    );
    let counted_ms: u64 = counted.blocked_ms.values().sum();
    assert!(counted_ms < 5_000, "{:?}", counted.blocked_ms);
}

/// Guards against two reasons under one word, which a counter could not tell apart.
#[test]
fn each_reason_has_its_own_word_and_text() {
    let words = BlockedBy::ALL.map(BlockedBy::as_str);
    let texts = BlockedBy::ALL.map(|by| by.to_string());
    for (index, by) in BlockedBy::ALL.into_iter().enumerate() {
        assert!(!words[..index].contains(&by.as_str()));
        assert!(!texts[..index].contains(&by.to_string()));
        assert!(!texts[index].contains('\n'));
    }
}
