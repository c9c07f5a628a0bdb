//! Standing leases: a holder keeps its slots while their owner is lost, and nobody else uses them.
//!
//! The owner of a server grants its slots, which are rights to run one request on it. A standing lease has no end of
//! its own; its holder uses it as long as it has authority, the right to act. A claim is the request to become the
//! owner; a consent to it reports the leases of its sender.

mod common;

use common::parties::{ONE, Parties, gone, member, roster};
use common::roles::{self, Roles};
use common::{SimulatedZone, ms, server, slot_settings};
use damaskvane_core::ids;
use damaskvane_membership::state::GoneProof;
use damaskvane_membership::view;
use damaskvane_slots::exchange::{Event, ServerSlots};
use damaskvane_slots::message::{GrantNumber, SlotMessage};

/// Steps of the simulated zone in which the requests that run are counted.
const STEPS: u32 = 100;
/// Longer than any wait of an owner for leases of a fixed length.
const LONG_MS: u64 = 10_000;

/// Guards against a server that stands idle beside instances that are well, because its owner was lost.
#[test]
fn holders_go_on_while_the_owner_is_lost() {
    type Fault = fn(&mut SimulatedZone, &ids::InstanceId);
    let faults: [(&str, Fault); 3] = [
        ("dies", |zone, owner| zone.kill(owner)),
        ("is paused", |zone, owner| zone.pause(owner, ms(5_000))),
        ("can't be reached", |zone, owner| {
            for name in ["a-1", "a-2", "a-3"] {
                zone.cut(owner, &common::id(name));
            }
            zone.pause(owner, ms(5_000));
        }),
    ];
    for (what, fault) in faults {
        let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2", "a-3"], &[6]);
        let owner = zone.owner(0).expect("an owner");
        fault(&mut zone, &owner);
        // After this time no request runs any more under a lease that ended with its owner.
        zone.run(slot_settings().expiry_ms().get());
        let mut running = 0;
        for _ in 0..STEPS {
            zone.step();
            running += zone.running(&server(0));
        }
        let mean = f64::from(running) / f64::from(STEPS);
        assert!(mean >= 2.0, "the owner {what}: {mean} requests run");
        zone.run(LONG_MS);
    }
}

/// Guards against a lease that ends soon after its owner is lost.
#[test]
fn a_standing_lease_outlasts_its_owner() {
    let roles = Roles::new();
    let (mut parties, request) = roles::with_request(&roles);
    parties.end(&roles.owner);
    parties.run(LONG_MS);
    parties.finish(&roles.holder, &request);
    assert!(parties.may_send(&roles.holder));
}

/// Guards against requests of a holder that may have been replaced: its authority is over.
#[test]
fn a_standing_lease_is_not_used_without_authority() {
    let roles = Roles::new();
    let mut parties = roles::with_standing_lease(&roles);
    let until = parties.now + ms(200);
    let members = roles.running().map(member).to_vec();
    let without = view::Roster {
        authority_until: Some(until),
        ..roster(members)
    };
    parties.handle(&roles.holder, Event::Roster(without));
    assert!(parties.may_send(&roles.holder));
    parties.run(200);
    assert!(!parties.may_send(&roles.holder));
    assert!(!parties.can_begin(&roles.holder));
}

/// Guards against a holder that regains a lease after its authority has ended, by its own planned stop or by a change
/// of the configuration, and sends requests on a slot that another instance uses by then.
#[test]
fn a_standing_lease_without_authority_is_not_made_usable_again() {
    let roles = Roles::new();
    let stop = |parties: &mut Parties| {
        let members = roles.running().map(|name| {
            let is_own = *name == roles.holder;
            if is_own {
                Roles::leaving(name)
            } else {
                member(name)
            }
        });
        let leaving = view::Roster {
            authority_until: None,
            ..roster(members.to_vec())
        };
        parties.handle(&roles.holder, Event::Roster(leaving));
    };
    let lower = |parties: &mut Parties| {
        let limit = |slots| {
            Event::Servers(vec![ServerSlots {
                server: server(0),
                slots,
            }])
        };
        parties.handle(&roles.holder, limit(ONE.saturating_sub(ONE)));
    };
    let changes: [&dyn Fn(&mut Parties); 2] = [&stop, &lower];
    for (number, change) in changes.into_iter().enumerate() {
        let (mut parties, request) = roles::with_request(&roles);
        let without = view::Roster {
            authority_until: None,
            ..roster(roles.running().map(member).to_vec())
        };
        parties.handle(&roles.holder, Event::Roster(without));
        parties.run(LONG_MS);
        change(&mut parties);
        parties.finish(&roles.holder, &request);
        assert!(!parties.may_send(&roles.holder), "change {number}");
    }
}

