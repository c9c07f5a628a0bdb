//! Who counts as live, suspect or dead: list, heartbeats and pauses.

mod common;

use common::{at, beat, id, list, member, ms, record, state_of};
use damaskvane_core::ids;
use damaskvane_membership::state::InstanceState;
use damaskvane_membership::view;

fn heartbeat(from: &str, incarnation: u64, sequence: u64) -> view::Event {
    view::Event::Heartbeat {
        from: id(from),
        incarnation: ids::Incarnation::new(incarnation),
        heartbeat: beat(sequence),
    }
}

/// Ticks every 100 ms, as a process does that is not paused.
fn tick_until(membership: &mut view::Membership, from_ms: u64, to_ms: u64) {
    for now_ms in (from_ms..=to_ms).step_by(100) {
        membership.handle(at(now_ms), view::Event::Tick);
    }
}

/// An instance dies without a word. Look-ups must stop naming it after seconds, not before: a single
/// lost heartbeat is no death, and clients would be sent away from a healthy instance.
#[test]
fn silence_makes_suspect_then_dead() {
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

/// A process is stopped for a minute by its machine and then goes on. All its neighbours have been
/// silent by its clock. If it believed that, it would answer every look-up with itself alone, and all
/// clients of the zone would come to it.
#[test]
fn a_process_that_was_paused_does_not_judge_the_others() {
    let mut a = member("z-a-1", 1);
    a.handle(at(0), list(&[record("z-a-1", 1), record("z-a-2", 1)]));
    a.handle(at(0), heartbeat("z-a-2", 1, 1));
    let actions = a.handle(at(60_000), view::Event::Tick);
    assert!(actions.contains(&view::Action::Resumed { paused: ms(60_000) }));
    assert_eq!(state_of(&a, "z-a-2"), Some(InstanceState::Live));
    tick_until(&mut a, 60_000, 63_100);
    assert_eq!(state_of(&a, "z-a-2"), Some(InstanceState::Dead));
}

/// A restarted instance sends while heartbeats of its earlier start are still on their way. The earlier
/// ones must count for nothing: they say *leaving*, and clients would lose a fresh instance.
#[test]
fn a_later_incarnation_voids_the_earlier() {
    let mut a = member("z-a-1", 1);
    a.handle(at(0), list(&[record("z-a-1", 1), record("z-a-2", 1)]));
    let mut last = beat(9);
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
    // The list lags and still names the earlier start.
    a.handle(at(40), list(&[record("z-a-1", 1), record("z-a-2", 1)]));
    let incarnations: Vec<u64> = a.instances().map(|view| view.incarnation.get()).collect();
    assert_eq!(incarnations, [2]);
}

/// The list drops an instance by mistake while it runs. As long as it is heard it stays, but not for
/// ever; and one that was never listed is not believed at all.
#[test]
fn heartbeats_outweigh_the_list_for_a_while() {
    let mut a = member("z-a-1", 1);
    a.handle(at(0), list(&[record("z-a-1", 1), record("z-a-2", 1)]));
    a.handle(at(0), heartbeat("z-a-9", 1, 1));
    assert_eq!(a.counters().unlisted, 1);
    a.handle(at(100), list(&[record("z-a-1", 1)]));
    for round in 1..=700 {
        a.handle(at(round * 100), heartbeat("z-a-2", 1, round));
        a.handle(at(round * 100), view::Event::Tick);
    }
    // Nobody is dropped by a list that was read long ago.
    assert_eq!(state_of(&a, "z-a-2"), Some(InstanceState::Live));
    a.handle(at(70_100), list(&[record("z-a-1", 1)]));
    a.handle(at(70_100), view::Event::Tick);
    assert_eq!(state_of(&a, "z-a-2"), Some(InstanceState::Gone));
}

/// The list names an instance that died before this one started. It is trusted for a while, as it may
/// just not have been heard yet, and then no more.
#[test]
fn a_listed_instance_that_is_never_heard_is_trusted_for_a_while() {
    let mut a = member("z-a-1", 1);
    a.handle(at(0), list(&[record("z-a-1", 1), record("z-a-2", 1)]));
    tick_until(&mut a, 0, 4_900);
    assert_eq!(state_of(&a, "z-a-2"), Some(InstanceState::Live));
    tick_until(&mut a, 5_000, 5_000);
    assert_eq!(state_of(&a, "z-a-2"), Some(InstanceState::Dead));
}

/// Two reads of the list cross, and the older one comes last. It must not bring back who has left.
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

/// Heartbeats overtake each other after a new connection was made. The old one must not count.
#[test]
fn an_overtaken_heartbeat_counts_for_nothing() {
    let mut a = member("z-a-1", 1);
    a.handle(at(0), list(&[record("z-a-1", 1), record("z-a-2", 1)]));
    a.handle(at(10), heartbeat("z-a-2", 1, 7));
    a.handle(at(2_000), heartbeat("z-a-2", 1, 6));
    assert_eq!(a.counters().out_of_order, 1);
}
