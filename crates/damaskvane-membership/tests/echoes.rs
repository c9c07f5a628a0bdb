//! Echoes of heartbeats, which confirm to an instance that a neighbour knows it.

mod common;

use common::{at, id, ms};
use damaskvane_core::ids;
use damaskvane_membership::{heartbeat, view};

const OWN: u64 = 2;

/// Returns whether `z-a-1`, in its second incarnation, takes an echo of `z-a-2` for a confirmation.
fn is_confirmed_by(echoed_incarnation: Option<u64>) -> bool {
    let mut own = common::member("z-a-1", OWN);
    let both = [common::record("z-a-1", OWN), common::record("z-a-2", 1)];
    own.handle(at(50), common::list(&both));
    own.handle(at(2_000), view::Event::Tick);
    let heartbeat = heartbeat::Heartbeat {
        echo: Some(1),
        echoed_incarnation: echoed_incarnation.map(ids::Incarnation::new),
        period_ms: ms(250),
        ..common::new_heartbeat(7)
    };
    let event = view::Event::Heartbeat {
        from: id("z-a-2"),
        incarnation: ids::Incarnation::new(1),
        heartbeat,
    };
    own.handle(at(2_050), event);
    let roster = own.roster();
    let member = roster
        .members
        .iter()
        .find(|member| member.instance == id("z-a-2"));
    member.expect("a known instance").has_acknowledged_own
}

/// Guards against an instance that takes itself for known to a neighbour which never received a heartbeat of it: the
/// neighbour echoes one of the instance's earlier incarnation, of the same number.
#[test]
fn an_echo_of_an_earlier_incarnation_confirms_nothing() {
    assert!(!is_confirmed_by(Some(OWN - 1)));
    assert!(is_confirmed_by(Some(OWN)));
}

/// Guards against neighbours of an earlier version, whose echoes name no incarnation, that confirm nobody any more.
#[test]
fn an_echo_without_an_incarnation_confirms() {
    assert!(is_confirmed_by(None));
}