/// Guards against an owner that grants a slot which a holder may still use, and against one that never grants it again.
#[test]
fn a_standing_lease_ends_with_its_holder() {
    let roles = Roles::new();
    let expiry_ms = slot_settings().expiry_ms().get();
    for (proof, stops_after_ms) in [(GoneProof::Fenced, 5_000), (GoneProof::Refused, 0)] {
        let mut parties = roles::with_standing_lease(&roles);
        let from_ms = parties.now.get() + stops_after_ms;
        let members = vec![
            member(&roles.owner),
            gone(&roles.holder, proof, from_ms),
            member(&roles.other),
        ];
        parties
            .lost
            .insert((roles.holder.clone(), roles.owner.clone()));
        parties
            .lost
            .insert((roles.owner.clone(), roles.holder.clone()));
        parties.know(&roles.owner, members);
        let waited_ms = parties.first_slot_ms(&roles.other, 2 * LONG_MS);
        let earliest_ms = stops_after_ms + expiry_ms;
        assert!(waited_ms >= Some(earliest_ms), "{proof:?}: {waited_ms:?}");
        assert!(
            waited_ms <= Some(earliest_ms + 200),
            "{proof:?}: {waited_ms:?}"
        );
    }
}

/// Guards against slots that are never granted again, because their holder left the roster after its end.
#[test]
fn a_standing_lease_ends_with_a_holder_that_is_forgotten() {
    let roles = Roles::new();
    let mut parties = roles::with_standing_lease(&roles);
    parties.end(&roles.holder);
    let from_ms = parties.now.get();
    let ended = gone(&roles.holder, GoneProof::Refused, from_ms);
    let others = [member(&roles.owner), member(&roles.other)];
    let with_ended = others.iter().cloned().chain([ended]).collect();
    parties.know(&roles.owner, with_ended);
    parties.know(&roles.owner, others.to_vec());
    let waited_ms = parties.first_slot_ms(&roles.other, LONG_MS);
    assert!(waited_ms.is_some(), "never");
}

/// Guards against an owner that grants at once what an earlier incarnation of a holder may have used just before its
/// end, and against one that never grants it again.
#[test]
fn a_standing_lease_ends_with_the_incarnation_of_its_holder() {
    let roles = Roles::new();
    let mut parties = roles::with_standing_lease(&roles);
    parties.end(&roles.holder);
    let later = view::RosterMember {
        incarnation: ids::Incarnation::new(2),
        ..member(&roles.holder)
    };
    let members = vec![member(&roles.owner), later, member(&roles.other)];
    parties.know(&roles.owner, members);
    let waited_ms = parties.first_slot_ms(&roles.other, LONG_MS);
    let earliest_ms = slot_settings().expiry_ms().get();
    assert!(waited_ms >= Some(earliest_ms), "{waited_ms:?}");
}

/// Guards against slots that stay out of use, because the message that returned them was lost.
#[test]
fn a_lost_return_keeps_no_slot_out_of_use() {
    let roles = Roles::new();
    let mut parties = roles::with_standing_lease(&roles);
    let lost = (roles.holder.clone(), roles.owner.clone());
    parties.lost.insert(lost.clone());
    parties.run(500);
    assert!(
        !parties.may_send(&roles.holder),
        "the idle slot is returned"
    );
    parties.lost.remove(&lost);
    let settings = slot_settings();
    let limit_ms = 2 * settings.lease_ms.get() + settings.expiry_ms().get();
    assert!(parties.first_slot_ms(&roles.other, limit_ms).is_some());
}

/// Guards against an owner that takes a grant for returned, because a list of the holder's grants was sent before the
/// grant arrived and arrives after it.
#[test]
fn a_late_list_of_grants_ends_no_later_grant() {
    let roles = Roles::new();
    let mut parties = Parties::with_owner(&roles.running(), &roles.claimant);
    let lost = (roles.holder.clone(), roles.owner.clone());
    parties.lost.insert(lost.clone());
    parties.demand(&roles.holder);
    let audit = SlotMessage::Audit { server: server(0) };
    let late = parties.answers(&roles.owner, &roles.holder, audit);
    parties.lost.remove(&lost);
    // The acquire request arrives late.
    let acquire = SlotMessage::Acquire {
        server: server(0),
        number: GrantNumber::new(1),
        slots: ONE,
    };
    parties.deliver(&roles.holder, &roles.owner, acquire);
    assert!(parties.may_send(&roles.holder));
    parties.run(350);
    for message in late {
        parties.deliver(&roles.holder, &roles.owner, message);
    }
    parties.begin(&roles.holder);
    assert_eq!(parties.first_slot_ms(&roles.other, LONG_MS), None);
}
