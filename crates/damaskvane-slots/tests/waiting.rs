//! What a new owner of a server may grant while it waits for leases of earlier owners, and for how long it waits.
//!
//! The owner of a server grants its slots, which are rights to run one request on it, each under a lease. Instances
//! that consent to a new owner report the leases that they hold.

mod common;

use common::{SimulatedZone, at, id, ms, outage, script, slot_settings};
use damaskvane_core::{ids, units};
use damaskvane_slots::exchange::OwnerPhase;
use damaskvane_slots::ledger::{Grant, SlotLedger};
use damaskvane_slots::message::{GrantKey, GrantNumber};

const TICK_MS: u64 = 50;

fn key(holder: &str, number: u64) -> GrantKey {
    GrantKey {
        holder: id(holder),
        incarnation: ids::Incarnation::new(1),
        number: GrantNumber::new(number),
    }
}

fn grant(holder: &str, slots: u32, until_ms: u64) -> Grant {
    Grant {
        key: key(holder, 1),
        slots: units::Slots::new(slots),
        until: at(until_ms),
        is_standing: false,
    }
}

/// Guards against a new owner that grants slots which an earlier owner may have granted to an instance that has ended.
#[test]
fn a_waiting_ledger_grants_only_in_place_of_known_grants() {
    let known = vec![grant("a-1", 2, 2_000), grant("a-2", 1, 9_000)];
    let certain_until = known.iter().map(|grant| (grant.key.clone(), grant.until));
    let certain_until = certain_until.collect();
    let mut ledger = SlotLedger::waiting(units::Slots::new(6), known, at(3_000));
    ledger.account(certain_until);
    ledger.open(at(1_500), ms(1_700));
    assert!(ledger.grants_slots());
    let one = units::Slots::new(1);
    assert!(
        ledger
            .grant(at(1_500), key("a-3", 1), one, at(3_200))
            .is_err()
    );
    // The two slots of the expired grant may be granted anew, and no others.
    let granted = ledger.grant(at(2_000), key("a-3", 1), units::Slots::new(6), at(3_700));
    assert_eq!(granted, Ok(units::Slots::new(2)));
    assert!(
        ledger
            .grant(at(2_000), key("a-3", 2), one, at(3_700))
            .is_err()
    );
}

/// Guards against a new owner that grants slots anew while an earlier owner, which takes their leases for expired, may
/// still grant them too.
#[test]
fn a_waiting_ledger_grants_nothing_before_the_earlier_owners_have_stopped() {
    let known = vec![grant("a-1", 2, 2_000)];
    let mut ledger = SlotLedger::waiting(units::Slots::new(6), known, at(9_000));
    ledger.account([(key("a-1", 1), at(2_000))].into());
    ledger.open(at(1_500), ms(1_700));
    assert!(!ledger.grants_slots());
    let one = units::Slots::new(1);
    assert!(
        ledger
            .grant(at(2_000), key("a-3", 1), one, at(3_700))
            .is_err()
    );
}

/// Guards against instances of a new zone that wait longer than for leases of their own earlier incarnations.
#[test]
fn a_new_zone_waits_for_leases_from_before_its_start() {
    for names in [&["a-1"][..], &["a-1", "a-2"], &["a-1", "a-2", "a-3"]] {
        let mut zone = SimulatedZone::new(1, names, &[3]);
        let outages = outage::run(&mut zone, 10_000);
        let waited_ms: u64 = outages.iter().map(outage::Outage::length_ms).sum();
        let limit_ms = slot_settings().expiry_ms().get() + TICK_MS;
        assert!(waited_ms <= limit_ms, "{names:?}: {waited_ms} ms");
    }
}

/// Guards against a successor that grants the slots on which requests of a holder's earlier incarnation still run.
#[test]
fn requests_from_before_a_restart_are_waited_for() {
    for restart_ms in (0..1_500).step_by(100) {
        let mut zone = SimulatedZone::under_full_load(&["a-1", "a-2", "a-3"], &[3]);
        let owner = zone.owner(0).expect("an owner");
        let mut others = zone.instances.keys().filter(|name| **name != owner);
        let holder = others.next().cloned().expect("a holder");
        zone.kill(&holder);
        zone.kill(&owner);
        zone.run(restart_ms);
        zone.start(&holder);
        zone.run(8_000);
        assert!(zone.owner(0).is_some(), "restart after {restart_ms} ms");
    }
}

/// Guards against a successor that does not wait for grants of an owner whose ledger was lost with its message.
#[test]
fn a_lost_ledger_is_waited_for() {
    for lost_ms in [10, 50, 100, 200] {
        let [successor, owner, third] = script::ranked(["a-1", "a-2", "a-3"]);
        let names = [owner.as_str(), third.as_str()];
        let mut zone = SimulatedZone::under_full_load(&names, &[3]);
        zone.starting_ms = 0;
        zone.start(&successor);
        script::run_until(&mut zone, 3_000, |zone| {
            script::phase(zone, &successor) == Some(OwnerPhase::Claiming)
        });
        zone.cuts.insert((owner.clone(), successor.clone()));
        zone.run(lost_ms);
        zone.cuts.clear();
        zone.run(6_000);
        assert_eq!(zone.owner(0), Some(successor));
    }
}
