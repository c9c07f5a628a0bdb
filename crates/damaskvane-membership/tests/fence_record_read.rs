//! What the fence record of an instance shows while the instance still sends heartbeats.
//!
//! To fence an instance is to revoke its authority, the right to act as the owner of backend servers, by a fence
//! record on the platform's list.

mod common;

use common::{Zone, at, id, ms};
use damaskvane_core::ids;
use damaskvane_membership::state::{GoneProof, InstanceState};
use damaskvane_membership::{heartbeat, record, view};

fn fence_record(incarnation: u64) -> record::InstanceRecord {
    record::InstanceRecord {
        fenced: true,
        ..common::record("z-a-2", incarnation)
    }
}

/// Returns the state of `z-a-2`, which sends heartbeats of an incarnation, after a copy of the list.
fn state_after(
    records: Vec<record::InstanceRecord>,
    source: view::ListSource,
    incarnation: u64,
) -> Option<InstanceState> {
    let mut own = common::member("z-a-1", 1);
    let both = [common::record("z-a-1", 1), common::record("z-a-2", 1)];
    own.handle(at(50), common::list(&both));
    let heartbeat = view::Event::Heartbeat {
        from: id("z-a-2"),
        incarnation: ids::Incarnation::new(incarnation),
        heartbeat: heartbeat::Heartbeat {
            platform_age_ms: None,
            ..common::new_heartbeat(1)
        },
    };
    own.handle(at(100), heartbeat);
    let list = view::Event::List {
        records,
        age: ms(0),
        source,
    };
    own.handle(at(150), list);
    own.handle(at(200), view::Event::Tick);
    common::state_of(&own, "z-a-2")
}

fn list_with(record: record::InstanceRecord) -> Vec<record::InstanceRecord> {
    vec![common::record("z-a-1", 1), record]
}

/// Guards against servers of a fenced instance that pass to no other for a minute, since it still sends heartbeats and
/// can't read that it was fenced. They must not pass before its authority has ended.
#[test]
fn a_fence_record_proves_an_instance_gone_that_sends_heartbeats() {
    let mut zone = Zone::new(&["z-a-1", "z-a-2"]);
    zone.without_platform.insert(id("z-a-2"));
    zone.run(6_000);
    if let Some(entry) = zone.list.get_mut(&id("z-a-2")) {
        entry.fenced = true;
    }
    for _ in 0..40 {
        zone.step(5);
        zone.check();
    }
    let gone = zone.gone("z-a-1", "z-a-2").expect("its record was read");
    assert_eq!(gone.proof, GoneProof::Delisted);
    assert!(gone.from > zone.now + ms(10_000));
    for _ in 0..500 {
        zone.step(5);
        zone.check();
    }
}

/// Guards against the loss of an instance that the list does not contain, and that may have just registered.
#[test]
fn an_instance_missing_from_the_list_is_not_gone() {
    let without = vec![common::record("z-a-1", 1)];
    let state = state_after(without, view::ListSource::Platform, 1);
    assert_eq!(state, Some(InstanceState::Live));
}

/// Guards against the loss of a later incarnation by the fence record of an earlier one.
#[test]
fn a_fence_record_of_an_earlier_incarnation_leaves_a_later_one() {
    let state = |incarnation| {
        let records = list_with(fence_record(1));
        state_after(records, view::ListSource::Platform, incarnation)
    };
    assert_eq!(state(1), Some(InstanceState::Gone));
    assert_eq!(state(2), Some(InstanceState::Live));
}

/// Guards against the loss of a live instance by another instance's copy of the list, which may be wrong about it.
#[test]
fn a_fence_record_from_a_neighbour_proves_nothing() {
    let records = list_with(fence_record(1));
    let state = state_after(records, view::ListSource::Peer, 1);
    assert_eq!(state, Some(InstanceState::Live));
}
