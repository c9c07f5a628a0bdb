//! Authority of an instance that can't read the platform's list, beside a neighbour that reads it.
//!
//! Authority is the right to act as the owner of backend servers. To fence an instance is to revoke its authority, by
//! a fence record on the list. A neighbour echoes heartbeats by returning their numbers.

mod common;

use common::{Zone, at, id, ms};
use damaskvane_core::ids;
use damaskvane_membership::{heartbeat, record, view};

/// Returns a zone in which `z-a-3` was fenced and `z-a-1` then lost the platform.
fn cut_off_after_a_fence() -> Zone {
    let mut zone = Zone::new(&["z-a-1", "z-a-2", "z-a-3"]);
    for (a, b) in [("z-a-1", "z-a-3"), ("z-a-2", "z-a-3")] {
        zone.cut(a, b);
        zone.cut(b, a);
    }
    zone.paused.insert(id("z-a-3"));
    zone.run(12_000);
    assert!(zone.gone("z-a-1", "z-a-3").is_some());
    zone.without_platform.insert(id("z-a-1"));
    zone
}

/// Guards against an owner that stops for as long as it can't read the list, after a neighbour was fenced, although
/// another neighbour reads on the list that the owner is not fenced.
#[test]
fn a_neighbours_list_keeps_authority_after_a_fence() {
    let mut zone = cut_off_after_a_fence();
    for _ in 0..1_000 {
        zone.step(5);
        zone.check();
        assert!(zone.has_authority(&id("z-a-1")), "{:?}", zone.now);
    }
}

/// Guards against an owner that stops after a pause for as long as it can't read the list.
#[test]
fn a_neighbours_list_restores_authority_after_a_pause() {
    let mut zone = Zone::new(&["z-a-1", "z-a-2"]);
    zone.without_platform.insert(id("z-a-1"));
    zone.run(1_000);
    zone.paused.insert(id("z-a-1"));
    zone.run(2_000);
    zone.paused.clear();
    zone.run(20_000);
    assert!(zone.has_authority(&id("z-a-1")));
}

/// Guards against a neighbour's old list that gives authority for as long as the neighbour sends heartbeats.
#[test]
fn a_list_that_a_neighbour_read_long_ago_gives_no_authority() {
    let mut zone = cut_off_after_a_fence();
    zone.run(20_000);
    assert!(zone.has_authority(&id("z-a-1")));
    zone.without_platform.insert(id("z-a-2"));
    zone.run(8_000);
    assert!(!zone.has_authority(&id("z-a-1")));
}

/// Guards against an owner that regains authority by a neighbour's list after it was fenced.
#[test]
fn a_neighbours_list_without_the_owner_gives_no_authority() {
    let mut zone = cut_off_after_a_fence();
    zone.run(20_000);
    if let Some(entry) = zone.list.get_mut(&id("z-a-1")) {
        entry.fenced = true;
    }
    zone.run(9_000);
    assert!(!zone.has_authority(&id("z-a-1")));
}

/// Returns the report on its listing that the neighbour `z-a-2` gets from `z-a-1` after the given events.
fn report_after(
    events: Vec<view::Event>,
    incarnation: u64,
    platform_age_ms: Option<u64>,
) -> Option<ids::Incarnation> {
    let mut own = common::member("z-a-1", 1);
    for event in events {
        own.handle(at(100), event);
    }
    report_of(own, incarnation, platform_age_ms)
}

/// Returns the report on its listing that the neighbour `z-a-2` gets after a heartbeat of it.
fn report_of(
    mut own: view::Membership,
    incarnation: u64,
    platform_age_ms: Option<u64>,
) -> Option<ids::Incarnation> {
    let heartbeat = view::Event::Heartbeat {
        from: id("z-a-2"),
        incarnation: ids::Incarnation::new(incarnation),
        heartbeat: heartbeat::Heartbeat {
            platform_age_ms: platform_age_ms.map(ms),
            ..common::new_heartbeat(1)
        },
    };
    own.handle(at(100), heartbeat);
    let actions = own.handle(at(800), view::Event::Tick);
    let sent = actions.into_iter().find_map(|action| match action {
        view::Action::Send { heartbeat, .. } => Some(heartbeat),
        _ => None,
    });
    let sent = sent.expect("a heartbeat to the neighbour");
    assert_eq!(sent.echo, Some(1));
    sent.listed_incarnation
}

