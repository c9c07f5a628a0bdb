//! Probes of an instance whose address is known only from the entry of its earlier incarnation.
//!
//! An incarnation is one start of an instance's process. A refused probe proves that the process has ended.

mod common;

use common::{at, id};
use damaskvane_core::ids;
use damaskvane_membership::{state, view};

/// Guards against a refused connection to the address of an earlier incarnation that is taken for the end of a later
/// one, which listens elsewhere and is cut off.
#[test]
fn an_address_of_an_earlier_incarnation_proves_nothing_of_a_later_one() {
    let mut own = common::member("z-a-1", 1);
    let both = [common::record("z-a-1", 1), common::record("z-a-2", 1)];
    let old_address = both[1].peer_address;
    own.handle(at(50), common::list(&both));
    let later = ids::Incarnation::new(2);
    let heartbeat = view::Event::Heartbeat {
        from: id("z-a-2"),
        incarnation: later,
        heartbeat: common::new_heartbeat(1),
    };
    own.handle(at(100), heartbeat);
    for now_ms in (150..8_000).step_by(50) {
        let actions = own.handle(at(now_ms), view::Event::Tick);
        let probes = actions.iter().filter(|action| {
            matches!(action, view::Action::Probe { incarnation, address, .. }
                if *incarnation == later && *address == old_address)
        });
        if probes.count() > 0 {
            let refused = view::Event::Probed {
                instance: id("z-a-2"),
                incarnation: later,
                outcome: view::ProbeOutcome::Refused,
            };
            own.handle(at(now_ms), refused);
        }
    }
    assert_ne!(
        common::state_of(&own, "z-a-2"),
        Some(state::InstanceState::Gone)
    );
}
