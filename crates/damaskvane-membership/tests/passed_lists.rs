//! Lists that an instance gets from a neighbour: what may be concluded from them, and what may not.
//!
//! An instance that has never read the platform's list learns the other instances from a list that a neighbour
//! passes on. A fenced instance is one whose entry on the platform's list another instance marked, which revokes
//! its authority (the right to act as the owner of backend servers).

mod common;

use common::id;
use damaskvane_core::ids;
use damaskvane_membership::{record, state, view};

fn fence_record(name: &str, incarnation: u64) -> record::InstanceRecord {
    record::InstanceRecord {
        fenced: true,
        ..common::record(name, incarnation)
    }
}

fn passed_list(records: &[record::InstanceRecord], source: view::ListSource) -> view::Event {
    view::Event::List {
        records: records.to_vec(),
        age: common::ms(500),
        source,
    }
}

/// Lets `b` apply the list that `a` passes on, and returns whether there was one.
fn pass_on(a: &view::Membership, b: &mut view::Membership, now_ms: u64) -> bool {
    let Some(list) = a.list_to_pass() else {
        return false;
    };
    let event = view::Event::List {
        records: list.records,
        age: list.age,
        source: list.source,
    };
    b.handle(common::at(now_ms), event);
    true
}

fn heartbeat_of(name: &str, incarnation: u64) -> view::Event {
    view::Event::Heartbeat {
        from: id(name),
        incarnation: ids::Incarnation::new(incarnation),
        heartbeat: common::new_heartbeat(1),
    }
}

fn gone(membership: &view::Membership, name: &str) -> Option<state::Gone> {
    let mut members = membership.roster().members.into_iter();
    members.find(|member| member.instance == id(name))?.gone
}

/// Guards against two owners of a server. `z-a-2` restarts; its neighbour knows the new incarnation by a heartbeat
/// only, and not `z-a-3`, which started before the restart. What the neighbour passes on names `z-a-2`, and must not
/// count as a list that contains all instances that started before.
#[test]
fn a_list_with_an_incarnation_known_by_heartbeat_is_no_proof_of_completeness() {
    let mut a = common::member("z-a-1", 1);
    let records = [common::record("z-a-1", 1), common::record("z-a-2", 1)];
    a.handle(common::at(100), common::list(&records));
    a.handle(common::at(200), heartbeat_of("z-a-2", 2));
    let mut b = common::member("z-a-2", 2);
    assert!(pass_on(&a, &mut b, 300));
    let roster = b.roster();
    assert!(!roster.is_listed, "z-a-3 may be missing: {roster:?}");
}

/// Guards against a fence record that is lost on the way: a new instance that learns the list from a neighbour waits
/// without end for an instance that was fenced long ago, or does not wait as long as that one may go on alone.
#[test]
fn fence_records_are_passed_on() {
    for records in [
        [common::record("z-a-1", 1), common::record("z-a-3", 1)],
        [common::record("z-a-1", 1), fence_record("z-a-3", 1)],
    ] {
        let mut a = common::member("z-a-1", 1);
        a.handle(common::at(100), common::list(&records));
        let fenced = record::InstanceRecord {
            goes_on_alone: true,
            ..fence_record("z-a-3", 1)
        };
        let records = [
            common::record("z-a-1", 1),
            common::record("z-a-2", 1),
            fenced,
        ];
        a.handle(common::at(200), common::list(&records));
        let mut b = common::member("z-a-2", 1);
        assert!(pass_on(&a, &mut b, 300));
        let gone = gone(&b, "z-a-3").expect("its fence record was passed on");
        assert!(
            gone.from >= common::at(900_300),
            "it goes on alone: {gone:?}"
        );
    }
}

/// Guards against a fence record that is lost because the instance that passes it on was given its list by another
/// one and has no copy of the platform's.
#[test]
fn fence_records_of_a_list_that_was_passed_on_are_passed_on() {
    let mut a = common::member("z-a-1", 1);
    let records = [common::record("z-a-2", 1), fence_record("z-a-3", 1)];
    a.handle(
        common::at(100),
        passed_list(&records, view::ListSource::Peer),
    );
    let list = a.list_to_pass().expect("it has a list");
    assert_eq!(list.source, view::ListSource::Peer);
    let mut b = common::member("z-a-2", 1);
    assert!(pass_on(&a, &mut b, 300));
    assert!(gone(&b, "z-a-3").is_some());
}

/// Guards against a new instance that owns nothing although its neighbour's copy of the platform's list contains it,
/// and against contact to the platform that is concluded from such a copy.
#[test]
fn a_copy_of_the_platforms_list_shows_that_an_instance_is_listed_and_no_contact() {
    let mut a = common::member("z-a-1", 1);
    let records = [common::record("z-a-1", 1), common::record("z-a-2", 1)];
    a.handle(common::at(100), common::list(&records));
    a.handle(common::at(200), view::Event::Tick);
    let mut b = common::member("z-a-2", 1);
    assert!(pass_on(&a, &mut b, 200));
    assert!(b.roster().is_listed);
    assert_eq!(
        b.authority_until(),
        None,
        "neither the platform nor z-a-1 has confirmed anything to it"
    );
    assert_eq!(b.list_age(), Some(common::ms(100)));
}