fn both(incarnation: u64) -> Vec<record::InstanceRecord> {
    vec![
        common::record("z-a-1", 1),
        common::record("z-a-2", incarnation),
    ]
}

/// Guards against heartbeats that grow while all instances read the list.
#[test]
fn only_an_instance_that_may_be_cut_off_is_told_that_it_is_listed() {
    let listed = Some(ids::Incarnation::new(1));
    let list = || vec![common::list(&both(1))];
    assert_eq!(report_after(list(), 1, Some(500)), None);
    assert_eq!(report_after(list(), 1, Some(4_000)), listed);
    assert_eq!(report_after(list(), 1, None), listed);
}

/// Guards against a report that rests on the entry of an earlier incarnation.
#[test]
fn an_incarnation_known_by_its_heartbeats_alone_is_not_reported_as_listed() {
    assert_eq!(
        report_after(vec![common::list(&both(1))], 2, Some(9_000)),
        None
    );
}

/// Guards against a report that rests on an earlier copy of the list, when a later one names an earlier incarnation.
#[test]
fn an_incarnation_that_the_last_copy_does_not_name_is_not_reported() {
    let mut own = common::member("z-a-1", 1);
    own.handle(at(50), common::list(&both(2)));
    own.handle(at(80), common::list(&both(1)));
    assert_eq!(report_of(own, 2, None), None);
}

/// Guards against a report that rests on another instance's copy, which lists members by their heartbeats.
#[test]
fn a_list_from_a_neighbour_is_not_reported() {
    for source in [view::ListSource::Peer, view::ListSource::PeerCopy] {
        let from_neighbour = view::Event::List {
            records: both(1),
            age: ms(0),
            source,
        };
        assert_eq!(report_after(vec![from_neighbour], 1, Some(9_000)), None);
    }
}

/// Guards against members that are added to a copy of the platform's list by what a neighbour knows.
#[test]
fn a_list_from_a_neighbour_does_not_replace_one_of_the_platform() {
    let mut own = common::member("z-a-1", 1);
    own.handle(at(50), common::list(&[common::record("z-a-1", 1)]));
    let from_neighbour = view::Event::List {
        records: both(1),
        age: ms(0),
        source: view::ListSource::Peer,
    };
    own.handle(at(100), from_neighbour);
    assert_eq!(own.instances().count(), 0);
}

/// Returns whether an instance of incarnation 2 has authority after a pause, when a neighbour reports that the list
/// names the given incarnation.
fn has_authority_by_report(incarnation: u64) -> bool {
    let mut own = common::member("z-a-1", 2);
    let records = [common::record("z-a-1", 2), common::record("z-a-2", 1)];
    own.handle(at(100), common::list(&records));
    own.handle(at(200), view::Event::Tick);
    own.handle(at(20_000), view::Event::Tick);
    let report = view::Event::Heartbeat {
        from: id("z-a-2"),
        incarnation: ids::Incarnation::new(1),
        heartbeat: heartbeat::Heartbeat {
            echo: Some(2),
            listed_incarnation: Some(ids::Incarnation::new(incarnation)),
            ..common::new_heartbeat(1)
        },
    };
    own.handle(at(20_100), report);
    own.authority_until().is_some()
}

/// Guards against a report on an earlier incarnation that gives authority to the one after it.
#[test]
fn a_report_on_an_earlier_incarnation_gives_no_authority() {
    assert!(has_authority_by_report(2));
    assert!(!has_authority_by_report(1));
}
