//! Which instances count as live, suspect or dead, by the platform's list, heartbeats and pauses.
//!
//! A suspect instance has sent no heartbeat for longer than expected, but still gets new work; a dead one gets none.

mod common;

use common::{at, id, list, member, ms, new_heartbeat, record, state_of};
use damaskvane_core::ids;
use damaskvane_membership::state::InstanceState;
use damaskvane_membership::view;

fn heartbeat(from: &str, incarnation: u64, sequence: u64) -> view::Event {
    view::Event::Heartbeat {
        from: id(from),
        incarnation: ids::Incarnation::new(incarnation),
        heartbeat: new_heartbeat(sequence),
    }
}

/// Sends a tick every 100 ms, as a process that is not paused does.
fn tick_until(membership: &mut view::Membership, from_ms: u64, to_ms: u64) {
    for now_ms in (from_ms..=to_ms).step_by(100) {
        membership.handle(at(now_ms), view::Event::Tick);
    }
}

/// Guards against lookups that still name an instance long after its last heartbeat, and against lookups that
/// drop a healthy instance after a single lost heartbeat.
#[test]
fn missing_heartbeats_make_an_instance_suspect_then_dead() {
    let cases = [
        (900, InstanceState::Live),
        (1_000, InstanceState::Suspect),
        (2_900, InstanceState::Suspect),
        (3_000, InstanceState::Dead),
    ];
    for (silence_ms, expected) in cases {
        let mut a = member("z-a-1", 1);
        a.handle(at(0), list(&[record("z-a-1", 1), record("z-a-2", 1)]));
        a.handle(at(0), heartbeat("z-a-2", 1, 1));
        tick_until(&mut a, 0, silence_ms);
        assert_eq!(state_of(&a, "z-a-2"), Some(expected), "{silence_ms} ms");
    }
}

/// Guards against a process that declares its neighbours dead after its machine paused it for a minute, since by
/// its clock they sent no heartbeat. Every lookup response would name only that process, and all clients of the
/// zone would use it.
#[test]
fn a_resumed_process_does_not_declare_others_dead() {
    let mut a = member("z-a-1", 1);
    a.handle(at(0), list(&[record("z-a-1", 1), record("z-a-2", 1)]));
    a.handle(at(0), heartbeat("z-a-2", 1, 1));
    let actions = a.handle(at(60_000), view::Event::Tick);
    assert!(actions.contains(&view::Action::Resumed { paused: ms(60_000) }));
    assert_eq!(state_of(&a, "z-a-2"), Some(InstanceState::Live));
    tick_until(&mut a, 60_000, 63_100);
    assert_eq!(state_of(&a, "z-a-2"), Some(InstanceState::Dead));
}

/// Guards against a restarted instance that counts as about to stop, and is not named to clients, because of
/// heartbeats of its earlier incarnation (start of its process) that are still in flight.
#[test]
fn a_later_incarnation_replaces_the_earlier() {
    let mut a = member("z-a-1", 1);
    a.handle(at(0), list(&[record("z-a-1", 1), record("z-a-2", 1)]));
    let mut last = new_heartbeat(9);
    last.leaving = true;
    let leaving = view::Event::Heartbeat {
        from: id("z-a-2"),
        incarnation: ids::Incarnation::new(1),
        heartbeat: last,
    };
    a.handle(at(10), leaving.clone());
    assert_eq!(state_of(&a, "z-a-2"), Some(InstanceState::Leaving));
    a.handle(at(20), heartbeat("z-a-2", 2, 1));
    a.handle(at(30), leaving);
    assert_eq!(state_of(&a, "z-a-2"), Some(InstanceState::Live));
    assert_eq!(a.counters().old_incarnation, 1);
    // The list lags and still names the earlier incarnation.
    a.handle(at(40), list(&[record("z-a-1", 1), record("z-a-2", 1)]));
    let incarnations: Vec<u64> = a.instances().map(|view| view.incarnation.get()).collect();
    assert_eq!(incarnations, [2]);
}

/// Guards against the loss of a running instance that the list drops by mistake. Because of its heartbeats it counts
/// as live, but not for ever; heartbeats of an instance that was never listed are ignored.
#[test]
fn heartbeats_keep_an_unlisted_instance_for_a_bounded_time() {
    let mut a = member("z-a-1", 1);
    a.handle(at(0), list(&[record("z-a-1", 1), record("z-a-2", 1)]));
    a.handle(at(0), heartbeat("z-a-9", 1, 1));
    assert_eq!(a.counters().unlisted, 1);
    a.handle(at(100), list(&[record("z-a-1", 1)]));
    for round in 1..=700 {
        a.handle(at(round * 100), heartbeat("z-a-2", 1, round));
        a.handle(at(round * 100), view::Event::Tick);
    }
    // A list that was read long ago drops no instance.
    assert_eq!(state_of(&a, "z-a-2"), Some(InstanceState::Live));
    a.handle(at(70_100), list(&[record("z-a-1", 1)]));
    a.handle(at(70_100), view::Event::Tick);
    assert_eq!(state_of(&a, "z-a-2"), Some(InstanceState::Gone));
}

/// Guards against a listed instance that counts as live for ever although it died before this instance started. The
/// listed instance counts as live only until a timeout, because its first heartbeat may not have arrived yet.
#[test]
fn a_listed_instance_without_heartbeats_is_live_until_a_timeout() {
    let mut a = member("z-a-1", 1);
    a.handle(at(0), list(&[record("z-a-1", 1), record("z-a-2", 1)]));
    tick_until(&mut a, 0, 4_900);
    assert_eq!(state_of(&a, "z-a-2"), Some(InstanceState::Live));
    tick_until(&mut a, 5_000, 5_000);
    assert_eq!(state_of(&a, "z-a-2"), Some(InstanceState::Dead));
}

/// Guards against an older list that brings back an instance that has left: two reads of the list cross, and the
/// older one arrives last.
#[test]
fn an_older_list_changes_nothing() {
    let mut a = member("z-a-1", 1);
    a.handle(at(0), list(&[record("z-a-1", 1), record("z-b-1", 2)]));
    let older = view::Event::List {
        records: vec![record("z-a-1", 1), record("z-b-1", 1), record("z-b-2", 1)],
        age: ms(500),
        source: view::ListSource::Peer,
    };
    a.handle(at(100), older);
    assert_eq!(a.instances().count(), 1);
    assert_eq!(a.counters().old_lists, 1);
}

/// Guards against an old heartbeat that counts as a new one: heartbeats arrive out of order after a reconnect.
#[test]
fn an_out_of_order_heartbeat_is_ignored() {
    let mut a = member("z-a-1", 1);
    a.handle(at(0), list(&[record("z-a-1", 1), record("z-a-2", 1)]));
    a.handle(at(10), heartbeat("z-a-2", 1, 7));
    a.handle(at(2_000), heartbeat("z-a-2", 1, 6));
    assert_eq!(a.counters().out_of_order, 1);
}