/// Guards against a fenced instance that goes on as the owner because it read no list before its fence: the first
/// list that it sees, from a peer or the platform, shows its own entry with the mark.
#[test]
fn an_instance_whose_first_list_shows_its_own_fence_stops() {
    for source in [view::ListSource::Platform, view::ListSource::Peer] {
        let mut a = common::member("z-a-1", 1);
        let records = [fence_record("z-a-1", 1), common::record("z-a-2", 1)];
        let actions = a.handle(common::at(100), passed_list(&records, source));
        assert!(actions.contains(&view::Action::OwnFenced), "{source:?}");
        assert!(a.is_fenced(), "{source:?}");
        assert_eq!(a.authority_until(), None, "{source:?}");
    }
}

/// Guards against a restarted instance that stops because of the fence record of its previous incarnation.
#[test]
fn the_fence_of_an_earlier_incarnation_stops_no_later_one() {
    let mut a = common::member("z-a-1", 2);
    let records = [fence_record("z-a-1", 1), common::record("z-a-2", 1)];
    a.handle(common::at(100), common::list(&records));
    assert!(!a.is_fenced());
}

fn passes(actions: &[view::Action], name: &str) -> usize {
    let passed = |action: &&view::Action| matches!(action, view::Action::PassList { to, .. } if *to == id(name));
    actions.iter().filter(passed).count()
}

fn tick_all(a: &mut view::Membership, from_ms: u64, to_ms: u64) -> Vec<view::Action> {
    (from_ms..to_ms)
        .step_by(100)
        .flat_map(|now_ms| a.handle(common::at(now_ms), view::Event::Tick))
        .collect()
}

/// Guards against a zone that serves nothing because one instance never read a list: its neighbours know it, and have
/// to send it theirs. Guards against a flood as well: the messages become rarer, and end with its first heartbeat.
#[test]
fn a_neighbour_that_was_never_heard_gets_the_list() {
    let mut a = common::member("z-a-1", 1);
    let records = [common::record("z-a-1", 1), common::record("z-a-2", 1)];
    a.handle(common::at(0), common::list(&records));
    assert_eq!(passes(&tick_all(&mut a, 0, 1_000), "z-a-2"), 0);
    assert_eq!(passes(&tick_all(&mut a, 1_000, 2_000), "z-a-2"), 1);
    assert_eq!(passes(&tick_all(&mut a, 2_000, 60_000), "z-a-2"), 5);
    a.handle(common::at(60_000), heartbeat_of("z-a-2", 1));
    assert_eq!(passes(&tick_all(&mut a, 60_000, 200_000), "z-a-2"), 0);
}

/// Guards against a list that is sent to an instance which it does not name: a restart that never reached the platform.
#[test]
fn a_list_is_not_passed_to_an_instance_that_it_does_not_name() {
    let mut a = common::member("z-a-1", 1);
    let records = [common::record("z-a-1", 1), fence_record("z-a-2", 1)];
    a.handle(common::at(0), common::list(&records));
    assert_eq!(passes(&tick_all(&mut a, 0, 40_000), "z-a-2"), 0);
}

/// Guards against an instance that stays unlisted for good: its first list, from a seed, lacked it, and the platform
/// can't be reached. It asks its neighbours for a later list, and less often the longer none names it.
#[test]
fn an_instance_that_its_list_lacks_asks_a_neighbour_for_a_later_one() {
    let mut a = common::member("z-a-1", 1);
    let mut b = common::member("z-a-2", 1);
    a.handle(common::at(0), common::list(&[common::record("z-a-1", 1)]));
    assert!(pass_on(&a, &mut b, 0));
    assert!(!b.roster().is_listed);
    b.handle(common::at(0), heartbeat_of("z-a-1", 1));
    let is_request = |action: &view::Action| matches!(action, view::Action::RequestList { to, .. } if *to == id("z-a-1"));
    let requests =
        |actions: Vec<view::Action>| actions.iter().filter(|action| is_request(action)).count();
    assert_eq!(requests(tick_all(&mut b, 0, 2_000)), 1);
    assert_eq!(requests(tick_all(&mut b, 2_000, 60_000)), 5);
    let records = [common::record("z-a-1", 1), common::record("z-a-2", 1)];
    a.handle(common::at(60_000), common::list(&records));
    assert!(pass_on(&a, &mut b, 60_000));
    assert!(b.roster().is_listed);
    assert_eq!(requests(tick_all(&mut b, 60_000, 200_000)), 0);
}

/// Guards against a list that replaces a later one: an instance that is listed, or whose copy does not name it, takes
/// no list of a neighbour in its place.
#[test]
fn a_passed_list_replaces_no_list_of_a_listed_instance() {
    let mut a = common::member("z-a-1", 1);
    let records = [common::record("z-a-1", 1), common::record("z-a-2", 1)];
    a.handle(common::at(0), common::list(&records));
    a.handle(common::at(5_000), view::Event::Tick);
    let fewer = passed_list(&[common::record("z-a-2", 1)], view::ListSource::PeerCopy);
    a.handle(common::at(5_000), fewer);
    assert!(!a.is_fenced());
    assert_eq!(a.list_age(), Some(common::ms(5_000)));
    let mut b = common::member("z-a-2", 1);
    b.handle(
        common::at(0),
        passed_list(&[common::record("z-a-1", 1)], view::ListSource::Peer),
    );
    b.handle(
        common::at(5_000),
        passed_list(&[common::record("z-a-3", 1)], view::ListSource::PeerCopy),
    );
    assert_eq!(
        b.list_age(),
        Some(common::ms(5_500)),
        "a copy without it may be the older one"
    );
}
