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
